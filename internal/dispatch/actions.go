package dispatch

import (
	"fmt"
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
)

// requestBalancer is the part of balancer.Balancer that the core uses.
type requestBalancer interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// notifyBalancer delivers an event to the balancer and executes the actions that the balancer returns. Executing an action
// may call notifyBalancer again; the outermost call delivers such nested events after the current one.
func (c *Core) notifyBalancer(e balancer.Event) {
	c.balancerEvents = append(c.balancerEvents, e)
	if len(c.balancerEvents) > 1 {
		return
	}
	for len(c.balancerEvents) > 0 {
		now := time.Now()
		c.clockSteps.Check(now)
		for _, action := range c.balancer.Handle(c.clock.balancerTime(now), c.balancerEvents[0]) {
			c.executeAction(action)
		}
		c.balancerEvents = c.balancerEvents[1:]
	}
	c.balancerEvents = nil
}

// executeAction executes one action of the balancer.
func (c *Core) executeAction(action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		c.startAttempt(a)
	case balancer.Cancel:
		c.cancelAttempt(a)
	case balancer.Reject:
		c.answer(c.requests[a.ID], call.Answer{Outcome: call.Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		c.answer(c.requests[a.ID], call.Answer{Outcome: call.Failed})
	case balancer.Load:
		c.startLoad(a)
	case balancer.Unload:
		c.unload(a)
	case balancer.SetTimer:
		c.timers.add(time.Now().Add(a.After), balancerTimerFired{id: a.TimerID})
	case balancer.LeasesChanged:
		logLeases(a)
	case balancer.Log:
		slog.Info("balancer: " + a.Text)
	default: // Watch and Fetch: the core does not control the watcher of the endpoint list
		slog.Error("core: unsupported balancer action", "action", fmt.Sprintf("%T", a))
	}
}
