package dispatch

import (
	"time"

	"kitefall/rules"
)

// Post has the owner do something, in turn.
func (c *Core) Post(f func()) { c.post(f) }

// Tap passes every event that the module is given on to see, before Run.
func (c *Core) Tap(see func(rules.Event)) { c.module = tapped{c.module, see} }

type tapped struct {
	module interface {
		Handle(time.Duration, rules.Event) []rules.Action
	}
	see func(rules.Event)
}

func (t tapped) Handle(now time.Duration, e rules.Event) []rules.Action {
	t.see(e)
	return t.module.Handle(now, e)
}

// Order has a copy ordered, as the module would.
func (c *Core) Order(w rules.WorkerID, f rules.FunctionID, within time.Duration) {
	c.do(rules.Load{Worker: w, Function: f, Copies: 1, Within: within})
}

// Over tells whether nothing of the call may begin any more.
func (h *Handle) Over() bool { return h.over.Load() }
