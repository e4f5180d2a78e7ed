package invocation

// State is a state of an invocation's state machine. The numbers are stored and must not change.
type State uint8

// The states. StateSubmitted is never stored: after a restart a submitted invocation is in StateWaiting and may run again
// (see Invocation.Persisted). This is safe because an invocation that is not idempotent enters StateRunning, which is
// stored, before its first byte is written to a worker.
const (
	StateWaiting   State = 1 + iota // no run is in progress
	StateSubmitted                  // a run was submitted; nothing of it was written to a worker, unless it is idempotent
	StateRunning                    // an attempt may have been written to a worker, and the store has recorded this
	StateCompleted                  // the outcome is final
)

// stateNames are the names by state number. They are shown to operators and must not change.
var stateNames = [...]string{"none", "waiting", "offered", "running", "ended"}

// String returns the state's name as shown to operators.
func (s State) String() string { return stateNames[s] }

// Outcome is how an invocation completed. The numbers are stored and must not change.
type Outcome uint8

// The outcomes. OutcomeNone means that the invocation has not completed.
const (
	OutcomeNone             Outcome = iota
	OutcomeServed                   // a worker executed the function and returned a result
	OutcomeRejected                 // the function did not run; the client may safely retry
	OutcomeFailed                   // there is no result; Invocation.MayHaveRun tells whether the function may have run
	OutcomeDeadlineExceeded         // the deadline passed before there was another outcome
	OutcomeCancelled                // the tenant that owns the invocation cancelled it
)

// outcomeNames are the names by outcome number. They are shown to operators and must not change.
var outcomeNames = [...]string{"open", "served", "refused", "failed", "late", "given up"}

// String returns the outcome's name as shown to operators.
func (o Outcome) String() string { return outcomeNames[o] }

// Urgency is an urgency as defined by RFC 9218: 0 is the most urgent, 7 the least.
type Urgency uint8

// DefaultUrgency applies if a request states no urgency (RFC 9218, section 4.1).
const DefaultUrgency Urgency = 3
