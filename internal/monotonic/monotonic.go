// Package monotonic provides a wall clock that does not jump. Invocations live for hours and across restarts, so they are
// stamped with wall times. But the machine's clock can be set forward or back at any moment, and this must neither expire
// thousands of invocations at once nor delay them by hours.
package monotonic

import "time"

// Clock provides a wall time that advances with the machine's monotonic clock. It is safe for concurrent use.
type Clock struct {
	base    time.Time
	elapsed func() time.Duration // since base
}

// New returns a clock that starts at the time base. The function elapsed returns the time since the call to New.
func New(base time.Time, elapsed func() time.Duration) *Clock {
	// Round strips the monotonic reading, so that two times of the clock differ by their wall times.
	return &Clock{base: base.Round(0), elapsed: elapsed}
}

// Start returns a clock that shows the time base now.
func Start(base time.Time) *Clock {
	start := time.Now()
	return New(base, func() time.Duration { return time.Since(start) })
}

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time { return c.base.Add(c.elapsed()) }

// ToSystemTime converts a time of this clock to one that can be compared with time.Now: the time left until t stays the same.
func (c *Clock) ToSystemTime(t time.Time) time.Time { return time.Now().Add(t.Sub(c.Now())) }
