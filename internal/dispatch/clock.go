package dispatch

import "time"

// clockBase is the balancer's time when the core is made. It leaves room for what happened before, such as the start of a
// worker; the balancer's 0 is "never".
const clockBase = 1000 * time.Hour

// clock tells the balancer's time: the time since the core was made, by the machine's monotonic clock. Windows, waits and
// graces are spans of real time, so that the wall clock must not enter: a step back would freeze them, and a step forward
// would end all of them at once.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// balancerTime converts a result of time.Now.
func (c clock) balancerTime(now time.Time) time.Duration { return clockBase + now.Sub(c.start) }

// at converts a time of the balancer back.
func (c clock) at(balancerTime time.Duration) time.Time { return c.start.Add(balancerTime - clockBase) }
