package schedule

import "time"

// stallDetector finds out that the fleet serves no deferred invocation at all. While it is stalled, single runs probe
// it at an interval.
type stallDetector struct {
	minFailures   int
	minDuration   time.Duration
	probeInterval time.Duration

	stalled             bool
	consecutiveFailures int
	lastServed          time.Time
	nextProbe           time.Time // while stalled
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

func (d *stallDetector) runStarted(now time.Time) {
	if d.stalled {
		d.nextProbe = now.Add(d.probeInterval)
	}
}

// runServed ends a stall, and reports whether there was one.
func (d *stallDetector) runServed(now time.Time) (recovered bool) {
	recovered = d.stalled
	d.stalled = false
	d.consecutiveFailures = 0
	d.lastServed = now
	return recovered
}

func (d *stallDetector) runNotServed(now time.Time) {
	d.consecutiveFailures++
	if d.consecutiveFailures >= d.minFailures && now.Sub(d.lastServed) >= d.minDuration {
		d.stalled = true
	}
}
