package balancer

import (
	"slices"
	"time"

	"kitefall/internal/permit"
)

const (
	retryRatio     = 0.2  // retries and hedged attempts that each request adds to the retry budget
	maxRetryBudget = 20.0 // largest retry budget, which bounds a burst of retries and hedged attempts
)

// attemptsLeft reports whether a request is open, has attempts left and has time for another one.
func (b *Balancer) attemptsLeft(r *request) bool {
	return !r.closed && len(r.attempts) < b.settings.MaxAttempts && !b.tooLate(r)
}

// mayAttempt reports whether a request may be sent to a worker. It applies the rules of package permit,
// and those that only the balancer can check: deadline, deduplication of keyed requests and slow start.
func (b *Balancer) mayAttempt(r *request, w *worker) bool {
	start := permit.StartConditions{Worker: w.State.Permitted(), ClientGone: r.closed, LeaseLeft: b.leaseLeft(w)}
	if start.Check() != permit.Allowed || b.tooLate(r) || b.retryConditions(r).Check() != permit.Allowed {
		return false
	}
	left, limited := r.dedupTimeLeft(b.now)
	if limited && (left <= 0 || !r.dedupScopeCovers(w)) {
		return false
	}
	return b.slowStartAllows(r, w)
}

// send sends a request to a worker if that is allowed. No other function emits Send.
func (b *Balancer) send(r *request, w *worker) {
	if !b.mayAttempt(r, w) {
		return
	}
	var timeout time.Duration
	if r.class.Idempotency != NotIdempotent && !b.settings.Hedging && !b.settings.CanCancel {
		timeout = (r.deadline - b.now) / 2
	}
	// The attempt may have to wait for a connection. After startWithin, workers no longer drop repeats.
	startWithin, _ := r.dedupTimeLeft(b.now)
	if w.ejected() {
		b.postponeProbe(w)
	}
	if class := w.class(r.class.Name); class.consecutiveRejections >= maxConsecutiveRejections {
		b.ejectClass(class)
	}
	if b.warmth(w) < 1 {
		w.slowStart.recentSends = append(w.slowStart.recentSends, b.now)
	}
	r.addAttempt(w, b.now, b.expectedAnswer(r))
	b.emit(Send{ID: r.ID, Worker: w.ID, Timeout: timeout, StartWithin: startWithin})
}

// retryConditions returns the conditions by which package permit allows another attempt of a request.
func (b *Balancer) retryConditions(r *request) permit.RetryConditions {
	return permit.RetryConditions{
		Attempts:    len(r.attempts),
		MaxAttempts: b.settings.MaxAttempts,
		Pending:     r.pendingCount > 0,
		MayHaveRun:  r.mayHaveRun(),
		Repeatable:  r.repeatable(),
		Hedging:     b.settings.Hedging,
	}
}

// mustNotRepeat reports whether another attempt could run a request twice although its class forbids that.
func (r *request) mustNotRepeat() bool {
	return permit.RetryConditions{MayHaveRun: r.mayHaveRun(), Repeatable: r.repeatable()}.Forbidden()
}

// repeatable reports whether the class of the request lets it run more than once.
func (r *request) repeatable() bool { return r.class.Idempotency != NotIdempotent }

// retryIsHarmless reports whether the client may retry a request: the retry is deduplicated, the request
// may run more than once, or it has not run.
func (r *request) retryIsHarmless() bool {
	deduplicated := r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet
	return deduplicated || r.class.Idempotency == Idempotent || !r.mayHaveRun()
}

// hedge sends another attempt for a request whose attempt is overdue at an ejected worker. Without
// hedging it cancels that attempt, if it may and another worker is left, so that a retry can follow.
func (b *Balancer) hedge(r *request) {
	a := r.attempts[len(r.attempts)-1]
	if !b.mayHedge(r, a) {
		return
	}
	r.excluded[a.worker.ID] = true
	if b.settings.Hedging {
		if w, sendNow := b.pickWorker(r, true); sendNow {
			b.retryBudget.take()
			b.send(r, w)
		}
		return
	}
	repeatable := r.class.Idempotency == Idempotent || b.now-a.sentAt < r.class.DedupWindow
	if b.settings.CanCancel && repeatable && b.otherWorkerHealthy(r) {
		r.cancelledForRetry = true
		b.emit(Cancel{ID: r.ID, Attempt: a.index})
	}
}

// otherWorkerHealthy reports whether any worker that a request does not exclude may get it.
func (b *Balancer) otherWorkerHealthy(r *request) bool {
	return slices.ContainsFunc(b.ready, func(w *worker) bool { return b.healthy(r, w) })
}

// mayHedge reports whether a request may be hedged, given its last attempt: the attempt is the only one
// pending and overdue at an ejected worker, and the request, its attempts and the retry budget allow
// another one.
func (b *Balancer) mayHedge(r *request, a *attempt) bool {
	onlyPending := r.pendingCount == 1 && a.pending
	if r.streaming || r.cancelledForRetry || !onlyPending {
		return false
	}
	if !r.repeatable() || !b.attemptsLeft(r) || !b.retryBudget.available() {
		return false
	}
	overdue := (b.now - a.sentAt).Seconds() >= r.function.meanAnswer
	return overdue && a.worker.ejected()
}

// finish gives a request without pending attempts its final answer: Reject if the client may retry,
// otherwise Fail. No other function emits these actions.
func (b *Balancer) finish(r *request) {
	if r.closed || r.pendingCount > 0 {
		return
	}
	if r.retryIsHarmless() {
		b.emit(Reject{ID: r.ID, RetryAfter: b.retryAfter(r)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.close(r, false)
}

// retryAfter returns the time after which a rejected client should retry: the missing copy is usually
// loaded by then. It returns 0 if the settings allow no such advice.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	return min(r.function.maxLoadWait(), b.settings.MaxRetryAfter)
}

// close ends a request. Pending attempts are cancelled if possible, unless the client receives a stream
// from one.
func (b *Balancer) close(r *request, streaming bool) {
	if r == nil {
		return
	}
	r.streaming = r.streaming || streaming
	b.markClosed(r)
	if r.pendingCount == 0 || !b.settings.CanCancel || r.streaming {
		return
	}
	for _, a := range r.attempts {
		if a.pending {
			b.emit(Cancel{ID: r.ID, Attempt: a.index})
		}
	}
}
