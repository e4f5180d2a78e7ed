package worker

import (
	"math/rand/v2"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/permit"
)

// Result is how an attempt or a load order ended.
type Result struct {
	Status     balancer.Status
	Warmth     balancer.Warmth
	QueueDepth int // calls for the same function at the worker when this one came
	Copies     int // loaded copies; load orders only
	Body       []byte

	// Of what was answered; zero: nothing was.
	WrittenAt      time.Time // when its first byte was written, on the connection of the answer
	ConnectedSince time.Time // since when there has been a connection to the worker's process without a gap
}

// Attempt is one attempt of a call at a worker.
type Attempt struct {
	ID              uint64
	Class, Function string
	Body            []byte
	Deadline        time.Time // nobody waits for its answer after this
	StartBy         time.Time // it must not be written after this; zero: until Deadline
	LeaseEnd        time.Time // nor after this, when the lease of the worker ends
	// Abandoned reports that the call is over and that nothing of it may begin any more. It is called with locks held and
	// from any goroutine, so it must not block. Nil: the call is never abandoned.
	Abandoned func() bool
}

// LoadOrder orders that a worker hold at least so many copies of a function.
type LoadOrder struct {
	Function string
	Copies   int       // 0 only asks for their number
	StartBy  time.Time // it must not be written after this
	LeaseEnd time.Time // nor after this, when the lease of the worker ends
	Deadline time.Time // nobody waits for its answer after this
}

// startBy is the latest time at which the attempt may be written.
func (a *Attempt) startBy() time.Time {
	if !a.StartBy.IsZero() && a.StartBy.Before(a.Deadline) {
		return a.StartBy
	}
	return a.Deadline
}

// requestState is how far a request has come.
type requestState int

const (
	requestQueued  requestState = iota // it waits for its connection; nothing of it was written there
	requestWritten                     // the write of its frame has begun
	requestEnded                       // answered, cancelled or failed
)

// PendingRequest is an attempt, a load order or an unload order on its way through a pool.
type PendingRequest struct {
	id           uint64
	code         frameCode
	encodeFields func(now time.Time) string // nil: no fields
	body         []byte
	deadline     time.Time    // nobody waits for its answer after this
	startBy      time.Time    // its frame must not be begun after this
	leaseEnd     time.Time    // nor after this, when the lease of the worker ends
	abandoned    func() bool  // nor once this returns true; nil: never
	done         func(Result) // called from a goroutine of the pool; nil: the command has no answer

	// Guarded by the pool's mutex.
	conn      *conn
	state     requestState
	writtenAt time.Time // when the write of its frame began on conn; zero: nothing was written. Kept when it ends.
	moved     bool      // it was moved to another connection once already
}

func newCallRequest(a Attempt, done func(Result)) *PendingRequest {
	return &PendingRequest{
		id:   a.ID,
		code: codeCall,
		encodeFields: func(now time.Time) string {
			return callFields(a.Class, a.Function, a.Deadline.Sub(now))
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

// encode returns the bytes of the request's frame as written at a time.
func (r *PendingRequest) encode(now time.Time) []byte {
	command := frame{mark: markCommand, code: r.code, id: r.id, body: r.body}
	if r.encodeFields != nil {
		command.fields = r.encodeFields(now)
	}
	return command.encode()
}

// encodeCancel returns the bytes of the frame that cancels the request.
func (r *PendingRequest) encodeCancel() []byte {
	return frame{mark: markCommand, code: codeCancel, id: r.id}.encode()
}

// permit returns whether the request may be begun now, at a worker in a state.
func (r *PendingRequest) permit(state permit.Worker, now time.Time) permit.Reason {
	start := permit.Start{
		Worker:     state,
		ClientGone: r.abandoned != nil && r.abandoned(),
		TimeLeft:   r.startBy.Sub(now),
		LeaseLeft:  r.leaseEnd.Sub(now),
	}
	return start.Check()
}

// notStarted is the result of a request that must not be begun any more.
func (r *PendingRequest) notStarted() Result {
	if r.code == codeLoad {
		return Result{Status: balancer.Rejected}
	}
	return Result{Status: balancer.NotSent}
}

// beginWriteLocked notes that the write of the request's frame begins.
func (r *PendingRequest) beginWriteLocked(now time.Time) {
	r.state = requestWritten
	r.writtenAt = now
}

// requeueLocked takes the request back from a connection that broke before its frame was written whole.
func (r *PendingRequest) requeueLocked() {
	r.state = requestQueued
	r.writtenAt = time.Time{}
	r.moved = true
}

// endLocked ends the request and reports whether it had not ended before.
func (r *PendingRequest) endLocked() (first bool) {
	first = r.state != requestEnded
	r.state = requestEnded
	return first
}

// wasWrittenLocked reports whether any of the request may have been written to its connection.
func (r *PendingRequest) wasWrittenLocked() bool { return !r.writtenAt.IsZero() }
