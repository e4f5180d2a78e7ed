package dispatch

import (
	"time"

	"kitefall/internal/balancer"
)

// Post has the owner do something, in turn.
func (c *Core) Post(f func()) { c.post(f) }

// Tap passes every event that the module is given on to see, before Run.
func (c *Core) Tap(see func(balancer.Event)) { c.module = tapped{c.module, see} }

type tapped struct {
	module interface {
		Handle(time.Duration, balancer.Event) []balancer.Action
	}
	see func(balancer.Event)
}

func (t tapped) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	t.see(e)
	return t.module.Handle(now, e)
}

// Order has a copy ordered, as the module would.
func (c *Core) Order(w balancer.WorkerID, f balancer.FunctionID, within time.Duration) {
	c.do(balancer.Load{Worker: w, Function: f, Copies: 1, StartWithin: within})
}

// Over tells whether nothing of the call may begin any more.
func (h *Handle) Over() bool { return h.over.Load() }
