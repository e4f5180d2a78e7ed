package schedule

import "time"

// stallDetector detects that the fleet has stopped serving deferred invocations. While the fleet is stalled, single runs
// probe it, and their starts are at least probeInterval apart.
type stallDetector struct {
	minFailures   int           // consecutive failures after which the fleet is stalled
	minDuration   time.Duration // minimum time since lastServed before the fleet is stalled
	probeInterval time.Duration

	stalled             bool
	consecutiveFailures int       // rejected or failed runs since the last served one
	lastServed          time.Time // end of the last served run, at first the creation of the detector
	nextProbe           time.Time // earliest start of the next run while stalled
}

func newStallDetector(c Config, now time.Time) stallDetector {
	return stallDetector{
		minFailures:   c.StallFailures,
		minDuration:   c.StallTime,
		probeInterval: c.ProbeInterval,
		lastServed:    now,
	}
}

// mayStart reports whether a run may start now.
func (d *stallDetector) mayStart(now time.Time) bool {
	return !d.stalled || !now.Before(d.nextProbe)
}

// runStarted sets the time of the next probe if the fleet is stalled.
func (d *stallDetector) runStarted(now time.Time) {
	if d.stalled {
		d.nextProbe = now.Add(d.probeInterval)
	}
}

// runServed records a served run, which ends a stall. It reports whether the fleet was stalled.
func (d *stallDetector) runServed(now time.Time) (recovered bool) {
	recovered = d.stalled
	d.stalled = false
	d.consecutiveFailures = 0
	d.lastServed = now
	return recovered
}

// runNotServed records a rejected or failed run, after which the fleet may be stalled.
func (d *stallDetector) runNotServed(now time.Time) {
	d.consecutiveFailures++
	if d.consecutiveFailures >= d.minFailures && now.Sub(d.lastServed) >= d.minDuration {
		d.stalled = true
	}
}
