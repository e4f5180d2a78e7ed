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

// New returns a clock that starts at the time base. The function elapsed returns the time since the call of New.
func New(base time.Time, elapsed func() time.Duration) *Clock {
	// Without the monotonic reading, so that differences are those of the wall times.
	return &Clock{base: base.Round(0), elapsed: elapsed}
}

// Start returns a clock that starts now, at the time base.
func Start(base time.Time) *Clock {
	begin := time.Now()
	return New(base, func() time.Duration { return time.Since(begin) })
}

// Now returns the present time of the clock.
func (c *Clock) Now() time.Time { return c.base.Add(c.elapsed()) }

// Machine converts a time of this clock to one that can be compared with time.Now: the span until then is real time.
func (c *Clock) Machine(t time.Time) time.Time { return time.Now().Add(t.Sub(c.Now())) }
