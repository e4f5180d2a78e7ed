// Package permit decides whether something may begin now: an attempt, a repeat of one, a load order, or the
// close of a connection. It is the one place for these rules. The balancer asks it when it chooses, and
// whoever carries out a choice asks again at the last moment, with the facts as they are then.
//
// The package is pure: it has no clock, does no I/O and starts no goroutine. Times are spans of real time, or
// are measured from an origin of the caller's by a clock that is never set.
package permit

// Reason says why something may not begin.
type Reason int

// The reasons.
const (
	Allowed           Reason = iota
	ClientGone               // nobody waits for its answer any more: it is answered, cancelled or closed
	TooLate                  // its time is over
	WorkerDraining           // its worker takes nothing new
	WorkerRemoved            // its worker is gone, and another one may listen at its address
	LeaseEnded               // what is known of its worker is too old to be relied on
	RepeatForbidden          // it may have run, and must not run twice
	AttemptPending           // another attempt is pending, and only one may be
	AttemptsExhausted        // it has had all its attempts
	BudgetSpent              // there were too many of its kind for now
	InUse                    // requests are open on the connection, or answers not written
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

// IsViolation reports whether the reason is a fault of whoever chose, rather than a change that came after
// the choice: clients leave, workers drain and time passes between the two.
func (r Reason) IsViolation() bool {
	return r == RepeatForbidden || r == AttemptPending || r == AttemptsExhausted || r == BudgetSpent
}
