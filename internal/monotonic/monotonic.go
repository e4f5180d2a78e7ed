// Package steady tells a time that does not jump. Tickets live for hours and over restarts, so their times are those
// of the calendar; but the machine's clock may be set forward or back at any moment, and must neither end thousands
// of tickets at once nor wake them an hour late.
package monotonic

import "time"

// Clock goes on from the moment at which it was made, at the pace of the machine's monotonic clock.
type Clock struct {
	base  time.Time
	since func() time.Duration
}

// New returns a clock that starts at wall, the time of the calendar, or at latest if that is later: what an earlier
// run of the program has put on record must not lie in the future. since tells the time passed from now on.
func New(wall, latest time.Time, since func() time.Duration) *Clock {
	base := wall.Round(0) // without the monotonic reading: two times of the clock differ by the calendar alone
	if latest.After(base) {
		base = latest.Round(0)
	}
	return &Clock{base: base, since: since}
}

// Start returns a clock that starts now.
func Start(latest time.Time) *Clock {
	begin := time.Now()
	return New(begin, latest, func() time.Duration { return time.Since(begin) })
}

// Now is the present time.
func (c *Clock) Now() time.Time { return c.base.Add(c.since()) }

// Machine turns a time of this clock into one to compare with time.Now.
func (c *Clock) Machine(t time.Time) time.Time { return time.Now().Add(t.Sub(c.Now())) }
