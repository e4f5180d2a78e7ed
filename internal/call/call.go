// Package call holds what passes between the fronts and the core: a call, and its one final answer. It knows
// no wire.
package call

import (
	"strconv"
	"time"
)

// MostBody is how many bytes the body of a call may have: the workers' protocol sets it, whichever front it comes by.
const MaxBodyBytes = 16 << 10

// Hex16 tells whether a text is 16 hex digits, as the workers' protocol writes ids and functions.
func IsHexID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil && len(text) == 16
}

// Call is one request for a run of a function.
type Call struct {
	ID           uint64 // goes to the worker unchanged
	Class        string
	Tenant       string
	Function     string
	WorkEstimate time.Duration // rough hint at the work; 0: not told
	MemoryMB     float64       // of one loaded copy, in MB
	Concurrency  int           // calls that one copy runs at a time
	LoadTime     time.Duration // usual time of a load
	Body         []byte
	Deadline     time.Time // no answer is of use after it

	// MayRun, where set, runs once before the first attempt is written, on a goroutine of its own. An error
	// from it means that the call is refused and never reaches a worker.
	BeforeFirstAttempt func() error
	// Done takes the final answer. It is called exactly once for a call that the core has accepted, unless
	// the call is given up first. It must not block.
	Done func(Answer)
}

// Outcome is how a call ended.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // trying again is harmless
	Failed           // nothing is promised
)

// Answer is the final answer to a call.
type Answer struct {
	Outcome          Outcome
	Body             []byte        // of a served call
	MayHaveRun       bool          // an attempt may have run, or run still
	DeadlineExceeded bool          // the deadline had come
	RetryAfter       time.Duration // advice with Refused: come back after this; 0: none
}
