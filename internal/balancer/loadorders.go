package balancer

import (
	"math"
	"slices"

	"kitefall/internal/permit"
)

const (
	initialLoadWindow = 4.0 // load orders allowed in flight at the start

	// A load that takes more than slowLoadFactor times the usual time, or that fails, multiplies the number of
	// load orders allowed in flight by loadWindowDecrease. That number never falls below minLoadWindow.
	slowLoadFactor     = 1.5
	loadWindowDecrease = 0.5
	minLoadWindow      = 2.0

	maxCopies = 16 // copies of one function at one worker
)

// needsLoadOrder reports whether a copy that is not assumed to be loaded must be ordered before a request
// is sent to its worker. With a load budget, that is so only after a miss.
func (b *Balancer) needsLoadOrder(p *placement) bool {
	return b.loadsOnlyOnOrder() && (b.settings.LoadWindow == 0 || p.missed)
}

// orderLoad orders copies at a worker and reports whether it did. Drains, the load budget, the orders
// reserved for keepalives and the limit of orders in flight may prevent the order.
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

// mayOrderLoad reports whether copies may be ordered at a worker, apart from the load budget.
func (b *Balancer) mayOrderLoad(f *function, p *placement) bool {
	start := permit.StartConditions{Worker: p.worker.State.Permitted(), LeaseLeft: b.leaseLeft(p.worker)}
	if p.orderPending || b.now < p.noOrderUntil || start.Check() != permit.Allowed {
		return false
	}
	return b.settings.LoadOrders && f.id != "" && !b.unknownFunction(f)
}

// emitLoad is the only function that emits Load. It fills in the worker, the function and the time limit of
// the order.
func (b *Balancer) emitLoad(f *function, p *placement, order Load) {
	b.loads.orderSent(f, p, b.now)
	order.Worker = p.worker.ID
	order.Function = f.id
	order.StartWithin = b.settings.maxLoadOrderDelay()
	b.emit(order)
}

// creditLoadBudget credits a request to the load budget, as of its arrival, once an attempt of the request
// was served, rejected or a miss. Requests that clients cancel at once, or that name unknown functions,
// earn no orders: clients can send many of them.
func (b *Balancer) creditLoadBudget(r *request) {
	if r.creditedToLoadBudget {
		return
	}
	r.creditedToLoadBudget = true
	b.loads.budget.Earn(r.arrivedAt())
}

// onLoadEnded handles the end of a load order and places the requests that waited for it.
func (b *Balancer) onLoadEnded(e LoadEndedEvent) {
	f := b.functions[e.Function]
	w := b.workers[e.Worker]
	if f == nil || w == nil || !b.peekPlacement(f, w).orderPending {
		return
	}
	p := f.placement(w)
	b.loads.orderEnded(f, p)
	if queried := b.endKeepalive(f, p, e); !queried {
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

// recordLoadResult updates a function and its placement from the end of a load. slow reports whether the
// load took long or failed, as happens when the function store is overloaded.
func (b *Balancer) recordLoadResult(f *function, p *placement, e LoadEndedEvent) (slow bool) {
	elapsed := e.Elapsed.Seconds()
	usual := f.loadTime
	if e.Status == OK {
		b.markReachable(p.worker)
		f.succeeded = true
		p.setLoaded(e.Copies, b.now+b.assumedLoadedTime())
		b.loads.window.increase()
		if elapsed > usual*smoothing { // a shorter time means that the copy was loaded already
			updateMean(&f.loadTime, elapsed, smoothing)
		}
		return elapsed > slowLoadFactor*usual
	}
	p.noOrderUntil = b.now + seconds(usual)
	switch e.Status {
	case Failed:
		return f.countError(b.now)
	case Reset:
		b.recordReset(p.worker)
	case ConnectFailed:
		b.eject(p.worker)
	}
	return true
}

// loadWaitOver reports whether a request should stop waiting for a load order: the order has ended, the
// request has waited long enough, or the worker is not available or is ejected.
func (b *Balancer) loadWaitOver(r *request) bool {
	p := r.waitingFor
	workerUnusable := !b.available(p.worker) || p.worker.ejected()
	return !p.orderPending || b.now > r.loadWaitUntil || workerUnusable
}

// lastAttemptNeedsCopy reports whether a request may use its last attempt only at a worker where a copy is
// loaded or has been ordered. Otherwise misses within a few milliseconds could use up all attempts.
func (b *Balancer) lastAttemptNeedsCopy(r *request) bool {
	attempts := len(r.attempts)
	last := attempts > 0 && attempts+1 >= b.settings.MaxAttempts
	return last && b.loadsOnlyOnOrder()
}

// preloadHotSet orders missing copies in the groups of hot functions, except where the calls of other
// dispatchers keep them loaded. It leaves in the budget the orders that keepalives need once calls have
// stopped.
func (b *Balancer) preloadHotSet() {
	reserved := b.reservedOrders()
	if reserved > 0 && b.loads.budget.LeftAt(b.now+b.settings.leaseTerms.AfterLoad) < 1+reserved {
		return
	}
	for _, f := range b.hotSet.functions {
		if !b.loadedByPeers(f) {
			b.preload(f)
		}
	}
}

// preload orders the first missing copy in the group of a function. It orders none if it finds a pending
// order in the group.
func (b *Balancer) preload(f *function) {
	var next *worker
	for i := range min(f.groupSize, len(b.ready)) {
		w := b.candidate(f, 0, i)
		p := b.peekPlacement(f, w)
		if p.orderPending {
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
	return !p.worker.ejected() &&
		p.worker.healthOf(f.class).consecutiveRejections < maxConsecutiveRejections
}
