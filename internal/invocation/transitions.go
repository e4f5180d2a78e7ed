package invocation

import (
	"fmt"
	"time"
)

// Event is what happens to a ticket.
type Event uint8

// The events. Those of a run tell its outcome: Answered with a result, Turned away with proof that it never ran,
// Broke without such proof.
const (
	EventCreated  Event = 1 + iota
	EventSubmit         // a run is about to be handed to the core
	EventStart          // the first byte of an attempt is about to be written
	EventServed         // the run was served
	EventRejected       // the run ended and never ran: refused, failed before it ran, or its time was over
	EventFailed         // the run ended and may have run
	EventCancel         // its owner wants it no more
	EventExpire         // its time is over and no run is in hand
	EventRestart        // the program starts and finds it
	EventWithdraw       // its function is no longer in the operator's catalogue
	EventRedrive        // an operator has it go again, as a new ticket
	EventDelete         // it was kept long enough, or an operator purges it
	lastEvent     = EventDelete
)

var eventNames = [...]string{"none", "created", "offer", "mark", "answered", "turned away", "broke", "give up", "expire",
	"restart", "withdraw", "redrive", "forget"}

func (e Event) String() string { return eventNames[e] }

// MarshalText writes the event's name.
func (e Event) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText reads an event's name.
func (e *Event) UnmarshalText(text []byte) error {
	for i, name := range eventNames {
		if name == string(text) {
			*e = Event(i)
			return nil
		}
	}
	return fmt.Errorf("no event %q", text)
}

// Fact is an event with what is known of it.
type Input struct {
	Event
	DeadlineExceeded bool          // of Turned and Broke: the run's time was over
	RetryAt          time.Time     // of Turned and Broke: when the next run may begin; zero: there is to be none
	RetryAfter       time.Duration // of Turned: the module's advice when to come back
	Note             string        // for the history: a worker's word, an operator's reason
	Confirmed        bool          // of Redrive: the operator has checked that it did not run
	Successor        string        // of Redrive: the new ticket's id
	Bytes            int64         // of Answered: of the result
}

// Effect is what a transition asks of those who carry it out.
type Effect uint8

// The effects, as a set.
const (
	EffectPersist   Effect = 1 << iota // the new state is on the disk before anything else is done, or said
	EffectNotify                       // its owner may hear the final answer now
	EffectCancelRun                    // the run in hand is to be called off
	EffectSchedule                     // the scheduler has it again
	EffectDelete                       // nothing of it is kept but that it was there
)

// guard says for which tickets and facts a row is.
type guard struct {
	name string
	ok   func(t *Invocation, f Input, now time.Time) bool
}

// A next run has to have some time: this much of the ticket's life, at least.
const leastRun = 50 * time.Millisecond

func again(t *Invocation, f Input, _ time.Time) bool {
	return t.Deferred && !f.RetryAt.IsZero() && f.RetryAt.Add(leastRun).Before(t.Expires)
}

var (
	always    = guard{"", func(*Invocation, Input, time.Time) bool { return true }}
	safe      = guard{"may repeat", func(t *Invocation, _ Input, _ time.Time) bool { return t.Idempotent }}
	goesAgain = guard{"another run is to come", again}
	safeAgain = guard{"may repeat, another run is to come", func(t *Invocation, f Input, now time.Time) bool { return t.Idempotent && again(t, f, now) }}
	dated     = guard{"its time was over", func(_ *Invocation, f Input, _ time.Time) bool { return f.DeadlineExceeded }}
	deadSure  = guard{"dead letter that did not run, or the operator is sure", func(t *Invocation, f Input, _ time.Time) bool {
		return t.DeadLetter && t.RedrivenAs == "" && (t.Idempotent || !t.MayHaveRun || f.Confirmed && f.Note != "")
	}}
	deadUnsure = guard{"dead letter", func(t *Invocation, _ Input, _ time.Time) bool { return t.DeadLetter && t.RedrivenAs == "" }}
	early      = guard{"before its time", func(t *Invocation, _ Input, now time.Time) bool { return now.Before(t.NextRunAt) }}
	timeLeft   = guard{"before its end", func(t *Invocation, _ Input, now time.Time) bool { return now.Before(t.Expires) }}
)

// Row is one row of the table of a ticket's life.
type Transition struct {
	From    State
	Event   Event
	guard   guard
	To      State
	Outcome Outcome // of Next Ended
	Effects
	do  func(t *Invocation, f Input, now time.Time) // what else changes
	err error                                       // the event is refused, and nothing changes
}

// Effects is a set of effects.
type Effects = Effect

// Name tells rows apart.
func (r *Transition) Name() string {
	n := r.From.String() + ", " + r.Event.String()
	if r.guard.name != "" {
		n += ", " + r.guard.name
	}
	return n
}

// Refuses tells whether the row refuses its event.
func (r *Transition) Err() error { return r.err }

func mayHaveRun(t *Invocation, _ Input, _ time.Time) { t.MayHaveRun = true }
func countRun(t *Invocation, _ Input, _ time.Time)   { t.Runs++ }
func wait(t *Invocation, f Input, _ time.Time)       { t.NextRunAt = f.RetryAt }
func heir(t *Invocation, f Input, _ time.Time)       { t.RedrivenAs = f.Successor }
func result(t *Invocation, f Input, _ time.Time)     { t.Bytes += f.Bytes }

// advise keeps when another try may be made, for a client that does it itself.
func advise(t *Invocation, f Input, now time.Time) { t.RetryAt = now.Add(f.RetryAfter) }

// deadLetter keeps a deferred ticket for the operators. A synchronous one has been heard by its client at once.
func deadLetter(t *Invocation, _ Input, _ time.Time) { t.DeadLetter = t.Deferred }

func both(a, b func(*Invocation, Input, time.Time)) func(*Invocation, Input, time.Time) {
	return func(t *Invocation, f Input, now time.Time) { a(t, f, now); b(t, f, now) }
}

const ends = EffectPersist | EffectNotify

// Table is the life of a ticket. Of the rows for a state and an event, the first whose guard holds counts; there is
// one for each.
var Transitions = []Transition{
	{StateWaiting, EventSubmit, early, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventSubmit, timeLeft, StateSubmitted, OutcomeNone, 0, countRun, nil},
	{StateWaiting, EventSubmit, always, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventStart, always, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventServed, always, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventRejected, always, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventFailed, always, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventCancel, always, StateCompleted, OutcomeCancelled, ends, nil, nil},
	{StateWaiting, EventExpire, timeLeft, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateWaiting, EventExpire, always, StateCompleted, OutcomeDeadlineExceeded, ends, deadLetter, nil},
	{StateWaiting, EventRestart, timeLeft, StateWaiting, OutcomeNone, EffectSchedule, nil, nil},
	{StateWaiting, EventRestart, always, StateCompleted, OutcomeDeadlineExceeded, ends, deadLetter, nil},
	{StateWaiting, EventWithdraw, always, StateCompleted, OutcomeFailed, ends, deadLetter, nil},
	{StateWaiting, EventRedrive, always, StateWaiting, OutcomeNone, 0, nil, ErrNotDeadLetter},
	{StateWaiting, EventDelete, always, StateWaiting, OutcomeNone, 0, nil, ErrInvalidTransition},

	{StateSubmitted, EventSubmit, always, StateSubmitted, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateSubmitted, EventStart, always, StateRunning, OutcomeNone, EffectPersist, nil, nil},
	{StateSubmitted, EventServed, always, StateCompleted, OutcomeServed, ends, result, nil},
	{StateSubmitted, EventRejected, goesAgain, StateWaiting, OutcomeNone, EffectPersist | EffectSchedule, wait, nil},
	{StateSubmitted, EventRejected, dated, StateCompleted, OutcomeDeadlineExceeded, ends, deadLetter, nil},
	{StateSubmitted, EventRejected, always, StateCompleted, OutcomeRejected, ends, both(advise, deadLetter), nil},
	{StateSubmitted, EventFailed, safeAgain, StateWaiting, OutcomeNone, EffectPersist | EffectSchedule, wait, nil},
	{StateSubmitted, EventFailed, dated, StateCompleted, OutcomeDeadlineExceeded, ends, both(mayHaveRun, deadLetter), nil},
	{StateSubmitted, EventFailed, always, StateCompleted, OutcomeFailed, ends, both(mayHaveRun, deadLetter), nil},
	// Nothing was written unless its class may repeat: only such a one runs without a mark.
	{StateSubmitted, EventCancel, safe, StateCompleted, OutcomeCancelled, ends | EffectCancelRun, mayHaveRun, nil},
	{StateSubmitted, EventCancel, always, StateCompleted, OutcomeCancelled, ends | EffectCancelRun, nil, nil},
	{StateSubmitted, EventExpire, always, StateSubmitted, OutcomeNone, 0, nil, ErrInvalidTransition}, // the run in hand ends by itself, and in time
	{StateSubmitted, EventRestart, timeLeft, StateWaiting, OutcomeNone, EffectSchedule, nil, nil},
	{StateSubmitted, EventRestart, always, StateCompleted, OutcomeDeadlineExceeded, ends, deadLetter, nil},
	{StateSubmitted, EventWithdraw, always, StateSubmitted, OutcomeNone, 0, nil, ErrInvalidTransition}, // as for Expire
	{StateSubmitted, EventRedrive, always, StateSubmitted, OutcomeNone, 0, nil, ErrNotDeadLetter},
	{StateSubmitted, EventDelete, always, StateSubmitted, OutcomeNone, 0, nil, ErrInvalidTransition},

	{StateRunning, EventSubmit, always, StateRunning, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateRunning, EventStart, always, StateRunning, OutcomeNone, 0, nil, nil}, // a further attempt of the same run
	{StateRunning, EventServed, always, StateCompleted, OutcomeServed, ends, result, nil},
	{StateRunning, EventRejected, goesAgain, StateWaiting, OutcomeNone, EffectPersist | EffectSchedule, wait, nil},
	{StateRunning, EventRejected, dated, StateCompleted, OutcomeDeadlineExceeded, ends, deadLetter, nil},
	{StateRunning, EventRejected, always, StateCompleted, OutcomeRejected, ends, both(advise, deadLetter), nil},
	{StateRunning, EventFailed, safeAgain, StateWaiting, OutcomeNone, EffectPersist | EffectSchedule, wait, nil},
	{StateRunning, EventFailed, dated, StateCompleted, OutcomeDeadlineExceeded, ends, both(mayHaveRun, deadLetter), nil},
	{StateRunning, EventFailed, always, StateCompleted, OutcomeFailed, ends, both(mayHaveRun, deadLetter), nil},
	{StateRunning, EventCancel, always, StateCompleted, OutcomeCancelled, ends | EffectCancelRun, mayHaveRun, nil},
	{StateRunning, EventExpire, always, StateRunning, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateRunning, EventRestart, safe, StateWaiting, OutcomeNone, EffectPersist | EffectSchedule, nil, nil},
	// It may have run before the restart, and nobody can tell any more: a second run could book twice.
	{StateRunning, EventRestart, always, StateCompleted, OutcomeFailed, ends, both(mayHaveRun, deadLetter), nil},
	{StateRunning, EventWithdraw, always, StateRunning, OutcomeNone, 0, nil, ErrInvalidTransition},
	{StateRunning, EventRedrive, always, StateRunning, OutcomeNone, 0, nil, ErrNotDeadLetter},
	{StateRunning, EventDelete, always, StateRunning, OutcomeNone, 0, nil, ErrInvalidTransition},

	{StateCompleted, EventSubmit, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventStart, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventServed, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventRejected, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventFailed, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventCancel, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventExpire, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventRestart, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventWithdraw, always, StateCompleted, OutcomeNone, 0, nil, ErrCompleted},
	{StateCompleted, EventRedrive, deadSure, StateCompleted, OutcomeNone, EffectPersist, heir, nil},
	{StateCompleted, EventRedrive, deadUnsure, StateCompleted, OutcomeNone, 0, nil, ErrNotConfirmed},
	{StateCompleted, EventRedrive, always, StateCompleted, OutcomeNone, 0, nil, ErrNotDeadLetter},
	{StateCompleted, EventDelete, always, StateCompleted, OutcomeNone, EffectPersist | EffectDelete, nil, nil},
}

var rows = func() map[[2]uint8][]*Transition {
	m := map[[2]uint8][]*Transition{}
	for i := range Transitions {
		r := &Transitions[i]
		k := [2]uint8{uint8(r.From), uint8(r.Event)}
		m[k] = append(m[k], r)
	}
	return m
}()

// Step applies a fact to a ticket and returns the row that it took. With an error nothing has changed. The effects of
// a ticket that needs no disk leave Store out.
func Step(t *Invocation, f Input, now time.Time) (*Transition, Effects, error) {
	for _, r := range rows[[2]uint8{uint8(t.State), uint8(f.Event)}] {
		if !r.guard.ok(t, f, now) {
			continue
		}
		if r.err != nil {
			return r, 0, r.err
		}
		was := t.State
		t.State = r.To
		if r.do != nil {
			r.do(t, f, now)
		}
		if r.To == StateCompleted && was != StateCompleted {
			t.Outcome, t.CompletedAt = r.Outcome, now
		}
		if was != r.To || was == StateCompleted { // a further attempt is no news
			t.note(HistoryEntry{At: now, Run: t.Runs, Event: f.Event, Note: f.Note})
		}
		e := r.Effects
		if t.Ephemeral {
			e &^= EffectPersist
		}
		return r, e, nil
	}
	return nil, 0, fmt.Errorf("a ticket that is %v knows no %v", t.State, f.Event) // the table's test: never
}
