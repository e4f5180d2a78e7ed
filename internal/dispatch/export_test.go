package dispatch

import (
	"math"
	"time"

	"kitefall/internal/balancer"
)

// injectedTimerID is a timer id that the balancer itself never uses. It marks the timer events of Inject.
const injectedTimerID = math.MinInt64

// BalancerHook intercepts the events that a core sends to its balancer.
type BalancerHook struct {
	core     *Core
	balancer requestBalancer
	observe  func(balancer.Event)
	injected chan func() []balancer.Action
}

// HookBalancer installs a hook that passes each event to observe before the core's balancer handles it. It must be called
// before Run.
func HookBalancer(core *Core, observe func(balancer.Event)) *BalancerHook {
	hook := &BalancerHook{core: core, balancer: core.balancer, observe: observe, injected: make(chan func() []balancer.Action, 16)}
	core.balancer = hook
	return hook
}

// Inject queues an event for which the event loop calls decide and executes the returned actions as if the balancer had
// returned them.
func (h *BalancerHook) Inject(decide func() []balancer.Action) {
	h.injected <- decide
	h.core.post(balancerTimerFired{id: injectedTimerID})
}

// Handle implements requestBalancer.
func (h *BalancerHook) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	if fired, ok := e.(balancer.TimerEvent); ok && fired.TimerID == injectedTimerID {
		decide := <-h.injected
		return decide()
	}
	h.observe(e)
	return h.balancer.Handle(now, e)
}

// Finished reports whether no attempt of the call may start any more.
func (h *Handle) Finished() bool { return h.finished.Load() }
