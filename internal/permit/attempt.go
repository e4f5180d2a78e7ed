package permit

import "time"

// Worker is the state of a worker, which decides whether it accepts new calls and load orders.
type Worker int

// The states of a worker. Only a ready worker accepts new calls and load orders.
const (
	WorkerReady Worker = iota
	WorkerIsDraining
	WorkerIsRemoved
)

var workerNames = [...]string{WorkerReady: "ready", WorkerIsDraining: "draining", WorkerIsRemoved: "removed"}

// String returns the name of the state in logs and metrics.
func (w Worker) String() string { return workerNames[w] }

// Start holds the facts that decide whether an attempt or a load order may start at a worker.
type Start struct {
	Worker     Worker
	ClientGone bool          // the client no longer waits for an answer; always false for a load order
	TimeLeft   time.Duration // until the latest permitted start; if negative, the start is refused
	LeaseLeft  time.Duration // until the worker's lease ends; if negative, the start is refused
}

// Check returns Allowed, or the reason why the start is refused.
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

// Repeat holds the facts that decide whether a request may have another attempt. They also apply to the first
// attempt, for which Attempts is 0.
type Repeat struct {
	Attempts    int  // attempts of the request that were started before
	MaxAttempts int  // attempts that the request may have in total
	Pending     bool // an earlier attempt is pending
	MayHaveRun  bool // an earlier attempt may have run, or may still run
	Repeatable  bool // the request may run more than once
	Hedging     bool // two attempts may be pending at the same time
}

// Forbidden reports whether another attempt could run a request twice that must run at most once.
func (r Repeat) Forbidden() bool { return r.MayHaveRun && !r.Repeatable }

// Check returns Allowed, or the reason why another attempt is refused.
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

// Connection holds the facts that decide whether a connection may be closed while its peer follows the
// protocol.
type Connection struct {
	Open       int  // requests without an answer
	Unwritten  int  // messages that are queued or being written
	Unhandled  int  // requests that were read and not processed yet
	Incomplete bool // only a part of a request was received
	Unread     bool // the peer has sent data that was not read
}

// Check returns Allowed, or the reason why the connection may not be closed.
func (c Connection) Check() Reason {
	if c.Open > 0 || c.Unwritten > 0 || c.Unhandled > 0 || c.Incomplete || c.Unread {
		return InUse
	}
	return Allowed
}
