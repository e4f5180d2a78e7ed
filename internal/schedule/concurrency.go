package schedule

import "time"

const (
	// decreaseInterval is the least time between two decreases of the limit: runs that were started before a
	// decrease still end after it.
	decreaseInterval = 300 * time.Millisecond

	slowRunDecrease            = 0.9
	failedRunDecrease          = 0.7
	foregroundRejectedDecrease = 0.5
)

// concurrencyLimit is the number of runs that may be in flight. It grows by one for each served run in the slow start,
// and by one for each round of served runs after it. It decreases when runs are rejected, failed or slow, and when
// foreground requests are rejected.
type concurrencyLimit struct {
	min, max           float64
	current            float64
	slowStartThreshold float64 // the slow start ends here
	lastDecrease       time.Time
	noGrowthBefore     time.Time
	foregroundBackoff  time.Duration
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

func (l *concurrencyLimit) allowed() int { return int(l.current) }

// restart begins another slow start, after a stall: the workers may have lost their loaded copies.
func (l *concurrencyLimit) restart() {
	l.current = l.min
	l.slowStartThreshold = max(l.min, l.slowStartThreshold/2)
}

// runServed adapts the limit to a served run. inFlight is the number of runs in flight before it ended.
func (l *concurrencyLimit) runServed(now time.Time, inFlight int, slow bool) {
	limitInUse := float64(inFlight) >= l.current/2 // if not, a served run proves nothing
	switch {
	case slow:
		l.decrease(now, slowRunDecrease)
	case now.Before(l.noGrowthBefore) || !limitInUse:
	case l.current < l.slowStartThreshold:
		l.current = min(l.max, l.current+1)
	default:
		l.current = min(l.max, l.current+1/l.current)
	}
}

// runNotServed adapts the limit to a run that was rejected or failed.
func (l *concurrencyLimit) runNotServed(now time.Time) { l.decrease(now, failedRunDecrease) }

// foregroundRejected gives way to foreground requests.
func (l *concurrencyLimit) foregroundRejected(now time.Time) {
	l.decrease(now, foregroundRejectedDecrease)
	l.noGrowthBefore = now.Add(l.foregroundBackoff)
}

func (l *concurrencyLimit) decrease(now time.Time, factor float64) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.slowStartThreshold = max(l.min, l.current/2)
	l.current = max(l.min, l.current*factor)
}
