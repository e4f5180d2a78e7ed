package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// loadBudget limits load orders: a window limits those in flight, and a budget limits their number over
// time by the requests that workers have taken.
type loadBudget struct {
	inFlight int
	window   concurrencyWindow
	budget   permit.LoadBudget
}

// newLoadBudget returns an unused load budget with the limits of the settings.
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

// orderSent records that an order is sent now.
func (l *loadBudget) orderSent(f *function, p *placement, now time.Duration) {
	l.inFlight++
	f.references++
	p.orderPending = true
	p.orderedAt = now
}

// orderEnded records that an order has ended.
func (l *loadBudget) orderEnded(f *function, p *placement) {
	l.inFlight--
	f.references--
	p.orderPending = false
}

// maxLoadOrderDelay returns how long a load order may take to reach its worker. That covers one connection
// attempt that times out and a second one, but at most half of the load window.
func (s *Settings) maxLoadOrderDelay() time.Duration { return min(2*s.DialTimeout, s.LoadWindow/2) }

// loadsOnlyOnOrder reports whether workers load a function only when ordered to, and not on a miss.
func (b *Balancer) loadsOnlyOnOrder() bool { return b.settings.LoadOrders && !b.settings.LoadOnMiss }
