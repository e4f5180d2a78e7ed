package dispatch

import (
	"math"
	"time"

	"kitefall/internal/balancer"
)

// injectedTimerID is the id of a balancer timer that the balancer itself never sets.
const injectedTimerID = math.MinInt64

// BalancerHook stands between a core and its balancer.
type BalancerHook struct {
	core     *Core
	balancer requestBalancer
	observe  func(balancer.Event)
	injected chan func() []balancer.Action
}

// HookBalancer puts a hook before the core's balancer, which passes each event to observe first. Call it before Run.
func HookBalancer(core *Core, observe func(balancer.Event)) *BalancerHook {
	hook := &BalancerHook{core: core, balancer: core.balancer, observe: observe, injected: make(chan func() []balancer.Action, 16)}
	core.balancer = hook
	return hook
}

// Inject has the event loop call decide, in turn, and carry out the actions that it returns as if they came from the
// balancer.
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
