package schedule

import "time"

const (
	// minDecreaseInterval is the minimum time between two decreases of the limit. Runs that were started before a
	// decrease may end after it, and their results do not show its effect.
	minDecreaseInterval = 300 * time.Millisecond

	// The limit is multiplied by one of these factors when it decreases.
	slowFunctionFactor       = 0.9
	runNotServedFactor       = 0.7
	foregroundRejectedFactor = 0.5
)

// concurrencyLimit is the adaptive limit of the number of runs in flight. As in TCP congestion control, the limit grows
// by 1 for each served run during slow start, and by 1/limit after it, that is, by 1 for each round of served runs.
// It decreases by a factor when a run is rejected or fails, when the served runs of a function have become slow, and when
// a foreground invocation is rejected.
type concurrencyLimit struct {
	min, max           float64
	current            float64
	slowStartThreshold float64 // value of current at which slow start ends
	lastDecrease       time.Time
	noGrowthBefore     time.Time
	foregroundBackoff  time.Duration // how long the limit does not grow after a rejected foreground invocation
}

func newConcurrencyLimit(c Config) concurrencyLimit {
	return concurrencyLimit{
		min:                float64(c.MinConcurrency),
		max:                float64(c.MaxConcurrency),
		current:            float64(c.MinConcurrency),
		slowStartThreshold: float64(c.MaxConcurrency) / 2,
		foregroundBackoff:  c.ForegroundBackoff,
	}
}

// allowed returns the limit as a number of whole runs.
func (l *concurrencyLimit) allowed() int { return int(l.current) }

// restartSlowStart sets the limit to its minimum and begins another slow start. It is called at the end of a stall, as
// workers may have unloaded their copies during the stall.
func (l *concurrencyLimit) restartSlowStart() {
	l.current = l.min
	l.slowStartThreshold = max(l.min, l.slowStartThreshold/2)
}

// runServed adapts the limit after a served run. inFlightBefore is the number of runs in flight before this run ended.
func (l *concurrencyLimit) runServed(now time.Time, inFlightBefore int, slow bool) {
	// With less than half of the limit in use, a served run does not show that the fleet can take more runs.
	halfOfLimitInUse := float64(inFlightBefore) >= l.current/2
	switch {
	case slow:
		l.decrease(now, slowFunctionFactor)
	case now.Before(l.noGrowthBefore) || !halfOfLimitInUse:
	case l.current < l.slowStartThreshold:
		l.current = min(l.max, l.current+1)
	default:
		l.current = min(l.max, l.current+1/l.current)
	}
}

// runNotServed decreases the limit after a run that was rejected or failed.
func (l *concurrencyLimit) runNotServed(now time.Time) { l.decrease(now, runNotServedFactor) }

// foregroundRejected leaves more of the fleet to foreground invocations after one was rejected: the limit decreases and
// does not grow for foregroundBackoff.
func (l *concurrencyLimit) foregroundRejected(now time.Time) {
	l.decrease(now, foregroundRejectedFactor)
	l.noGrowthBefore = now.Add(l.foregroundBackoff)
}

// decrease multiplies the limit by a factor and ends slow start, unless the last decrease was less than
// minDecreaseInterval ago.
func (l *concurrencyLimit) decrease(now time.Time, factor float64) {
	if now.Sub(l.lastDecrease) < minDecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.slowStartThreshold = max(l.min, l.current/2)
	l.current = max(l.min, l.current*factor)
}
