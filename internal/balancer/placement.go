package balancer

import (
	"cmp"
	"math"
)

const (
	maxCandidates = 128 // healthy workers that are looked at for one request
	// maxProvenCandidates is how many workers beyond its group are looked at for one that is proven to be ready.
	maxProvenCandidates = 16
	maxExtraCandidates  = 3   // workers beyond its group that a request may go to
	minCallsPerIdleTTL  = 3.0 // expected calls within the idle time by which a copy is taken to be loaded
	loadedTrustRatio    = 0.6 // a copy is believed to be loaded for this part of its idle time
	overloadFactor      = 1.5 // a worker is passed over above this multiple of the mean load ...
	overloadAllowance   = 1.5 // ... plus this many requests
)

// candidate is the i-th worker for a function: its group from a rotation on, then onward in rendezvous order.
func (b *Balancer) candidate(f *function, rotation, i int) *worker {
	if size := min(f.groupSize, len(b.ready)); i < size {
		i = (rotation + i) % size
	}
	return b.workerAt(f, f.groupStart+i)
}

// isLoaded reports whether a copy is believed to be loaded, by this dispatcher's own attempts.
func (b *Balancer) isLoaded(p *placement) bool {
	return p.copies > 0 && (b.now < p.loadedUntil || p.inFlight > 0)
}

// loadedByPeers reports whether the calls of all dispatchers must keep a copy loaded at each group member.
func (b *Balancer) loadedByPeers(f *function) bool {
	ownCalls := math.Max(f.calls.value-1, smoothing) * b.settings.IdleTTL.Seconds() / callDecay.Seconds()
	calls := ownCalls / float64(f.groupSize) * float64(b.settings.Dispatchers)
	return b.lowTraffic() && (f.hot || calls >= minCallsPerIdleTTL)
}

// place sends a request without a pending attempt, has it wait for a load order, or finishes it.
func (b *Balancer) place(r *request) {
	f := r.function
	answerTooLate := r.Retry && b.now+seconds(f.meanAnswer) > r.deadline // its client would be gone
	hopeless := answerTooLate || b.unknownFunction(f)
	if hopeless || !b.attemptsLeft(r) || r.mustNotRepeat() {
		b.finish(r)
		return
	}
	w, ready := b.pickWorker(r, false)
	if w == nil { // held: the next sweep tries again
		return
	}
	p := f.placement(w)
	switch {
	case ready:
		b.send(r, w)
	case b.orderLoad(f, p, 1, 2*b.loads.window.size) || p.ordered:
		r.waitingFor = p
		r.waitUntil = p.orderedAt + f.loadPatience()
	case b.now >= p.missingUntil && !b.lastAttemptNeedsCopy(r): // another dispatcher may have ordered a copy
		p.missingUntil = b.now + f.loadPatience()
		b.send(r, w)
	}
}

// pickWorker chooses a worker, of the group in turn or onward in rendezvous order. ready reports whether the
// request may go now; otherwise the worker is where a copy should be ordered first.
func (b *Balancer) pickWorker(r *request, loadedOnly bool) (w *worker, ready bool) {
	f := r.function
	found := b.findCandidates(r)
	if b.lowTraffic() && found.best == nil && !loadedOnly {
		if found.copyReady && r.extraCandidates < maxExtraCandidates &&
			f.groupSize+r.extraCandidates < len(b.ready) {
			r.extraCandidates += max(1, f.groupSize/4)
			return b.pickWorker(r, loadedOnly)
		}
		if found.fallback == nil && found.unloaded != nil {
			return found.unloaded, false
		}
	}
	best := cmp.Or(found.best, found.fallback)
	if loadedOnly {
		return best, best != nil
	}
	if best == nil && !found.copyReady {
		return found.unloaded, false
	}
	if found.unloaded != nil { // a better place lacks a copy: have it there next time
		b.orderLoad(f, f.placement(found.unloaded), 1, b.loads.window.size)
	}
	return best, best != nil
}

// findCandidates looks at the workers in the function's order until one is best. Where leases end it looks at
// the whole group: calls are what proves that workers are ready.
func (b *Balancer) findCandidates(r *request) candidates {
	f := r.function
	var found candidates
	visited := 0
	loadedByPeers := b.loadedByPeers(f)
	renewing := b.settings.EndpointLeases
	for i := range b.ready {
		if found.best != nil && i >= f.groupSize+r.extraCandidates {
			b.preferProvenWorker(r, &found, i)
			break
		}
		w := b.candidate(f, r.rotation, i)
		if b.skippedInSlowStart(r, w, i) || !b.mayAttempt(r, w) || !b.healthy(r, w) {
			continue
		}
		visited++
		if visited > maxCandidates {
			break
		}
		if b.lowTraffic() && visited > f.groupSize+r.extraCandidates+1 {
			break
		}
		p := b.look(f, w)
		overloaded := b.overloaded(w)
		avoided := b.now < p.avoidUntil && b.lowTraffic()
		inGroup := i < f.groupSize+r.extraCandidates
		if !b.copyReady(r, p, inGroup && loadedByPeers) {
			near := visited <= f.groupSize+1 || !b.lowTraffic()
			if near && !overloaded && b.now >= p.noOrderUntil {
				found.unloaded = cmp.Or(found.unloaded, w)
			}
			continue
		}
		if !overloaded && !avoided {
			found.best = b.preferred(found.best, w)
			if renewing {
				continue
			}
			break
		}
		found.copyReady = found.copyReady || !avoided
		b.updateFallback(&found, w)
	}
	return found
}

// preferProvenWorker takes a worker in place of the best one if that is not proven to be ready: the first one of
// the next in the function's order that is, and where a copy is loaded.
func (b *Balancer) preferProvenWorker(r *request, found *candidates, next int) {
	if !b.settings.EndpointLeases || b.outOfSync() || !b.fewCalls() || b.evidenceLeft(found.best) > 0 {
		return
	}
	for i := next; i < min(next+maxProvenCandidates, len(b.ready)); i++ {
		w := b.candidate(r.function, r.rotation, i)
		p := b.look(r.function, w)
		if !b.isLoaded(p) || b.evidenceLeft(w) <= 0 || b.now < p.avoidUntil || b.overloaded(w) {
			continue
		}
		if b.mayAttempt(r, w) && b.healthy(r, w) {
			found.best = w
			return
		}
	}
}

// updateFallback takes a worker with room for the fallback if its wait is the shortest yet.
func (b *Balancer) updateFallback(found *candidates, w *worker) {
	if !w.hasRoom(b.now) {
		return
	}
	wait := (1 + b.load(w)) * b.latencyRatio(w)
	if found.fallback == nil || wait < found.fallbackWait {
		found.fallback = w
		found.fallbackWait = wait
	}
}

// copyReady reports whether a request needs no load order of its own at a worker.
func (b *Balancer) copyReady(r *request, p *placement, loadedByPeers bool) bool {
	if b.isLoaded(p) || !b.needsLoadOrder(p) && !b.lastAttemptNeedsCopy(r) {
		return true
	}
	return loadedByPeers && !p.worker.slowStart.active && b.now >= p.missingUntil
}

// overloaded reports whether a worker is full, slow, or holds many requests for its capacity.
func (b *Balancer) overloaded(w *worker) bool {
	if !w.hasRoom(b.now) || b.latencyRatio(w) > latencyOutlierRatio {
		return true
	}
	slack := overloadAllowance * float64(b.settings.Dispatchers) / b.capacity(w)
	return b.load(w) > overloadFactor*b.meanLoad+slack
}
