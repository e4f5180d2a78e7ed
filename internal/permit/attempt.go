package permit

import "time"

// WorkerState is the state of a worker, which decides whether it accepts new calls and load orders.
type WorkerState int

// The states of a worker. Only a ready worker accepts new calls and load orders.
const (
	WorkerStateReady WorkerState = iota
	WorkerStateDraining
	WorkerStateRemoved
)

var workerStateNames = [...]string{
	WorkerStateReady:    "ready",
	WorkerStateDraining: "draining",
	WorkerStateRemoved:  "removed",
}

// String returns the name of the state in logs and metrics.
func (s WorkerState) String() string { return workerStateNames[s] }

// StartConditions holds the facts that decide whether an attempt or a load order may start at a worker.
type StartConditions struct {
	Worker     WorkerState
	ClientGone bool          // the client no longer waits for an answer; always false for a load order
	TimeLeft   time.Duration // until the latest permitted start; if negative, the start is refused
	LeaseLeft  time.Duration // until the worker's lease expires; if negative, the start is refused
}

// Check returns Allowed, or the reason why the start is refused.
func (s StartConditions) Check() Reason {
	switch {
	case s.Worker == WorkerStateRemoved:
		return WorkerRemoved
	case s.Worker == WorkerStateDraining:
		return WorkerDraining
	case s.LeaseLeft < 0:
		return LeaseEnded
	case s.ClientGone:
		return ClientGone
	case s.TimeLeft < 0:
		return TooLate
	}
	return Allowed
}

// RetryConditions holds the facts that decide whether a request may have another attempt. They also apply to
// the first attempt, for which Attempts is 0.
type RetryConditions struct {
	Attempts    int  // attempts of the request that were started before
	MaxAttempts int  // attempts that the request may have in total
	Pending     bool // an earlier attempt is pending, that is, has not ended
	MayHaveRun  bool // an earlier attempt may have run, or may still run
	Repeatable  bool // the class of the request lets it run more than once
	KeyRequired bool // the class does so only because workers drop repeats with the same idempotency key
	KeyPassed   bool // workers get the idempotency key of the request with each attempt
	Hedging     bool // two attempts may be pending at the same time
}

// Forbidden reports whether another attempt could run a request twice that must run at most once.
func (r RetryConditions) Forbidden() bool {
	repeatable := r.Repeatable && (r.KeyPassed || !r.KeyRequired)
	return r.MayHaveRun && !repeatable
}

// Check returns Allowed, or the reason why another attempt is refused.
func (r RetryConditions) Check() Reason {
	switch {
	case r.Forbidden():
		return RepeatForbidden
	case r.Pending && !r.Hedging:
		return AttemptPending
	case r.Attempts >= r.MaxAttempts:
		return AttemptsExhausted
	}
	return Allowed
}

// ConnectionUse holds the facts that decide whether a connection may be closed while its peer follows the
// protocol.
type ConnectionUse struct {
	Open        int  // requests without an answer
	Unwritten   int  // messages that are queued or being written
	Unhandled   int  // requests that were read and not processed yet
	Incomplete  bool // only a part of a request was received
	Unread      bool // the peer has sent data that was not read
	Undelivered bool // messages were written that the close could keep from the peer
}

// Check returns Allowed, or the reason why the connection may not be closed.
func (c ConnectionUse) Check() Reason {
	if c.Open > 0 || c.Unwritten > 0 || c.Unhandled > 0 || c.Incomplete || c.Unread || c.Undelivered {
		return InUse
	}
	return Allowed
}
