package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// loadBudget bounds load orders: in flight by a window, and over time by the requests that workers have
// taken.
type loadBudget struct {
	inFlight int
	window   concurrencyWindow
	budget   permit.LoadBudget
}

// newLoadBudget returns the budget that the settings allow, of which nothing is spent.
func newLoadBudget(s Settings) loadBudget {
	return loadBudget{
		window: concurrencyWindow{size: initialLoadWindow},
		budget: permit.LoadBudget{
			Burst:  s.LoadBurst,
			Ratio:  s.LoadRatio,
			Window: s.LoadWindow,
			Margin: s.maxLoadOrderDelay(),
		},
	}
}

// begin notes that an order is sent.
func (l *loadBudget) orderSent(f *function, p *placement, now time.Duration) {
	l.inFlight++
	f.references++
	p.ordered = true
	p.orderedAt = now
}

// end notes that an order has ended.
func (l *loadBudget) orderEnded(f *function, p *placement) {
	l.inFlight--
	f.references--
	p.ordered = false
}

// maxLoadOrderDelay is how long a load order may take to its worker: one connection that does not come up in
// time, and another.
func (s *Settings) maxLoadOrderDelay() time.Duration { return min(2*s.DialTimeout, s.LoadWindow/2) }

// loadsOnlyOnOrder reports whether workers load a function when they are ordered to, and not on a miss.
func (b *Balancer) loadsOnlyOnOrder() bool { return b.settings.LoadOrders && !b.settings.LoadOnMiss }
