// Package monotonic provides a wall clock that does not jump. Invocations live for hours and across restarts, so their
// times are wall times; but the machine's clock may be set forward or back at any moment, which must neither expire
// thousands of invocations at once nor delay them by hours.
package monotonic

import "time"

// Clock tells a wall time that advances at the pace of the machine's monotonic clock. It is safe for concurrent use.
type Clock struct {
	base    time.Time
	elapsed func() time.Duration // since base
}

// New returns a clock that starts at the time wall, or at latest if that is later: times that an earlier run has stored must
// not lie in the future. The function elapsed returns the time since the call of New.
func New(wall, latest time.Time, elapsed func() time.Duration) *Clock {
	base := wall.Round(0) // without the monotonic reading, so that differences are those of the wall times
	if latest.After(base) {
		base = latest.Round(0)
	}
	return &Clock{base: base, elapsed: elapsed}
}

// Start returns a clock that starts at the present time, or at latest if that is later.
func Start(latest time.Time) *Clock {
	begin := time.Now()
	return New(begin, latest, func() time.Duration { return time.Since(begin) })
}

// Now returns the present time of the clock.
func (c *Clock) Now() time.Time { return c.base.Add(c.elapsed()) }

// Machine converts a time of this clock to one that can be compared with time.Now.
func (c *Clock) Machine(t time.Time) time.Time { return time.Now().Add(t.Sub(c.Now())) }
