package worker

import (
	"math/rand/v2"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/permit"
)

// Result is the outcome of an attempt or a load order.
type Result struct {
	Status     balancer.Status
	Warmth     balancer.Warmth
	QueueDepth int // calls for the same function that were at the worker when this one arrived
	Copies     int // number of loaded copies of the function; set for load orders only
	Body       []byte

	// The following times are zero if the worker sent no answer.
	WrittenAt      time.Time // when the write of the request began on the connection that the answer came on
	ConnectedSince time.Time // start of the uninterrupted time with at least one connection to the worker's process
}

// Attempt is one attempt of a call at a worker.
type Attempt struct {
	ID              uint64
	Class, Function string
	Key             string // idempotency key; empty: none
	Body            []byte
	Deadline        time.Time // the answer is of no use after this time
	StartBy         time.Time // the attempt must not be written after this time; zero: Deadline applies
	LeaseEnd        time.Time // end of the worker's lease; the attempt must not be written after this time
	// Abandoned reports whether the call has ended, so that none of its attempts may start any more. It is called with
	// locks held and from any goroutine, so it must not block. If nil, the call is never abandoned.
	Abandoned func() bool
}

// LoadOrder orders a worker to hold at least Copies loaded copies of a function.
type LoadOrder struct {
	Function string
	Copies   int       // 0: only ask how many copies are loaded
	StartBy  time.Time // the order must not be written after this time
	LeaseEnd time.Time // end of the worker's lease; the order must not be written after this time
	Deadline time.Time // the answer is of no use after this time
}

// startBy returns the latest time at which the attempt may be written.
func (a *Attempt) startBy() time.Time {
	if !a.StartBy.IsZero() && a.StartBy.Before(a.Deadline) {
		return a.StartBy
	}
	return a.Deadline
}

// requestState is the progress of a request.
type requestState int

const (
	requestQueued  requestState = iota // in the write queue of its connection; no part of its frame was written there
	requestWritten                     // the write of its frame has begun, and may be complete
	requestEnded                       // answered, cancelled or failed
)

// PendingRequest is an attempt, a load order or an unload order that was handed to a pool.
type PendingRequest struct {
	id           uint64
	code         frameCode
	encodeFields func(now time.Time) string // returns the fields of the frame; nil: no fields
	body         []byte
	deadline     time.Time    // the answer is of no use after this time
	startBy      time.Time    // the write must not begin after this time
	leaseEnd     time.Time    // end of the worker's lease; the write must not begin after this time
	abandoned    func() bool  // the write must not begin once this returns true; nil: the request is never abandoned
	done         func(Result) // receives the result, on a goroutine of the pool; nil: the command has no answer

	// Guarded by the pool's mutex.
	conn      *conn
	state     requestState
	writtenAt time.Time // when the write of the frame began on conn, also after the request ended; zero: not begun
	moved     bool      // the request has been moved to another connection
}

func newCallRequest(a Attempt, done func(Result)) *PendingRequest {
	return &PendingRequest{
		id:   a.ID,
		code: codeCall,
		encodeFields: func(now time.Time) string {
			return callFields(a.Class, a.Function, a.Key, a.Deadline.Sub(now))
		},
		body:      a.Body,
		deadline:  a.Deadline,
		startBy:   a.startBy(),
		leaseEnd:  a.LeaseEnd,
		abandoned: a.Abandoned,
		done:      done,
	}
}

func newLoadRequest(order LoadOrder, done func(Result)) *PendingRequest {
	return &PendingRequest{
		id:           rand.Uint64(),
		code:         codeLoad,
		encodeFields: func(time.Time) string { return loadFields(order.Function, order.Copies) },
		deadline:     order.Deadline,
		startBy:      order.StartBy,
		leaseEnd:     order.LeaseEnd,
		done:         done,
	}
}

func newUnloadRequest(id uint64, deadline time.Time) *PendingRequest {
	return &PendingRequest{id: id, code: codeUnload, deadline: deadline, startBy: deadline, leaseEnd: deadline}
}

// encode returns the encoded frame of the request for a write at the time now.
func (r *PendingRequest) encode(now time.Time) []byte {
	command := frame{mark: markCommand, code: r.code, id: r.id, body: r.body}
	if r.encodeFields != nil {
		command.fields = r.encodeFields(now)
	}
	return command.encode()
}

// encodeCancel returns the encoded frame that cancels the request.
func (r *PendingRequest) encodeCancel() []byte {
	return frame{mark: markCommand, code: codeCancel, id: r.id}.encode()
}

// checkStart returns permit.Allowed if the request may be written at the time now to a worker in the given state, else the
// reason why not.
func (r *PendingRequest) checkStart(state permit.WorkerState, now time.Time) permit.Reason {
	start := permit.StartConditions{
		Worker:     state,
		ClientGone: r.abandoned != nil && r.abandoned(),
		TimeLeft:   r.startBy.Sub(now),
		LeaseLeft:  r.leaseEnd.Sub(now),
	}
	return start.Check()
}

// notStartedResult returns the result of a request of which nothing was written.
func (r *PendingRequest) notStartedResult() Result {
	if r.code == codeLoad {
		return Result{Status: balancer.Rejected}
	}
	return Result{Status: balancer.NotSent}
}

// beginWriteLocked records that the write of the request's frame begins now.
func (r *PendingRequest) beginWriteLocked(now time.Time) {
	r.state = requestWritten
	r.writtenAt = now
}

// requeueLocked resets the request to be queued again, after its connection broke before the whole frame was written.
func (r *PendingRequest) requeueLocked() {
	r.state = requestQueued
	r.writtenAt = time.Time{}
	r.moved = true
}

// endLocked ends the request. It returns false if the request had already ended.
func (r *PendingRequest) endLocked() (newlyEnded bool) {
	newlyEnded = r.state != requestEnded
	r.state = requestEnded
	return newlyEnded
}

// wasWrittenLocked reports whether any part of the request may have been written to its connection.
func (r *PendingRequest) wasWrittenLocked() bool { return !r.writtenAt.IsZero() }
