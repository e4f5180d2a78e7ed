package balancer

import (
	"slices"
	"time"
)

// request is one request of a client and its attempts. It is closed once the client has its final answer or
// has left.
type request struct {
	RequestEvent
	class             *Class
	function          *function
	weight            float64
	objective         time.Duration // when its latency objective is over
	deadline          time.Duration
	attempts          []*attempt
	outstanding       int // attempts pending
	closed            bool
	streaming         bool       // the client receives a stream
	earnedLoads       bool       // it counts for the load budget
	cancelledForRetry bool       // its attempt was cancelled to make room for another
	waitingFor        *placement // the load order it waits for, until waitUntil
	waitUntil         time.Duration
	rotation          int // of its function's group
	extraCandidates   int // workers beyond the group that it may go to
	excluded          map[WorkerID]bool
}

// addRequest returns a new request, which is unanswered.
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

// candidates is what a look at the workers for a request has found.
type candidates struct {
	best         *worker // the first that is ready, neither overloaded nor avoided
	fallback     *worker // ready but overloaded or avoided: the one with the shortest wait
	fallbackWait float64
	unloaded     *worker // the first where a copy could be ordered
	copyReady    bool    // a copy is ready at a worker that is not avoided
}

// attempt is one attempt of a request at a worker.
type attempt struct {
	request    *request
	index      int
	worker     *worker
	placement  *placement
	sentAt     time.Duration
	pending    bool
	mayHaveRun bool    // it has ended and may have run
	notWritten bool    // it has ended and was never written whole
	expected   float64 // seconds that its answer should take
}

// addAttempt notes an attempt that is sent now.
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
	r.outstanding++
	a.placement.inFlight++
	w.outstanding = append(w.outstanding, a)
}

// end notes the end of a pending attempt.
func (a *attempt) end(status Status) {
	a.pending = false
	a.notWritten = status == ConnectFailed || status == NotSent
	a.mayHaveRun = !a.notWritten && status != Rejected && status != Miss
	a.request.outstanding--
	a.placement.inFlight--
	a.worker.outstanding = remove(a.worker.outstanding, a)
}

// giveUpLoad ends the wait for a load order and excludes its worker.
func (r *request) giveUpLoad() {
	r.excluded[r.waitingFor.worker.ID] = true
	r.waitingFor = nil
}

// markClosed notes that a request needs no answer any more, and forgets it once no attempt is pending.
func (b *Balancer) markClosed(r *request) {
	if !r.closed {
		r.closed = true
		r.waitingFor = nil
		r.function.references--
		b.unanswered = remove(b.unanswered, r)
	}
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	}
}

// classOf returns the class of a request; one that the settings do not name may never be repeated.
func (b *Balancer) classOf(e RequestEvent) *Class {
	if class := b.classes[e.Class]; class != nil {
		return class
	}
	return &Class{Name: e.Class, Weight: 1, LatencyObjective: e.TimeLeft, Deadline: e.TimeLeft,
		Idempotency: NotIdempotent}
}

// pendingAttempt returns the attempt that an outcome ends, or nil if that is not pending.
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

// mayRun reports whether the attempt may run or may have run.
func (a *attempt) mayRun() bool { return a.pending || a.mayHaveRun }

func (r *request) mayHaveRun() bool { return slices.ContainsFunc(r.attempts, (*attempt).mayRun) }

// reachedWorker reports whether an attempt has reached a worker, or may have.
func (r *request) reachedWorker() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.notWritten })
}

func (r *request) arrivedAt() time.Duration { return r.deadline - r.TimeLeft }

// halfTime is when half of the request's time is over.
func (r *request) halfTime() time.Duration { return r.arrivedAt() + r.TimeLeft/2 }
