package balancer

import "time"

// loadBudget bounds load orders: in flight by a window, and over time by the requests that workers have taken.
type loadBudget struct {
	inFlight int
	window   concurrencyWindow
	orders   []time.Duration // recent orders, sorted
	requests []time.Duration // arrivals of recent requests that earn orders, sorted
}

// begin notes that an order is sent.
func (l *loadBudget) begin(f *function, p *placement, now time.Duration) {
	l.inFlight++
	f.references++
	p.ordered = true
	p.orderedAt = now
}

// end notes that an order has ended.
func (l *loadBudget) end(f *function, p *placement) {
	l.inFlight--
	f.references--
	p.ordered = false
}

// maxOrderDelay is how long a load order may take to its worker: one connection that does not come up in time, and
// another. The load budget counts orders as they arrive, so what was ordered this long before its window may fall
// into it, and what was taken in its first part may have left it.
func (b *Balancer) maxOrderDelay() time.Duration {
	return min(2*b.settings.DialTimeout, b.settings.LoadWindow/2)
}

// loadsOnOrderOnly reports whether workers load a function when they are ordered to, and not on a miss.
func (b *Balancer) loadsOnOrderOnly() bool { return b.settings.LoadOrders && !b.settings.LoadOnMiss }
