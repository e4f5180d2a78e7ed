// Package invocation defines invocations and their state machine. An invocation is a client's request to run a
// function; its outcome can outlive the client's connection. The package is pure: it does no I/O, reads no clock and
// starts no goroutine. Its values are not safe for concurrent use. The store and the executor change the state of an
// invocation through Step only.
package invocation

import "time"

// Request holds what a client asks for. The CBOR field numbers are part of the stored format and must not change; numbers
// from 19 on belong to Invocation.
type Request struct {
	Tenant         string        `cbor:"1,keyasint"`
	IdempotencyKey string        `cbor:"2,keyasint,omitempty"` // empty: none
	Fingerprint    []byte        `cbor:"3,keyasint,omitempty"` // hash of what must be equal in a repeat with the same key
	Function       string        `cbor:"4,keyasint"`           // name in the operator's catalog
	Class          string        `cbor:"5,keyasint"`
	Idempotent     bool          `cbor:"6,keyasint,omitempty"` // the class allows the function to be executed more than once
	Deferred       bool          `cbor:"7,keyasint,omitempty"` // scheduled, with retries; otherwise foreground: one run, at once
	Urgency        Urgency       `cbor:"8,keyasint"`
	NotBefore      time.Time     `cbor:"9,keyasint,omitzero"`  // earliest start of a run; zero: no limit
	Expires        time.Time     `cbor:"10,keyasint,omitzero"` // deadline of the invocation, by which every run ends
	RunTimeout     time.Duration `cbor:"11,keyasint"`          // maximum duration of one run
	Body           []byte        `cbor:"-"`                    // stored in a bucket of its own
}

// Invocation is an accepted request with its state and, once completed, its outcome.
type Invocation struct {
	ID string `cbor:"19,keyasint"`
	Request
	CreatedAt time.Time `cbor:"20,keyasint,omitzero"`
	State     State     `cbor:"21,keyasint"`
	NextRunAt time.Time `cbor:"22,keyasint,omitzero"`  // in StateWaiting: earliest start of the next run
	Runs      int       `cbor:"23,keyasint,omitempty"` // number of runs started, without those not stored before a restart
	Bytes     int64     `cbor:"24,keyasint,omitempty"` // total size of body and result

	Outcome     Outcome        `cbor:"30,keyasint,omitempty"`
	CompletedAt time.Time      `cbor:"31,keyasint,omitzero"`
	MayHaveRun  bool           `cbor:"32,keyasint,omitempty"` // the function may have run, but there is no result
	RetryAt     time.Time      `cbor:"33,keyasint,omitzero"`  // with OutcomeRejected: when the client may retry
	DeadLetter  bool           `cbor:"34,keyasint,omitempty"`
	RedriveOf   string         `cbor:"35,keyasint,omitempty"` // ID of the dead letter that this invocation redrives
	RedrivenAs  string         `cbor:"36,keyasint,omitempty"` // ID of the invocation that redrives this dead letter
	History     []HistoryEntry `cbor:"37,keyasint,omitempty"`

	// Ephemeral is set for an invocation that is never stored: it is a foreground invocation, is idempotent, and has no
	// Idempotency-Key with which a client could ask for it later.
	Ephemeral bool `cbor:"-"`
}

// New returns the invocation for a request that was accepted at now. It is in StateWaiting if the request is deferred,
// and otherwise in StateSubmitted, with its one run counted.
func New(id string, request Request, now time.Time) *Invocation {
	inv := &Invocation{
		ID:        id,
		Request:   request,
		CreatedAt: now,
		State:     StateWaiting,
		NextRunAt: now,
		Bytes:     int64(len(request.Body)),
	}
	if request.NotBefore.After(now) {
		inv.NextRunAt = request.NotBefore
	}
	if !request.Deferred {
		inv.State = StateSubmitted
		inv.Runs = 1
		inv.Ephemeral = request.Idempotent && request.IdempotencyKey == ""
	}
	inv.appendHistory(HistoryEntry{At: now, Run: inv.Runs, Event: EventCreated})
	return inv
}

// Persisted returns the invocation in the form in which it is stored: with StateWaiting in place of StateSubmitted, and without
// the run that was submitted.
func (inv Invocation) Persisted() Invocation {
	if inv.State == StateSubmitted {
		inv.State = StateWaiting
		inv.Runs--
	}
	return inv
}
