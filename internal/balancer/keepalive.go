package balancer

import (
	"cmp"
	"time"

	"kitefall/internal/permit"
)

const (
	// Calls go to a worker first in the last evidenceRenewalWindow before its evidence expires, to renew
	// the evidence.
	evidenceRenewalWindow = 4 * time.Second
	keepaliveInterval     = 100 * time.Millisecond // how often expiring leases are searched for
	renewalLead           = time.Second            // a lease is renewed this long before it expires
	lastLeaseLead         = 5 * time.Second / 2    // the same for the lease that expires last
	keepaliveTimeout      = 500 * time.Millisecond // a keepalive that takes longer counts as lost
	keepaliveRetryDelay   = 5 * time.Second        // pause at a worker after a keepalive that failed
	// maxKeepaliveWorkers is the number of workers whose leases keepalives renew. If calls keep the
	// leases of this many workers valid, there are no keepalives.
	maxKeepaliveWorkers = 3
	maxKeepaliveQueries = 4 // queries in one keepalive
	// keepaliveOrderReserve is the number of load orders that calls leave in the load budget for
	// keepalives while discovery is out of sync.
	keepaliveOrderReserve = 1
	// minRememberedFunctions is the number of functions that are kept in memory even if no client calls them,
	// since a keepalive needs a function.
	minRememberedFunctions = 8
)

// preferredWorker chooses between two workers that suit a request equally well. best may be nil.
//
// If calls are too few to renew the evidence of all workers, a worker with current evidence goes before one
// that is ready only by the list. Thereby the dispatcher's calls keep current evidence of as many workers as
// they can. This matters because an answer of discovery without changes cannot be distinguished from an
// outage behind discovery. Of two workers with evidence, other is chosen if its evidence expires within
// evidenceRenewalWindow and before that of best, and best otherwise. While discovery is out of sync, the time
// left of the leases is compared instead of that of the evidence.
//
// If calls suffice to renew the evidence of all workers and discovery is in sync, best is chosen, since new
// workers have to get calls, too.
func (b *Balancer) preferredWorker(best, other *worker) *worker {
	if best == nil {
		return other
	}
	if !b.outOfSync() && !b.tooFewCallsForEvidence() {
		return best
	}
	left, bestLeft := b.evidenceLeft(other), b.evidenceLeft(best)
	if b.outOfSync() {
		left, bestLeft = b.leaseLeft(other), b.leaseLeft(best)
	}
	switch {
	case left <= 0:
		return best
	case bestLeft <= 0 || left < evidenceRenewalWindow && left < bestLeft:
		return other
	default:
		return best
	}
}

// tooFewCallsForEvidence reports whether this dispatcher's calls are too few to keep current evidence of
// every worker.
func (b *Balancer) tooFewCallsForEvidence() bool { return b.hotSet.callsPerWorker < minOwnCalls }

// evidenceLeft returns the time from now until the evidence that a worker is ready expires; 0 without leases.
func (b *Balancer) evidenceLeft(w *worker) time.Duration {
	if !b.settings.EndpointLeases {
		return 0
	}
	return w.lease.EvidenceLeft(b.settings.leaseTerms, b.now)
}

// keepaliveStep is the current step of a keepalive with a function at a worker.
type keepaliveStep int

const (
	keepaliveNone    keepaliveStep = iota // no keepalive is in progress
	keepaliveQueried                      // the worker was asked how many copies of the function are loaded
	keepaliveOrdered                      // a copy was ordered, as none was loaded
)

// keepalives is the state that the keepalives of all workers share.
type keepalives struct {
	nextAt time.Duration   // time of the next search for leases that are about to expire
	orders []time.Duration // when the recent load orders of keepalives were given, sorted
}

// renewLeases renews the leases of a few workers by keepalives while discovery is out of sync and calls are
// too rare to renew them. Without keepalives, all leases could expire, and no worker could be called
// until the next sync.
//
// A draining worker rejects a load order unless a copy of the function is loaded already. A worker that
// loads a copy for an order is therefore not draining. So a keepalive first asks how many copies of a
// function are loaded, and orders a copy if there is none.
//
// The orders of keepalives count in the load budget, which without calls suffices for two or three workers.
// So the lease that expires last is renewed early, and the leases of further workers only if the budget still
// suffices for the next renewal of that last lease.
func (b *Balancer) renewLeases() {
	if !b.outOfSync() || !b.settings.LoadOrders || b.now < b.keepalives.nextAt {
		return
	}
	b.keepalives.nextAt = b.now + keepaliveInterval
	b.renewLastLease()
	lasting := b.lastingLeases(renewalLead)
	for lasting.count > 0 && lasting.count < maxKeepaliveWorkers && b.mayRenewAnother(lasting) {
		if !b.startNextKeepalive(lasting, renewalLead) {
			return
		}
		lasting = b.lastingLeases(renewalLead)
	}
}

// mayRenewAnother reports whether the load budget suffices to renew the lease of another worker, and
// still for the next renewal of the lease that expires last. The first check counts only Burst, since the
// orders that requests have earned may be used up by then.
func (b *Balancer) mayRenewAnother(lasting lastingLeases) bool {
	budget := &b.loads.budget
	b.keepalives.orders = permit.After(b.keepalives.orders, b.now-budget.Window-budget.Margin)
	if float64(len(b.keepalives.orders)+1+keepaliveOrderReserve) > budget.Burst {
		return false
	}
	return budget.LeftAt(lasting.longest-lastLeaseLead) > float64(lasting.count)
}

// reservedOrders returns how many load orders calls must leave in the budget for keepalives: none while
// discovery is in sync, or if enough workers have leases that last.
func (b *Balancer) reservedOrders() float64 {
	if !b.outOfSync() || b.lastingLeases(renewalLead).count >= maxKeepaliveWorkers {
		return 0
	}
	return keepaliveOrderReserve
}

// renewLastLease renews a lease if no lease lasts longer than lastLeaseLead. It renews one earlier
// if the load budget would be spent when the renewal is due, as after a burst of calls.
func (b *Balancer) renewLastLease() {
	lasting := b.lastingLeases(lastLeaseLead)
	if lasting.count == 0 {
		b.startNextKeepalive(lasting, lastLeaseLead)
		return
	}
	left := lasting.longest - b.now
	spentThen := b.loads.budget.LeftAt(lasting.longest-lastLeaseLead) < 1
	spentSoon := b.loads.budget.LeftAt(b.now+renewalLead) < 1
	if spentThen && spentSoon && !lasting.pending && left < b.settings.leaseTerms.AfterLoad-lastLeaseLead {
		b.startNextKeepalive(lastingLeases{}, left)
	}
}

// lastingLeases summarizes the workers that need no keepalive now.
type lastingLeases struct {
	count   int           // workers that need no keepalive, counted up to maxKeepaliveWorkers
	longest time.Duration // when the lease that expires last does so
	pending bool          // a keepalive is in progress
	zones   map[*zone]int // workers counted by zone
}

// lastingLeases counts the workers whose lease lasts longer than ahead, or that have a keepalive in progress.
func (b *Balancer) lastingLeases(ahead time.Duration) lastingLeases {
	lasting := lastingLeases{zones: map[*zone]int{}}
	for _, w := range b.ready {
		end := b.finalLeaseExpiry(w)
		if w.keepaliveStartedAt > 0 && b.now-w.keepaliveStartedAt < keepaliveTimeout {
			end = b.now + b.settings.leaseTerms.AfterLoad
			lasting.pending = true
		}
		if end-b.now <= ahead {
			continue
		}
		lasting.count++
		lasting.longest = max(lasting.longest, end)
		lasting.zones[w.zone]++
		if lasting.count >= maxKeepaliveWorkers {
			break
		}
	}
	return lasting
}

// finalLeaseExpiry returns the time after which a worker's lease stays expired unless it is renewed.
func (b *Balancer) finalLeaseExpiry(w *worker) time.Duration {
	return w.lease.FinalExpiry(b.settings.leaseTerms, b.leases.syncedAt)
}

// startNextKeepalive starts a keepalive with a worker whose lease expires within ahead, and reports
// whether it started one. It chooses a worker of the zone with the fewest lasting leases. Within a zone,
// the order of workers depends on the dispatcher's seed, so that the dispatchers of a fleet choose
// different workers.
func (b *Balancer) startNextKeepalive(lasting lastingLeases, ahead time.Duration) bool {
	if b.loads.budget.LeftAt(b.now) < 1 {
		return false
	}
	var next *worker
	var nextKey float64
	for _, w := range b.ready {
		if !b.mayStartKeepalive(w) || b.finalLeaseExpiry(w)-b.now > ahead {
			continue
		}
		key := rendezvousKey(mix(b.seed), w.hash, w.fullWeight)
		if next != nil {
			byZone := cmp.Compare(lasting.zones[w.zone], lasting.zones[next.zone])
			if cmp.Or(byZone, cmp.Compare(key, nextKey)) >= 0 {
				continue
			}
		}
		next = w
		nextKey = key
	}
	return next != nil && b.startKeepaliveQuery(next)
}

// mayStartKeepalive reports whether a keepalive with a worker may start.
func (b *Balancer) mayStartKeepalive(w *worker) bool {
	return w.keepaliveStartedAt == 0 && b.now >= w.noKeepaliveUntil && !w.ejected() && b.leaseLeft(w) >= 0
}

// startKeepaliveQuery starts a keepalive query at a worker, and reports whether there was a function for
// it. The query is for the most called function that is not assumed to be loaded there and may be ordered. If
// there is none, the query is for the least called of the others.
func (b *Balancer) startKeepaliveQuery(w *worker) bool {
	var absent, loaded *function
	for _, f := range b.functions {
		p := b.peekPlacement(f, w)
		if !f.succeeded || f.id == "" || p.orderPending || p.inFlight > 0 {
			continue
		}
		if !b.isLoaded(p) && b.now >= p.noOrderUntil {
			absent = mostCalled(absent, f)
		} else if loaded == nil || f.compareCalls(loaded) < 0 {
			loaded = f
		}
	}
	f := cmp.Or(absent, loaded)
	if f == nil {
		return false
	}
	w.keepaliveStartedAt = b.now
	b.queryCopies(f, f.placement(w))
	return true
}

// mostCalled returns the more often called of two functions. f may be nil.
func mostCalled(f, other *function) *function {
	if f == nil || other.compareCalls(f) > 0 {
		return other
	}
	return f
}

// queryCopies asks a worker how many copies of a function are loaded there, by a load order for no copies.
func (b *Balancer) queryCopies(f *function, p *placement) {
	p.worker.keepaliveQueries++
	p.keepalive = keepaliveQueried
	b.emitLoad(f, p, Load{})
}

// compareCalls orders functions by how often they are called, rarely called ones first. Ties go by ID, in
// descending order.
func (f *function) compareCalls(other *function) int {
	return cmp.Or(cmp.Compare(f.calls.value, other.calls.value), cmp.Compare(other.id, f.id))
}

// endKeepalive handles the end of a load order if the order belongs to a keepalive, and reports whether the
// order was a query.
func (b *Balancer) endKeepalive(f *function, p *placement, e LoadEndedEvent) (queried bool) {
	step := p.keepalive
	p.keepalive = keepaliveNone
	switch {
	case step == keepaliveNone:
		return false
	case e.Status != OK:
		p.worker.noKeepaliveUntil = b.now + keepaliveRetryDelay
	case step == keepaliveOrdered && e.WrittenAt > 0:
		p.worker.lease.RecordLoaded(e.WrittenAt-f.proofAge(), e.ConnectedSince, b.leases.syncedAt)
		b.onLeaseChanged(p.worker)
	case step == keepaliveQueried && e.Copies == 0:
		if b.orderKeepaliveCopy(f, p) {
			return true
		}
	case step == keepaliveQueried:
		if b.queryAgain(f, p, e.Copies) {
			return true
		}
	}
	p.worker.keepaliveStartedAt = 0
	p.worker.keepaliveQueries = 0
	return step == keepaliveQueried
}

// queryAgain continues a keepalive after a query that found copies of its function loaded. It queries another
// function. The last query is for the same function again, after an order to unload its idle copies.
func (b *Balancer) queryAgain(f *function, p *placement, copies int) bool {
	if p.worker.keepaliveQueries >= maxKeepaliveQueries {
		return false
	}
	p.copies = copies
	p.noOrderUntil = b.now + seconds(f.loadTime)
	if p.worker.keepaliveQueries < maxKeepaliveQueries-1 {
		return b.startKeepaliveQuery(p.worker)
	}
	b.emit(Unload{Worker: p.worker.ID, Function: f.id})
	p.setUnloaded()
	p.noOrderUntil = 0
	b.queryCopies(f, p)
	return true
}

// orderKeepaliveCopy orders a copy for a keepalive whose query found none loaded, and reports whether it did.
func (b *Balancer) orderKeepaliveCopy(f *function, p *placement) bool {
	if !b.mayOrderLoad(f, p) || b.loads.budget.Take(b.now) != permit.Allowed {
		return false
	}
	b.keepalives.orders = append(b.keepalives.orders, b.now)
	p.keepalive = keepaliveOrdered
	b.emitLoad(f, p, Load{Copies: 1, ProofAge: f.proofAge()})
	return true
}

// proofAge returns how long before a keepalive's order was written the load may have started at the
// earliest. It may have started before the order, since a query counts loaded copies and not those that
// the worker is loading for another dispatcher.
func (f *function) proofAge() time.Duration { return max(time.Millisecond, seconds(f.loadTime)) }
