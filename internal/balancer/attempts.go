package balancer

import (
	"time"

	"kitefall/internal/permit"
)

const (
	retryRatio     = 0.2  // hedged requests and retries, as a part of the requests taken
	maxRetryBudget = 20.0 // ... and as many at once
)

// attemptsLeft reports whether a request may have another attempt at all.
func (b *Balancer) attemptsLeft(r *request) bool {
	return !r.closed && len(r.attempts) < b.settings.MaxAttempts && !b.tooLate(r)
}

// mayAttempt reports whether a request may be sent to a worker: what package permit rules for all, and what
// only the balancer knows, the scope of keys and the slow start.
func (b *Balancer) mayAttempt(r *request, w *worker) bool {
	start := permit.Start{Worker: w.State.Permitted(), ClientGone: r.closed, LeaseLeft: b.leaseLeft(w)}
	if start.Check() != permit.Allowed || b.tooLate(r) || b.repeat(r).Check() != permit.Allowed {
		return false
	}
	left, limited := r.dedupTimeLeft(b.now)
	if limited && (left <= 0 || !r.dedupScopeHolds(w)) {
		return false
	}
	return b.slowStartAllows(r, w)
}

// send is the one place that emits Send.
func (b *Balancer) send(r *request, w *worker) {
	if !b.mayAttempt(r, w) {
		return
	}
	var timeout time.Duration
	if r.class.Idempotency != NotIdempotent && !b.settings.Hedging && !b.settings.CanCancel {
		timeout = (r.deadline - b.now) / 2
	}
	startWithin, _ := r.dedupTimeLeft(b.now) // it may wait for a connection: by then a repeat would run
	if w.unavailable() {
		b.postponeProbe(w)
	}
	if class := w.class(r.class.Name); class.rejectedInARow >= maxRejectedInARow {
		b.ejectClass(class)
	}
	if b.warmth(w) < 1 {
		w.slowStart.sends = append(w.slowStart.sends, b.now)
	}
	r.addAttempt(w, b.now, b.expectedAnswer(r))
	b.emit(Send{ID: r.ID, Worker: w.ID, Timeout: timeout, StartWithin: startWithin})
}

// repeat returns the facts on another attempt of a request.
func (b *Balancer) repeat(r *request) permit.Repeat {
	return permit.Repeat{
		Attempts:    len(r.attempts),
		MaxAttempts: b.settings.MaxAttempts,
		Pending:     r.outstanding > 0,
		MayHaveRun:  r.mayHaveRun(),
		Repeatable:  r.repeatable(),
		Hedging:     b.settings.Hedging,
	}
}

// mustNotRepeat reports whether another attempt could run the request twice where it must not.
func (r *request) mustNotRepeat() bool {
	return permit.Repeat{MayHaveRun: r.mayHaveRun(), Repeatable: r.repeatable()}.Forbidden()
}

// repeatable reports whether the class of the request lets it run more than once.
func (r *request) repeatable() bool { return r.class.Idempotency != NotIdempotent }

// retryIsHarmless reports whether a retry of the client cannot run the request twice where it must not.
func (r *request) retryIsHarmless() bool {
	deduplicated := r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet
	return deduplicated || r.class.Idempotency == Idempotent || !r.mayHaveRun()
}

// hedge sends another attempt for a request whose worker is unavailable, or cancels the first to make room.
func (b *Balancer) hedge(r *request) {
	a := r.attempts[len(r.attempts)-1]
	if !b.mayHedge(r, a) {
		return
	}
	r.excluded[a.worker.ID] = true
	if b.settings.Hedging {
		if w, ready := b.pickWorker(r, true); ready {
			b.retries.take()
			b.send(r, w)
		}
		return
	}
	repeatable := r.class.Idempotency == Idempotent || b.now-a.sentAt < r.class.DedupWindow
	if b.settings.CanCancel && repeatable {
		r.cancelledForRetry = true
		b.emit(Cancel{ID: r.ID, Attempt: a.index})
	}
}

// mayHedge reports whether an attempt is the only one pending, and overdue at a worker that is unavailable.
func (b *Balancer) mayHedge(r *request, a *attempt) bool {
	onlyPending := r.outstanding == 1 && a.pending
	if r.streaming || r.cancelledForRetry || !onlyPending {
		return false
	}
	if !r.repeatable() || !b.attemptsLeft(r) || !b.retries.available() {
		return false
	}
	overdue := (b.now - a.sentAt).Seconds() >= r.function.meanAnswer
	return overdue && a.worker.unavailable()
}

// finish is the one place that emits Reject, where a retry does no harm, and Fail; no attempt may be pending.
func (b *Balancer) finish(r *request) {
	if r.closed || r.outstanding > 0 {
		return
	}
	if r.retryIsHarmless() {
		b.emit(Reject{ID: r.ID, RetryAfter: b.retryAfter(r)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.close(r, false)
}

// retryAfter is the advice of a rejection: by then the copy that was lacking is usually loaded.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	return min(r.function.loadPatience(), b.settings.MaxRetryAfter)
}

// close ends a request; attempts still pending are cancelled, unless the client receives their stream.
func (b *Balancer) close(r *request, streaming bool) {
	if r == nil {
		return
	}
	r.streaming = r.streaming || streaming
	b.markClosed(r)
	if r.outstanding == 0 || !b.settings.CanCancel || r.streaming {
		return
	}
	for _, a := range r.attempts {
		if a.pending {
			b.emit(Cancel{ID: r.ID, Attempt: a.index})
		}
	}
}
