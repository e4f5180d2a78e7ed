// Package call defines what passes between the frontends and the dispatcher: a call and its one final answer. It is
// independent of the protocols on either side.
package call

import (
	"strconv"
	"time"
)

// MaxBodyBytes is how many bytes the body of a call may have, whichever frontend it comes by (source: worker protocol).
const MaxBodyBytes = 16 << 10

// hexIDLength is how many digits the workers' protocol writes an id with.
const hexIDLength = 16

// IsHexID reports whether a text is 16 hex digits, as ids and functions are written (source: worker protocol).
func IsHexID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil && len(text) == hexIDLength
}

// Call is one request to run a function. It must not be changed once it is submitted.
type Call struct {
	ID           uint64 // goes to the worker unchanged
	Class        string
	Tenant       string
	Function     string
	WorkEstimate time.Duration // rough; 0: unknown
	MemoryMB     float64       // of one loaded copy, in MB; 0: unknown
	Concurrency  int           // calls that one loaded copy runs at a time; 0: unknown
	LoadTime     time.Duration // usual time of a load; 0: unknown
	Body         []byte
	Deadline     time.Time // an answer is of no use after it

	// BeforeFirstAttempt, where set, runs before the first attempt is sent, on a goroutine of its own. On an error
	// the call is rejected and never reaches a worker.
	BeforeFirstAttempt func() error

	// Done takes the final answer. It is called exactly once for a call that the dispatcher has accepted, unless
	// the call is cancelled first. It runs on the dispatcher's event loop and must not block.
	Done func(Answer)
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Served   Outcome = iota // a worker served it
	Rejected                // not served; a retry does no harm
	Failed                  // not served, or unknown; a retry may run the call a second time
)

var outcomeNames = [...]string{Served: "served", Rejected: "rejected", Failed: "failed"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the final answer to a call.
type Answer struct {
	Outcome          Outcome
	Body             []byte        // of a served call
	MayHaveRun       bool          // a worker may have run an attempt, or may still be running one
	DeadlineExceeded bool          // the answer came at the deadline or later
	RetryAfter       time.Duration // with Rejected: advice to retry after this; 0: none
}
