package permit

import "time"

// Worker says whether a worker takes anything new.
type Worker int

// The states of a worker.
const (
	WorkerReady Worker = iota
	WorkerIsDraining
	WorkerIsRemoved
)

var workerNames = [...]string{WorkerReady: "ready", WorkerIsDraining: "draining", WorkerIsRemoved: "removed"}

// String returns the name of the state in logs and metrics.
func (w Worker) String() string { return workerNames[w] }

// Start holds the facts on whether anything may be begun at a worker.
type Start struct {
	Worker     Worker
	ClientGone bool          // with a load order: false
	TimeLeft   time.Duration // in which it may be begun; it may not once this is negative
	LeaseLeft  time.Duration // of the worker's lease; it may not be begun once this is negative
}

// Check returns Allowed, or why it may not be begun.
func (s Start) Check() Reason {
	switch {
	case s.Worker == WorkerIsRemoved:
		return WorkerRemoved
	case s.Worker == WorkerIsDraining:
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

// Repeat holds the facts on whether a request may have another attempt. The first one counts as a repeat of
// none.
type Repeat struct {
	Attempts    int  // begun before
	MaxAttempts int  // allowed in all
	Pending     bool // one of them is pending
	MayHaveRun  bool // one of them may have run, or may run still
	Repeatable  bool // the request may run more than once
	Hedging     bool // two attempts may be pending at a time
}

// Forbidden reports whether another attempt could run the request twice where it must not.
func (r Repeat) Forbidden() bool { return r.MayHaveRun && !r.Repeatable }

// Check returns Allowed, or why there may not be another attempt.
func (r Repeat) Check() Reason {
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

// Connection holds the facts on whether a connection may be closed while its peer behaves.
type Connection struct {
	Open       int  // requests without an answer
	Unwritten  int  // messages that are queued or being written
	Unhandled  int  // requests that were read and not looked at yet
	Incomplete bool // a request has come in part
	Unread     bool // the peer has sent something that was not read
}

// Check returns Allowed, or why the connection may not be closed.
func (c Connection) Check() Reason {
	if c.Open > 0 || c.Unwritten > 0 || c.Unhandled > 0 || c.Incomplete || c.Unread {
		return InUse
	}
	return Allowed
}
