package balancer

import (
	"math"
	"slices"

	"kitefall/internal/permit"
)

const (
	initialLoadWindow  = 4.0 // load orders in flight at the start
	slowLoadFactor     = 1.5 // a load this many times slower than usual ...
	loadWindowDecrease = 0.5 // ... cuts the number of orders in flight to this part ...
	minLoadWindow      = 2.0 // ... and this many at the least
	maxCopies          = 16  // of one function at one worker
)

// needsLoadOrder reports whether a copy not believed to be loaded is ordered before a request goes there.
func (b *Balancer) needsLoadOrder(p *placement) bool {
	return b.loadsOnlyOnOrder() && (b.settings.LoadWindow == 0 || p.missed)
}

// orderLoad orders copies for calls. It keeps to drains, the load budget and the bound in flight.
func (b *Balancer) orderLoad(f *function, p *placement, copies int, maxInFlight float64) bool {
	if !b.mayOrderLoad(f, p) || float64(b.loads.inFlight) >= maxInFlight {
		return false
	}
	if reserved := b.reservedOrders(); reserved > 0 && b.loads.budget.LeftAt(b.now) < 1+reserved {
		return false
	}
	if b.loads.budget.Take(b.now) != permit.Allowed {
		return false
	}
	b.emitLoad(f, p, Load{Copies: min(copies, maxCopies)})
	return true
}

// mayOrderLoad reports whether copies may be ordered at a worker, as far as that is not for the budget to
// say.
func (b *Balancer) mayOrderLoad(f *function, p *placement) bool {
	start := permit.Start{Worker: p.worker.State.Permitted(), LeaseLeft: b.leaseLeft(p.worker)}
	if p.ordered || b.now < p.noOrderUntil || start.Check() != permit.Allowed {
		return false
	}
	return b.settings.LoadOrders && f.id != "" && !b.unknownFunction(f)
}

// emitLoad is the one place that emits Load. The order is completed with its worker and function.
func (b *Balancer) emitLoad(f *function, p *placement, order Load) {
	b.loads.orderSent(f, p, b.now)
	order.Worker = p.worker.ID
	order.Function = f.id
	order.StartWithin = b.settings.maxLoadOrderDelay()
	b.emit(order)
}

// earnLoads counts a request for the load budget, at its arrival, once a worker has taken it for a request.
// Clients can send many that they cancel at once, or that name unknown functions: these earn no orders.
func (b *Balancer) earnLoads(r *request) {
	if r.earnedLoads {
		return
	}
	r.earnedLoads = true
	b.loads.budget.Earn(r.arrivedAt())
}

// onLoadEnded takes in the end of a load order and places the requests that waited for it.
func (b *Balancer) onLoadEnded(e LoadEndedEvent) {
	f := b.functions[e.Function]
	w := b.workers[e.Worker]
	if f == nil || w == nil || !b.look(f, w).ordered {
		return
	}
	p := f.placement(w)
	b.loads.orderEnded(f, p)
	if asked := b.endKeepalive(f, p, e); !asked {
		p.copies = e.Copies
		pause := seconds(f.loadTime / 2)
		if slow := b.recordLoadResult(f, p, e); slow {
			size := math.Max(minLoadWindow, b.loads.window.size*loadWindowDecrease)
			b.loads.window.decrease(b.now, pause, size)
		}
	}
	for _, r := range slices.Clone(b.unanswered) {
		if r.waitingFor == p {
			r.waitingFor = nil
			b.place(r)
		}
	}
}

// recordLoadResult takes in how a load ended; slow reports whether it took long or failed, as from a crowded store.
func (b *Balancer) recordLoadResult(f *function, p *placement, e LoadEndedEvent) (slow bool) {
	elapsed := e.Elapsed.Seconds()
	usual := f.loadTime
	if e.Status == OK {
		b.markReachable(p.worker)
		f.known = true
		p.setLoaded(e.Copies, b.now+b.loadedTrust())
		b.loads.window.increase()
		if elapsed > usual*smoothing { // less: it was loaded already
			updateMean(&f.loadTime, elapsed, smoothing)
		}
		return elapsed > slowLoadFactor*usual
	}
	p.noOrderUntil = b.now + seconds(usual)
	switch e.Status {
	case Failed:
		return f.countError(b.now)
	case Reset:
		b.onReset(p.worker)
	case ConnectFailed:
		b.eject(p.worker)
	}
	return true
}

// loadWaitOver reports whether a request has waited long enough for its load order, or in vain.
func (b *Balancer) loadWaitOver(r *request) bool {
	p := r.waitingFor
	workerLost := !b.available(p.worker) || p.worker.unavailable()
	return !p.ordered || b.now > r.waitUntil || workerLost
}

// lastAttemptNeedsCopy reports whether a request's next attempt is its last. Misses within a few ms would end it at
// once, so it is kept for a worker where a copy is loaded or has been ordered.
func (b *Balancer) lastAttemptNeedsCopy(r *request) bool {
	attempts := len(r.attempts)
	last := attempts > 0 && attempts+1 >= b.settings.MaxAttempts
	return last && b.loadsOnlyOnOrder()
}

// preloadHotSet orders missing copies of hot functions at their group, where own calls must keep them loaded.
// It leaves keepalives what they need once the calls have stopped.
func (b *Balancer) preloadHotSet() {
	reserved := b.reservedOrders()
	if reserved > 0 && b.loads.budget.LeftAt(b.now+b.settings.leaseTerms.Loaded) < 1+reserved {
		return
	}
	for _, f := range b.hotSet.functions {
		if !b.loadedByPeers(f) {
			b.preload(f)
		}
	}
}

// preload orders the first missing copy of a function's group, unless an order is pending there.
func (b *Balancer) preload(f *function) {
	var next *worker
	for i := range min(f.groupSize, len(b.ready)) {
		w := b.candidate(f, 0, i)
		p := b.look(f, w)
		if p.ordered {
			return
		}
		if next == nil && b.mayPreload(f, p) {
			next = w
		}
	}
	if next != nil {
		b.orderLoad(f, f.placement(next), 1, b.loads.window.size)
	}
}

func (b *Balancer) mayPreload(f *function, p *placement) bool {
	if b.isLoaded(p) || !b.needsLoadOrder(p) || b.now < p.noOrderUntil {
		return false
	}
	return !p.worker.unavailable() && p.worker.healthOf(f.class).rejectedInARow < maxRejectedInARow
}
