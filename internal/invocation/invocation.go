// Package ticket says what a ticket is and how it lives: a call that outlives a connection, with one final answer
// that stays to be asked for. It is a pure module: no I/O, no clock, no goroutine. Store, desk and scheduler all
// change tickets by Step alone.
package invocation

import (
	"errors"
	"time"
)

// Errors of all who handle tickets.
var (
	ErrNotFound          = errors.New("no such ticket")
	ErrExpired           = errors.New("the ticket has expired")
	ErrKeyReused         = errors.New("the key was used for another request")
	ErrStoreFull         = errors.New("too many tickets are kept")
	ErrQuotaExceeded     = errors.New("the tenant has too many tickets, or too large ones")
	ErrStorage           = errors.New("the ticket store does not work")
	ErrCompleted         = errors.New("the ticket has its final answer")
	ErrNotDeadLetter     = errors.New("the ticket is no dead letter")
	ErrNotConfirmed      = errors.New("the ticket may have run: it goes again only with a reason")
	ErrSuperseded        = errors.New("its owner has asked for the same under its key again")
	ErrInvalidTransition = errors.New("the ticket does not take this now")
)

// State is where a ticket stands.
type State uint8

// The states. Offered is never on record: a ticket that was Offered when the program ended is Waiting again, since
// nothing of it can have been written to a worker.
const (
	StateWaiting   State = 1 + iota // no run of it is in hand
	StateSubmitted                  // a run is with the core, and no attempt of it has been written
	StateRunning                    // it is on record that an attempt may have been written
	StateCompleted                  // it has its final answer
)

func (s State) String() string {
	return [...]string{"none", "waiting", "offered", "running", "ended"}[s]
}

// End says how a ticket ended.
type Outcome uint8

// The ends. A ticket with none is open.
const (
	OutcomeNone             Outcome = iota
	OutcomeServed                   // there is a result
	OutcomeRejected                 // it never ran; trying again does no harm
	OutcomeFailed                   // it failed; MayHaveRun tells whether it may have run
	OutcomeDeadlineExceeded         // its time was over
	OutcomeCancelled                // by its owner
)

func (e Outcome) String() string {
	return [...]string{"open", "served", "refused", "failed", "late", "given up"}[e]
}

// Urgency is that of RFC 9218: 0 the most urgent, 7 the least.
type Urgency uint8

// DefaultUrgency is what counts where nothing is asked for (RFC 9218, section 4.1).
const DefaultUrgency Urgency = 3

// Order is what a client asks for.
type Request struct {
	Tenant         string        `cbor:"1,keyasint"`
	IdempotencyKey string        `cbor:"2,keyasint,omitempty"` // Idempotency-Key; empty: none
	Fingerprint    []byte        `cbor:"3,keyasint,omitempty"` // of all that a repeat under the key must share
	Function       string        `cbor:"4,keyasint"`           // its name in the operator's catalogue
	Class          string        `cbor:"5,keyasint"`
	Idempotent     bool          `cbor:"6,keyasint,omitempty"` // its class may run any number of times
	Deferred       bool          `cbor:"7,keyasint,omitempty"` // it may have many runs; else it has one, at once
	Urgency        Urgency       `cbor:"8,keyasint"`
	NotBefore      time.Time     `cbor:"9,keyasint,omitzero"`  // no run begins earlier
	Expires        time.Time     `cbor:"10,keyasint,omitzero"` // no run ends later
	RunTimeout     time.Duration `cbor:"11,keyasint"`          // of one run at most
	Body           []byte        `cbor:"-"`                    // kept apart
}

// Ticket is an order on record.
type Invocation struct {
	ID string `cbor:"19,keyasint"` // Order has the numbers below
	Request
	CreatedAt time.Time `cbor:"20,keyasint,omitzero"`
	State     State     `cbor:"21,keyasint"`
	NextRunAt time.Time `cbor:"22,keyasint,omitzero"`  // Waiting: when the next run may begin
	Runs      int       `cbor:"23,keyasint,omitempty"` // begun, as far as it is on record
	Bytes     int64     `cbor:"24,keyasint,omitempty"` // of body and result

	Outcome     Outcome        `cbor:"30,keyasint,omitempty"`
	CompletedAt time.Time      `cbor:"31,keyasint,omitzero"`
	MayHaveRun  bool           `cbor:"32,keyasint,omitempty"`
	RetryAt     time.Time      `cbor:"33,keyasint,omitzero"`  // of a refusal: the earliest moment for another try
	DeadLetter  bool           `cbor:"34,keyasint,omitempty"` // a dead letter
	RedriveOf   string         `cbor:"35,keyasint,omitempty"` // the dead letter that it goes again for
	RedrivenAs  string         `cbor:"36,keyasint,omitempty"` // the ticket that goes again for it
	History     []HistoryEntry `cbor:"37,keyasint,omitempty"`

	// Fleeting tells that nothing of it needs the disk: nobody was promised anything and it may run again.
	Ephemeral bool `cbor:"-"`
}

// Line is one transition in a ticket's history.
type HistoryEntry struct {
	At    time.Time `cbor:"1,keyasint" json:"at"`
	Run   int       `cbor:"2,keyasint,omitempty" json:"run,omitempty"`
	Event Event     `cbor:"3,keyasint" json:"event"`
	Note  string    `cbor:"4,keyasint,omitempty" json:"note,omitempty"`
}

// MostHistory is how many lines a history has at most: the first few stay, since they tell how it began, and of the
// others the last ones.
const (
	MaxHistory = 24
	firstLines = 4
)

func (t *Invocation) note(l HistoryEntry) {
	if len(t.History) >= MaxHistory {
		kept := append([]HistoryEntry(nil), t.History[:firstLines]...)
		t.History = append(kept, t.History[firstLines+1:]...)
	}
	t.History = append(t.History[:len(t.History):len(t.History)], l)
}

// OnRecord is the ticket as the disk has it: see Offered.
func (t Invocation) Persisted() Invocation {
	if t.State == StateSubmitted {
		t.State = StateWaiting
	}
	return t
}

// New makes the ticket of an order. A deferred one waits, any other is offered to the core at once.
func New(id string, o Request, now time.Time) *Invocation {
	t := &Invocation{ID: id, Request: o, CreatedAt: now, State: StateWaiting, NextRunAt: now, Bytes: int64(len(o.Body))}
	if o.NotBefore.After(now) {
		t.NextRunAt = o.NotBefore
	}
	if !o.Deferred {
		t.State, t.Runs = StateSubmitted, 1
		t.Ephemeral = o.Idempotent && o.IdempotencyKey == ""
	}
	t.note(HistoryEntry{At: now, Run: t.Runs, Event: EventCreated})
	return t
}
