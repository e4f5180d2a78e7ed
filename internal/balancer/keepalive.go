package balancer

import (
	"cmp"
	"time"

	"kitefall/internal/permit"
)

const (
	renewWithin       = 4 * time.Second        // a proof is renewed by calls so long before its end
	keepaliveInterval = 100 * time.Millisecond // how often leases that are about to end are looked for
	keepaliveAhead    = time.Second            // a lease is renewed so long before its end ...
	lastLeaseAhead    = 5 * time.Second / 2    // ... and so long where no other lease lasts longer
	keepalivePatience = 500 * time.Millisecond // a keepalive that takes longer counts as lost
	keepaliveRetry    = 5 * time.Second        // a worker without success is left alone for so long
	// maxKeptWorkers is how many workers keepalives are for; with so many proven by calls there are none.
	maxKeptWorkers   = 3
	maxKeepaliveAsks = 4 // of one keepalive
	// keepaliveReserve is how many orders calls leave for keepalives while discovery is silent.
	keepaliveReserve = 1
	// minKeptFunctions is how many functions are remembered although nobody calls them: a keepalive needs one.
	minKeptFunctions = 8
)

// preferred returns the better one of two workers that suit a request alike; best may be nil. A worker that
// was proven to be ready by what it did goes before one of which only the list tells, so that a dispatcher
// keeps as many workers proven as its calls can: an answer of discovery with nothing new cannot be told from
// an outage. Of two proven ones, and of all while discovery is silent, it is the one whose lease ends first,
// if that is soon, and else the first. Where calls are many enough to prove all workers, it is the first: one
// that is new has to get calls, too.
func (b *Balancer) preferred(best, other *worker) *worker {
	if best == nil {
		return other
	}
	if !b.outOfSync() && !b.fewCalls() {
		return best
	}
	left, bestLeft := b.evidenceLeft(other), b.evidenceLeft(best)
	if b.outOfSync() {
		left, bestLeft = b.leaseLeft(other), b.leaseLeft(best)
	}
	switch {
	case left <= 0:
		return best
	case bestLeft <= 0 || left < renewWithin && left < bestLeft:
		return other
	default:
		return best
	}
}

// fewCalls reports whether own calls are too few to prove each worker again and again.
func (b *Balancer) fewCalls() bool { return b.hotSet.callsPerWorker < minOwnCalls }

// evidenceLeft is for how long what a worker has done will still speak for it.
func (b *Balancer) evidenceLeft(w *worker) time.Duration {
	if !b.settings.EndpointLeases {
		return 0
	}
	return w.lease.EvidenceLeft(b.settings.leaseTerms, b.now)
}

// keepaliveStep is how far a keepalive with a function at a worker has come.
type keepaliveStep int

const (
	keepaliveNone    keepaliveStep = iota
	keepaliveAsked                 // how many copies stand there
	keepaliveOrdered               // a copy, where none stood
)

// keepalives is the state of the keepalives of all workers.
type keepalives struct {
	nextAt time.Duration   // when leases that are about to end are looked for next
	orders []time.Duration // recent ones, sorted
}

// keepLeases renews leases of a few workers while discovery is silent and calls are too rare to renew them:
// otherwise nobody would be left who may be called until discovery is heard again. A worker that drains
// rejects a load order, unless a copy stands there; one that carries it out takes what is new. So a keepalive
// asks how many copies of a function stand, and orders one where none does.
//
// Orders count for the load budget, which without calls lasts for two or three workers. So the last lease is
// renewed early, and further ones only where the budget will still serve its next renewal.
func (b *Balancer) keepLeases() {
	if !b.outOfSync() || !b.settings.LoadOrders || b.now < b.keepalives.nextAt {
		return
	}
	b.keepalives.nextAt = b.now + keepaliveInterval
	b.keepLastLease()
	kept := b.keptLeases(keepaliveAhead)
	for kept.count > 0 && kept.count < maxKeptWorkers && b.mayKeepFurther(kept) {
		if !b.keepNext(kept, keepaliveAhead) {
			return
		}
		kept = b.keptLeases(keepaliveAhead)
	}
}

// mayKeepFurther reports whether the budget lasts for a further worker besides those that are kept, and still
// for the next renewal of the last lease. What the budget has by requests may be gone by then.
func (b *Balancer) mayKeepFurther(kept keptLeases) bool {
	budget := &b.loads.budget
	b.keepalives.orders = permit.After(b.keepalives.orders, b.now-budget.Window-budget.Margin)
	if float64(len(b.keepalives.orders)+1+keepaliveReserve) > budget.Burst {
		return false
	}
	return budget.LeftAt(kept.longest-lastLeaseAhead) > float64(kept.count)
}

// reservedOrders is how many load orders are left for keepalives: none where discovery is heard, or calls
// prove enough workers.
func (b *Balancer) reservedOrders() float64 {
	if !b.outOfSync() || b.keptLeases(keepaliveAhead).count >= maxKeptWorkers {
		return 0
	}
	return keepaliveReserve
}

// keepLastLease renews a lease where none lasts for lastLeaseAhead. Where the budget would be spent by then,
// as after a burst of calls, it does so before that.
func (b *Balancer) keepLastLease() {
	kept := b.keptLeases(lastLeaseAhead)
	if kept.count == 0 {
		b.keepNext(kept, lastLeaseAhead)
		return
	}
	left := kept.longest - b.now
	spentThen := b.loads.budget.LeftAt(kept.longest-lastLeaseAhead) < 1
	spentSoon := b.loads.budget.LeftAt(b.now+keepaliveAhead) < 1
	if spentThen && spentSoon && !kept.pending && left < b.settings.leaseTerms.Loaded-lastLeaseAhead {
		b.keepNext(keptLeases{}, left)
	}
}

// keptLeases is the workers that need no keepalive now.
type keptLeases struct {
	count   int
	longest time.Duration // when the last of their leases ends
	pending bool          // a keepalive is under way
	zones   map[*zone]int
}

// keptLeases returns the workers whose leases last for longer than a time, or have a keepalive under way.
func (b *Balancer) keptLeases(ahead time.Duration) keptLeases {
	kept := keptLeases{zones: map[*zone]int{}}
	for _, w := range b.ready {
		end := b.provenUntil(w)
		if w.keepaliveAt > 0 && b.now-w.keepaliveAt < keepalivePatience {
			end = b.now + b.settings.leaseTerms.Loaded
			kept.pending = true
		}
		if end-b.now <= ahead {
			continue
		}
		kept.count++
		kept.longest = max(kept.longest, end)
		kept.zones[w.zone]++
		if kept.count >= maxKeptWorkers {
			break
		}
	}
	return kept
}

// provenUntil returns when the lease of a worker ends for good without further evidence.
func (b *Balancer) provenUntil(w *worker) time.Duration {
	return w.lease.ProvenUntil(b.settings.leaseTerms, b.leases.syncedAt)
}

// keepNext begins a keepalive with the next worker whose lease ends within a time, and reports whether there
// is one: of a zone with the fewest that are kept, and first in an order of this dispatcher's own, so that
// others of a fleet keep others.
func (b *Balancer) keepNext(kept keptLeases, ahead time.Duration) bool {
	if b.loads.budget.LeftAt(b.now) < 1 {
		return false
	}
	var next *worker
	var nextKey float64
	for _, w := range b.ready {
		if !b.mayKeep(w) || b.provenUntil(w)-b.now > ahead {
			continue
		}
		key := rendezvousKey(mix(b.seed), w.hash, w.fullWeight)
		if next != nil {
			byZone := cmp.Compare(kept.zones[w.zone], kept.zones[next.zone])
			if cmp.Or(byZone, cmp.Compare(key, nextKey)) >= 0 {
				continue
			}
		}
		next = w
		nextKey = key
	}
	return next != nil && b.askKeepalive(next)
}

// mayKeep reports whether a keepalive with a worker may begin.
func (b *Balancer) mayKeep(w *worker) bool {
	return w.keepaliveAt == 0 && b.now >= w.noKeepaliveUntil && !w.unavailable() && b.leaseLeft(w) >= 0
}

// askKeepalive begins a keepalive with a worker: it asks for the function that is called most of those that
// are not believed to be loaded there, or else for the one that is called least. It reports whether there is
// one.
func (b *Balancer) askKeepalive(w *worker) bool {
	var absent, loaded *function
	for _, f := range b.functions {
		p := b.look(f, w)
		if !f.known || f.id == "" || p.ordered || p.inFlight > 0 {
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
	w.keepaliveAt = b.now
	b.ask(f, f.placement(w))
	return true
}

func mostCalled(f, other *function) *function {
	if f == nil || other.compareCalls(f) > 0 {
		return other
	}
	return f
}

// ask asks how many copies of a function stand at a worker.
func (b *Balancer) ask(f *function, p *placement) {
	p.worker.keepaliveAsks++
	p.keepalive = keepaliveAsked
	b.emitLoad(f, p, Load{})
}

// compareCalls orders functions by how often they are called.
func (f *function) compareCalls(other *function) int {
	return cmp.Or(cmp.Compare(f.calls.value, other.calls.value), cmp.Compare(other.id, f.id))
}

// endKeepalive takes in the end of a keepalive's ask or order, and reports whether it only asked.
func (b *Balancer) endKeepalive(f *function, p *placement, e LoadEndedEvent) (asked bool) {
	step := p.keepalive
	p.keepalive = keepaliveNone
	switch {
	case step == keepaliveNone:
		return false
	case e.Status != OK:
		p.worker.noKeepaliveUntil = b.now + keepaliveRetry
	case step == keepaliveOrdered && e.WrittenAt > 0:
		p.worker.lease.Loaded(e.WrittenAt-f.proofAge(), e.ConnectedSince, b.leases.syncedAt)
		b.leaseChanged(p.worker)
	case step == keepaliveAsked && e.Copies == 0:
		if b.orderKeepalive(f, p) {
			return true
		}
	case step == keepaliveAsked:
		if b.askAgain(f, p, e.Copies) {
			return true
		}
	}
	p.worker.keepaliveAt = 0
	p.worker.keepaliveAsks = 0
	return step == keepaliveAsked
}

// askAgain goes on with a keepalive where copies of its function stand: with another function, and after a
// few with the same, whose idle copies are unloaded first.
func (b *Balancer) askAgain(f *function, p *placement, copies int) bool {
	if p.worker.keepaliveAsks >= maxKeepaliveAsks {
		return false
	}
	p.copies = copies
	p.noOrderUntil = b.now + seconds(f.loadTime)
	if p.worker.keepaliveAsks < maxKeepaliveAsks-1 {
		return b.askKeepalive(p.worker)
	}
	b.emit(Unload{Worker: p.worker.ID, Function: f.id})
	p.setUnloaded()
	p.noOrderUntil = 0
	b.ask(f, p)
	return true
}

// orderKeepalive orders the copy of a keepalive, where none stands.
func (b *Balancer) orderKeepalive(f *function, p *placement) bool {
	if !b.mayOrderLoad(f, p) || b.loads.budget.Take(b.now) != permit.Allowed {
		return false
	}
	b.keepalives.orders = append(b.keepalives.orders, b.now)
	p.keepalive = keepaliveOrdered
	b.emitLoad(f, p, Load{Copies: 1, ProofAge: f.proofAge()})
	return true
}

// proofAge is how long before a keepalive's order was written the load may have begun: the ask counts copies
// that stand, not those that another dispatcher has being loaded.
func (f *function) proofAge() time.Duration { return max(time.Millisecond, seconds(f.loadTime)) }
