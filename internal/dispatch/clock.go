package dispatch

import "time"

// clockBase is the balancer's time at the creation of the core. It is well above 0 so that earlier moments, such as the
// start of a worker, also have positive times: to the balancer, time 0 means never.
const clockBase = 1000 * time.Hour

// clock converts between system time and the balancer's time, which is clockBase plus the monotonic time since the core was
// created. Windows, waits and grace periods are spans of real time and must not depend on the wall clock: a backward step
// would freeze them, and a forward step would end all of them at once.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// balancerTime converts a time with a monotonic reading, as returned by time.Now, to the balancer's time.
func (c clock) balancerTime(now time.Time) time.Duration { return clockBase + now.Sub(c.start) }

// systemTime converts a time of the balancer to a time with a monotonic reading.
func (c clock) systemTime(balancerTime time.Duration) time.Time {
	return c.start.Add(balancerTime - clockBase)
}
