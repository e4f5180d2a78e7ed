package balancer

// maxObjectiveRatio limits a worker's running mean of the ratio of answer time to the class's latency
// objective. While the mean is above it, answers shrink the worker's concurrency window.
const maxObjectiveRatio = 0.3

// onOutcome records the end of an attempt, then ends or retries its request.
func (b *Balancer) onOutcome(e OutcomeEvent) {
	a := b.pendingAttempt(e)
	if a == nil {
		return
	}
	a.end(e.Status)
	b.recordLatency(a, e)
	b.recordAttemptResult(a, e.Status)
	b.recordContact(a, e)
	b.updateLease(a.worker, e)
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

// endOrRetry closes a request that is answered. Otherwise it places the request again, or finishes it if
// its attempt may have run and the retry budget is used up.
func (b *Balancer) endOrRetry(a *attempt, e OutcomeEvent) {
	r := a.request
	r.cancelledForRetry = false
	if e.Answered || r.closed {
		b.close(r, false)
		return
	}
	if e.Status != Miss && e.Status != OK {
		r.excluded[a.worker.ID] = true
		a.placement.avoidUntil = b.now + b.assumedLoadedTime()
	}
	if r.pendingCount > 0 {
		return
	}
	if a.mayHaveRun && !b.retryBudget.take() {
		b.finish(r)
	} else {
		b.place(r)
	}
}

// onAnswer updates estimates, the copies assumed to be loaded and the worker's concurrency window after an
// answer. It orders another copy where all copies are busy.
func (b *Balancer) onAnswer(a *attempt, e OutcomeEvent) {
	f := a.request.function
	w := a.worker
	p := a.placement
	class := w.class(a.request.class.Name)
	class.consecutiveRejections /= 2
	class.lastAnswerAt = b.now
	for _, errored := range f.erroredWorkers { // the function works, so the errors were the workers' fault
		b.recordResult(errored, f.class, 1)
	}
	f.erroredWorkers = nil
	f.succeeded = true
	p.setLoaded(max(p.copies, 1), b.now+b.assumedLoadedTime())
	b.recordAnswerTime(a, e.Elapsed.Seconds())
	if w.latency.objectiveRatio > maxObjectiveRatio {
		b.decreaseWindow(w)
	} else if w.window.full(len(w.pendingAttempts) + 2) {
		w.window.increase()
	}
	b.updateDemand(f, e.QueueDepth)
	queueFull := b.settings.ReportsQueueDepth && e.QueueDepth >= f.concurrency*p.copies
	if queueFull && p.copies < maxCopies && b.isLoaded(p) {
		b.orderLoad(f, p, p.copies+1, b.loads.window.size)
	}
}

// onRejected handles a rejection. The worker counts as full for a while. After maxConsecutiveRejections
// consecutive rejections it is taken to reject the class whatever its load, and the class is ejected
// instead.
func (b *Balancer) onRejected(a *attempt, e OutcomeEvent) {
	b.updateDemand(a.request.function, e.QueueDepth)
	class := a.worker.class(a.request.class.Name)
	class.consecutiveRejections++
	if class.consecutiveRejections >= maxConsecutiveRejections {
		b.ejectClass(class)
		return
	}
	a.worker.countsAsFullUntil = b.now + seconds(b.stats.meanAnswer/2)
	b.decreaseWindow(a.worker)
}

// onMiss records that no copy is loaded at a worker. If one was assumed to be loaded, a new release of the
// function or an unload may have removed the copies at other workers too.
func (b *Balancer) onMiss(a *attempt, e OutcomeEvent) {
	f := a.request.function
	p := a.placement
	if p.copies > 0 && e.Warmth != WarmthLoadFailed {
		f.expireCopies(b.now)
	}
	p.setMissing(b.now + f.maxLoadWait())
	if !b.settings.LoadOrders || e.Warmth == WarmthLoadFailed {
		p.noOrderUntil = b.now + seconds(f.loadTime)
	} else if f.hot && f.groupSize > 1 {
		b.orderLoad(f, p, 1, b.loads.window.size)
	}
}
