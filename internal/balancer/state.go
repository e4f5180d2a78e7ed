package balancer

import (
	"slices"
	"time"
)

// tenant is one tenant's use of its quota.
type tenant struct {
	rateQuota float64 // requests per second over all dispatchers; 0: none
	calls     decayingCount
}

// timer is the one timer that is armed.
type timer struct {
	at time.Duration // 0: none
	id int64
}

// polling is the subscription to the endpoint list.
type polling struct {
	active    bool
	changedAt time.Duration // when it last began or failed
}

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

// fleetStats are running means over all workers.
type fleetStats struct {
	meanAnswer  float64 // answer time, seconds
	answers     decayingCount
	meanWork    float64            // work estimate of a request, seconds
	failureRate map[string]float64 // part of the attempts that fail, by class
}

// maxOrderDelay is how long a load order may take to its worker: one connection that does not come up in time, and
// another. The load budget counts orders as they arrive, so what was ordered this long before its window may fall
// into it, and what was taken in its first part may have left it.
func (b *Balancer) maxOrderDelay() time.Duration {
	return min(2*b.settings.DialTimeout, b.settings.LoadWindow/2)
}

// loadedTrust is how long after its last use a copy is believed to be loaded.
func (b *Balancer) loadedTrust() time.Duration {
	return time.Duration(loadedTrustRatio * float64(b.settings.IdleTTL))
}

// earnLoads counts a request for the load budget, at its arrival, once a worker has taken it for a request.
// Clients send by hundreds what they take back at once, or what no worker knows: these earn no orders.
func (b *Balancer) earnLoads(r *request) {
	if r.earnedLoads || b.settings.LoadWindow == 0 {
		return
	}
	r.earnedLoads = true
	i, _ := slices.BinarySearch(b.loads.requests, r.arrivedAt())
	b.loads.requests = slices.Insert(b.loads.requests, i, r.arrivedAt())
}
