package balancer

import (
	"cmp"
	"math"
)

const (
	maxCandidates = 128 // healthy workers that are examined for one request

	// maxEvidenceCandidates is how many workers beyond the group are searched for one with current evidence.
	maxEvidenceCandidates = 16

	maxExtraCandidates = 3   // a request's group is extended until it has this many extra workers
	minCallsPerIdleTTL = 3.0 // expected calls per IdleTTL from which on a copy is assumed to stay loaded
	assumedLoadedRatio = 0.6 // fraction of IdleTTL for which a copy is assumed to be loaded after its last use

	// A worker is overloaded above overloadFactor times the mean load, plus overloadAllowance requests of this
	// dispatcher.
	overloadFactor    = 1.5
	overloadAllowance = 1.5
)

// candidate returns the i-th worker to examine for a function: first the members of its group, starting
// with the one that rotation selects, then the workers after the group in rendezvous order.
func (b *Balancer) candidate(f *function, rotation, i int) *worker {
	if size := min(f.groupSize, len(b.ready)); i < size {
		i = (rotation + i) % size
	}
	return b.workerAt(f, f.groupStart+i)
}

// isLoaded reports whether a copy is assumed to be loaded, judging by this dispatcher's own attempts and
// load orders.
func (b *Balancer) isLoaded(p *placement) bool {
	return p.copies > 0 && (b.now < p.loadedUntil || p.inFlight > 0)
}

// loadedByPeers reports whether traffic is low and the calls of all dispatchers are frequent enough to keep
// a copy loaded at each group member.
func (b *Balancer) loadedByPeers(f *function) bool {
	ownCalls := math.Max(f.calls.value-1, smoothing) * b.settings.IdleTTL.Seconds() / callDecay.Seconds()
	calls := ownCalls / float64(f.groupSize) * float64(b.settings.Dispatchers)
	return b.lowTraffic() && (f.hot || calls >= minCallsPerIdleTTL)
}

// place sends a request that has no pending attempt, makes it wait for a load order, or finishes it. If
// none of these applies, the request is held until the next sweep.
func (b *Balancer) place(r *request) {
	f := r.function
	answerTooLate := r.Retry && b.now+seconds(f.meanAnswer) > r.deadline // its client would have left by then
	cannotBeServed := answerTooLate || b.unknownFunction(f)
	if cannotBeServed || !b.attemptsLeft(r) || r.mustNotRepeat() {
		b.finish(r)
		return
	}
	w, sendNow := b.pickWorker(r, false)
	if w == nil { // held: the next sweep tries again
		return
	}
	p := f.placement(w)
	switch {
	case sendNow:
		b.send(r, w)
	case b.orderLoad(f, p, 1, 2*b.loads.window.size) || p.orderPending:
		r.waitingFor = p
		r.loadWaitUntil = p.orderedAt + f.maxLoadWait()
	case b.now >= p.missingUntil && !b.lastAttemptNeedsCopy(r): // another dispatcher may have ordered a copy
		p.missingUntil = b.now + f.maxLoadWait()
		b.send(r, w)
	}
}

// pickWorker chooses a worker from the group in rotation, or after it in rendezvous order. sendNow
// reports whether the request may be sent there at once; otherwise a copy should first be ordered at the
// worker. With loadedOnly, pickWorker orders no copy and returns a worker only if sendNow is true.
func (b *Balancer) pickWorker(r *request, loadedOnly bool) (w *worker, sendNow bool) {
	f := r.function
	found := b.findCandidates(r)
	if b.lowTraffic() && found.best == nil && !loadedOnly {
		if found.copyReady && r.extraCandidates < maxExtraCandidates &&
			f.groupSize+r.extraCandidates < len(b.ready) {
			r.extraCandidates += max(1, f.groupSize/4)
			return b.pickWorker(r, loadedOnly)
		}
		if found.fallback == nil && found.orderTarget != nil {
			return found.orderTarget, false
		}
	}
	best := cmp.Or(found.best, found.fallback)
	if loadedOnly {
		return best, best != nil
	}
	if best == nil && !found.copyReady {
		return found.orderTarget, false
	}
	if found.orderTarget != nil { // order a copy there for later requests
		b.orderLoad(f, f.placement(found.orderTarget), 1, b.loads.window.size)
	}
	return best, best != nil
}

// findCandidates examines the workers in the function's order until it finds a suitable one. With endpoint
// leases it examines the whole group, because accepted calls renew the evidence that workers are ready, see
// preferredWorker.
func (b *Balancer) findCandidates(r *request) candidates {
	f := r.function
	var found candidates
	visited := 0
	loadedByPeers := b.loadedByPeers(f)
	leasesEnd := b.settings.EndpointLeases
	for i := range b.ready {
		if found.best != nil && i >= f.groupSize+r.extraCandidates {
			b.preferWorkerWithEvidence(r, &found, i)
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
		p := b.peekPlacement(f, w)
		overloaded := b.overloaded(w)
		avoided := b.now < p.avoidUntil && b.lowTraffic()
		inGroup := i < f.groupSize+r.extraCandidates
		if !b.copyReady(r, p, inGroup && loadedByPeers) {
			earlyInOrder := visited <= f.groupSize+1 || !b.lowTraffic()
			if earlyInOrder && !overloaded && b.now >= p.noOrderUntil {
				found.orderTarget = cmp.Or(found.orderTarget, w)
			}
			continue
		}
		if !overloaded && !avoided {
			found.best = b.preferredWorker(found.best, w)
			if leasesEnd {
				continue
			}
			break
		}
		found.copyReady = found.copyReady || !avoided
		b.updateFallback(&found, w)
	}
	return found
}

// preferWorkerWithEvidence replaces the best worker if there is no current evidence that it is ready. The
// replacement is the next worker in the function's order that has current evidence and a copy that is assumed
// to be loaded.
func (b *Balancer) preferWorkerWithEvidence(r *request, found *candidates, start int) {
	if !b.settings.EndpointLeases || b.outOfSync() ||
		!b.tooFewCallsForEvidence() || b.evidenceLeft(found.best) > 0 {
		return
	}
	for i := start; i < min(start+maxEvidenceCandidates, len(b.ready)); i++ {
		w := b.candidate(r.function, r.rotation, i)
		p := b.peekPlacement(r.function, w)
		if !b.isLoaded(p) || b.evidenceLeft(w) <= 0 || b.now < p.avoidUntil || b.overloaded(w) {
			continue
		}
		if b.mayAttempt(r, w) && b.healthy(r, w) {
			found.best = w
			return
		}
	}
}

// updateFallback makes a worker the fallback if it has room and the shortest expected wait so far.
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

// copyReady reports whether a request may be sent to a worker without a load order of its own.
func (b *Balancer) copyReady(r *request, p *placement, loadedByPeers bool) bool {
	if b.isLoaded(p) || !b.needsLoadOrder(p) && !b.lastAttemptNeedsCopy(r) {
		return true
	}
	return loadedByPeers && !p.worker.slowStart.active && b.now >= p.missingUntil
}

// overloaded reports whether a worker has no room, is slow, or has too many requests in flight for its
// capacity.
func (b *Balancer) overloaded(w *worker) bool {
	if !w.hasRoom(b.now) || b.latencyRatio(w) > latencyOutlierRatio {
		return true
	}
	allowance := overloadAllowance * float64(b.settings.Dispatchers) / b.capacity(w)
	return b.load(w) > overloadFactor*b.meanLoad+allowance
}
