// Package permit decides whether an operation may start now: an attempt, a retry, a load order, or the
// close of a connection. These rules are implemented only here. The balancer checks them when it chooses
// an operation, and the code that carries out the operation checks them again right before it starts,
// with current facts.
//
// The package is pure: it has no clock, does no I/O and starts no goroutine. Durations are spans of real
// time. Points in time are measured from an origin that the caller chooses, by a monotonic clock.
package permit

// Reason says why an operation may not start, or that it is allowed.
type Reason int

// The reasons. Allowed is the zero value.
const (
	Allowed           Reason = iota
	ClientGone               // the request was answered or cancelled, or its client closed the connection
	TooLate                  // the time of the latest permitted start has passed
	WorkerDraining           // the worker accepts no new calls or load orders
	WorkerRemoved            // the worker left the list, and another may listen at its address
	LeaseEnded               // the worker's lease has expired
	RepeatForbidden          // the request may have run, and must not run twice
	AttemptPending           // another attempt is pending, and the request may have only one at a time
	AttemptsExhausted        // the request has had the maximum number of attempts
	BudgetSpent              // the load budget has no order left at this time
	InUse                    // the connection has open requests, or unwritten, undelivered or unread data
)

var reasonNames = [...]string{
	Allowed:           "allowed",
	ClientGone:        "client_gone",
	TooLate:           "too_late",
	WorkerDraining:    "worker_draining",
	WorkerRemoved:     "worker_removed",
	LeaseEnded:        "lease_ended",
	RepeatForbidden:   "repeat_forbidden",
	AttemptPending:    "attempt_pending",
	AttemptsExhausted: "attempts_exhausted",
	BudgetSpent:       "budget_spent",
	InUse:             "in_use",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// IsViolation reports whether the reason shows a fault in the code that chose the operation. The other
// reasons can also arise after a correct choice: clients leave, workers drain and time passes before the
// operation is carried out.
func (r Reason) IsViolation() bool {
	return r == RepeatForbidden || r == AttemptPending || r == AttemptsExhausted || r == BudgetSpent
}
