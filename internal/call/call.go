// Package call defines the calls that frontends submit to the dispatcher and the final answers that they get back. It is
// independent of the client and worker protocols.
package call

import (
	"strconv"
	"strings"
	"time"
)

// MaxBodyBytes is the maximum size of a call's body, for all frontends (source: worker protocol).
const MaxBodyBytes = 16 << 10

// hexIDLength is the number of hex digits of an id in the worker protocol.
const hexIDLength = 16

// IsHexID reports whether text consists of 16 hex digits, the notation of call ids and functions (source: worker protocol).
func IsHexID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil && len(text) == hexIDLength
}

// MaxKeyBytes is the maximum length of an idempotency key. The fields of a frame to a worker hold 64 KiB in all.
const MaxKeyBytes = 4 << 10

// IsKey reports whether an idempotency key can be sent to workers unchanged: a comma would end its field (source: worker protocol).
func IsKey(text string) bool {
	return text != "" && len(text) <= MaxKeyBytes && !strings.Contains(text, ",")
}

// Call is one request to run a function. It must not be changed once it is submitted.
type Call struct {
	ID           uint64 // sent to the worker unchanged
	Class        string
	Tenant       string
	Function     string
	WorkEstimate time.Duration // rough estimate of the work for this call; 0: unknown
	MemoryMB     float64       // memory of one loaded copy of the function, in MB; 0: unknown
	Concurrency  int           // number of calls that one loaded copy runs at a time; 0: unknown
	LoadTime     time.Duration // usual duration of loading a copy; 0: unknown
	Body         []byte

	// IdempotencyKey is sent to the worker unchanged with every attempt; empty: none. In a class whose workers drop repeats with the
	// same key, a call without a key is never repeated once it may have run. IsKey must accept it.
	IdempotencyKey string

	Deadline time.Time // answers after this time are of no use to the client

	// BeforeFirstAttempt, if not nil, runs on its own goroutine before the first attempt is sent. If it returns an
	// error, the call is rejected and never sent to a worker.
	BeforeFirstAttempt func() error

	// ClientGone, if not nil, reports whether the client has left, although the call is not cancelled yet. It is asked just before
	// an attempt is written, with locks held and from any goroutine, so it must not block.
	ClientGone func() bool

	// Ended, if not nil, is called exactly once for each call that the dispatcher has accepted, after Done: when the call is answered
	// or cancelled and no attempt of it is pending. mayHaveRun says whether a worker may have run an attempt. It runs on the
	// dispatcher's event loop and must not block.
	Ended func(mayHaveRun bool)

	// Done receives the final answer. It is called exactly once for each call that the dispatcher has accepted, unless
	// the call is cancelled first. It runs on the dispatcher's event loop and must not block.
	Done func(Answer)
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of a call.
const (
	Served   Outcome = iota // a worker served the call
	Rejected                // not served; a retry cannot run the call twice
	Failed                  // not served, or not known to be served; a retry may run the call a second time
)

var outcomeNames = [...]string{Served: "served", Rejected: "rejected", Failed: "failed"}

// String returns the name of the outcome used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the final answer to a call.
type Answer struct {
	Outcome          Outcome
	Body             []byte        // result of a served call
	MayHaveRun       bool          // a worker may have run an attempt, or may still be running one
	DeadlineExceeded bool          // the call was answered at its deadline or later
	RetryAfter       time.Duration // for Rejected: suggested delay before a retry; 0: no suggestion
}
