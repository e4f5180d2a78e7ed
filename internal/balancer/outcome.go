package balancer

// maxObjectiveRatio: a concurrency window shrinks when answers take more of the objective than this.
const maxObjectiveRatio = 0.3

// onOutcome takes in the end of an attempt, then ends or retries its request.
func (b *Balancer) onOutcome(e OutcomeEvent) {
	a := b.pendingAttempt(e)
	if a == nil {
		return
	}
	a.end(e.Status)
	b.recordLatency(a, e)
	b.recordFailure(a, e.Status)
	b.recordContact(a, e)
	b.recordLease(a.worker, e)
	switch e.Status {
	case OK:
		b.onAnswer(a, e)
	case Rejected:
		b.onRejected(a, e)
	case Miss:
		b.onMiss(a, e)
	}
	b.endOrRetry(a, e)
}

// endOrRetry closes an answered request, and retries another one if the retry budget allows it.
func (b *Balancer) endOrRetry(a *attempt, e OutcomeEvent) {
	r := a.request
	r.cancelledForRetry = false
	if e.Answered || r.closed {
		b.close(r, false)
		return
	}
	if e.Status != Miss && e.Status != OK {
		r.excluded[a.worker.ID] = true
		a.placement.avoidUntil = b.now + b.loadedTrust()
	}
	if r.outstanding > 0 {
		return
	}
	if a.mayHaveRun && !b.retries.take() {
		b.finish(r)
	} else {
		b.place(r)
	}
}

// onAnswer learns from an answer how fast the function, the worker and the fleet are.
func (b *Balancer) onAnswer(a *attempt, e OutcomeEvent) {
	f := a.request.function
	w := a.worker
	p := a.placement
	class := w.class(a.request.class.Name)
	class.rejectedInARow /= 2
	class.lastOK = b.now
	for _, errored := range f.erroredWorkers { // another worker answers: the errors were their own
		b.recordResult(errored, f.class, 1)
	}
	f.erroredWorkers = nil
	f.known = true
	p.setLoaded(max(p.copies, 1), b.now+b.loadedTrust())
	b.recordAnswerTime(a, e.Elapsed.Seconds())
	if w.latency.objectiveRatio > maxObjectiveRatio {
		b.decreaseWindow(w)
	} else if w.window.full(len(w.outstanding) + 2) {
		w.window.increase()
	}
	b.learnDemand(f, e.QueueDepth)
	queueFull := b.settings.ReportsQueueDepth && e.QueueDepth >= f.concurrency*p.copies
	if queueFull && p.copies < maxCopies && b.isLoaded(p) {
		b.orderLoad(f, p, p.copies+1, b.loads.window.size)
	}
}

// onRejected learns that a worker lacks room, or takes nothing of the class, whatever its load.
func (b *Balancer) onRejected(a *attempt, e OutcomeEvent) {
	b.learnDemand(a.request.function, e.QueueDepth)
	class := a.worker.class(a.request.class.Name)
	class.rejectedInARow++
	if class.rejectedInARow >= maxRejectedInARow {
		b.ejectClass(class)
		return
	}
	a.worker.fullUntil = b.now + seconds(b.stats.meanAnswer/2)
	b.decreaseWindow(a.worker)
}

// onMiss learns that a copy is missing. If one was loaded, a release or an unload puts the others in doubt.
func (b *Balancer) onMiss(a *attempt, e OutcomeEvent) {
	f := a.request.function
	p := a.placement
	if p.copies > 0 && e.Warmth != WarmthLoadFailed {
		f.distrustCopies(b.now)
	}
	p.setMissing(b.now + f.loadPatience())
	if !b.settings.LoadOrders || e.Warmth == WarmthLoadFailed {
		p.noOrderUntil = b.now + seconds(f.loadTime)
	} else if f.hot && f.groupSize > 1 {
		b.orderLoad(f, p, 1, b.loads.window.size)
	}
}
