package balancer

import (
	"slices"
	"time"
)

// request is one request of a client with its attempts. It is closed once the client has its final answer,
// is receiving a stream, or has left.
type request struct {
	RequestEvent
	class                *Class
	function             *function
	weight               float64
	objective            time.Duration // end of the latency objective
	deadline             time.Duration // when the time left at arrival is over
	attempts             []*attempt
	pendingCount         int // number of pending attempts
	closed               bool
	streaming            bool       // the client receives a stream
	creditedToLoadBudget bool       // the request was credited to the load budget
	cancelledForRetry    bool       // the pending attempt was cancelled so that a retry can follow
	waitingFor           *placement // placement whose load order the request waits for, until loadWaitUntil
	loadWaitUntil        time.Duration
	rotation             int               // offset in the group at which the choice of a worker begins
	extraCandidates      int               // workers beyond the group that the request may go to
	excluded             map[WorkerID]bool // workers that are not tried again
}

// addRequest creates the record of a new request and adds it to the unanswered ones.
func (b *Balancer) addRequest(e RequestEvent, class *Class, f *function) *request {
	stretch := time.Duration(class.ObjectiveStretch * float64(e.WorkEstimate))
	r := &request{
		RequestEvent: e,
		class:        class,
		function:     f,
		weight:       class.Weight,
		objective:    b.now + min(e.TimeLeft, class.LatencyObjective+stretch),
		deadline:     b.now + e.TimeLeft,
		rotation:     f.rotation,
		excluded:     map[WorkerID]bool{},
	}
	f.references++
	b.requests[e.ID] = r
	b.unanswered = append(b.unanswered, r)
	return r
}

// candidates is the result of a search through the workers for a request.
type candidates struct {
	best         *worker // the preferred worker that needs no load order and is neither overloaded nor avoided
	fallback     *worker // needs no load order, but is overloaded or avoided: the one with the shortest wait
	fallbackWait float64 // estimated wait there, as a multiple of that at an idle worker
	orderTarget  *worker // the first worker where a copy could be ordered
	copyReady    bool    // a worker that is not avoided needs no load order
}

// attempt is one attempt of a request at a worker.
type attempt struct {
	request    *request
	index      int
	worker     *worker
	placement  *placement
	sentAt     time.Duration
	pending    bool
	mayHaveRun bool    // the attempt has ended and may have run
	notWritten bool    // the attempt has ended and was never written completely
	expected   float64 // expected answer time, in seconds
}

// addAttempt records an attempt that is sent to a worker now.
func (r *request) addAttempt(w *worker, now time.Duration, expected float64) {
	a := &attempt{
		request:   r,
		index:     len(r.attempts),
		worker:    w,
		placement: r.function.placement(w),
		sentAt:    now,
		pending:   true,
		expected:  expected,
	}
	r.attempts = append(r.attempts, a)
	r.waitingFor = nil
	r.pendingCount++
	a.placement.inFlight++
	w.pendingAttempts = append(w.pendingAttempts, a)
}

// end records the end of a pending attempt.
func (a *attempt) end(status Status) {
	a.pending = false
	a.notWritten = status == ConnectFailed || status == NotSent
	a.mayHaveRun = !a.notWritten && status != Rejected && status != Miss
	a.request.pendingCount--
	a.placement.inFlight--
	a.worker.pendingAttempts = remove(a.worker.pendingAttempts, a)
}

// abandonLoadWait ends the request's wait for a load order and excludes the worker of that order.
func (r *request) abandonLoadWait() {
	r.excluded[r.waitingFor.worker.ID] = true
	r.waitingFor = nil
}

// markClosed marks a request as closed, and deletes it if no attempt is pending.
func (b *Balancer) markClosed(r *request) {
	if !r.closed {
		r.closed = true
		r.waitingFor = nil
		r.function.references--
		b.unanswered = remove(b.unanswered, r)
	}
	if r.pendingCount == 0 {
		delete(b.requests, r.ID)
	}
}

// classOf returns the class of a request. Requests of a class that the settings do not name are not
// idempotent, and neither are those of a class that is IdempotentWithKey if they have no key.
func (b *Balancer) classOf(e RequestEvent) *Class {
	if class := b.classes[e.Class]; class != nil {
		if class.Idempotency == IdempotentWithKey && e.KeyMissing {
			keyless := *class
			keyless.Idempotency = NotIdempotent
			return &keyless
		}
		return class
	}
	return &Class{Name: e.Class, Weight: 1, LatencyObjective: e.TimeLeft, Deadline: e.TimeLeft,
		Idempotency: NotIdempotent}
}

// pendingAttempt returns the attempt that an outcome ends, or nil if no such attempt is pending.
func (b *Balancer) pendingAttempt(e OutcomeEvent) *attempt {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return nil
	}
	if a := r.attempts[e.Attempt]; a.pending {
		return a
	}
	return nil
}

// mayRun reports whether the attempt may still run or may have run.
func (a *attempt) mayRun() bool { return a.pending || a.mayHaveRun }

// mayHaveRun reports whether an attempt of the request may still run or may have run.
func (r *request) mayHaveRun() bool { return slices.ContainsFunc(r.attempts, (*attempt).mayRun) }

// reachedWorker reports whether an attempt of the request has reached a worker, or may have.
func (r *request) reachedWorker() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.notWritten })
}

func (r *request) arrivedAt() time.Duration { return r.deadline - r.TimeLeft }

// halfTime returns when half of the time is over that the request had left at arrival.
func (r *request) halfTime() time.Duration { return r.arrivedAt() + r.TimeLeft/2 }
