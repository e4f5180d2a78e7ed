package ticket

import (
	"fmt"
	"time"
)

// Event is what happens to a ticket.
type Event uint8

// The events. Those of a run tell its outcome: Answered with a result, Turned away with proof that it never ran,
// Broke without such proof.
const (
	Created   Event = 1 + iota
	Offer           // a run is about to be handed to the core
	Mark            // the first byte of an attempt is about to be written
	Answered        // the run was served
	Turned          // the run ended and never ran: refused, failed before it ran, or its time was over
	Broke           // the run ended and may have run
	GiveUp          // its owner wants it no more
	Expire          // its time is over and no run is in hand
	Restart         // the program starts and finds it
	Withdraw        // its function is no longer in the operator's catalogue
	Redrive         // an operator has it go again, as a new ticket
	Forget          // it was kept long enough, or an operator purges it
	lastEvent = Forget
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
type Fact struct {
	Event
	Late   bool          // of Turned and Broke: the run's time was over
	Again  time.Time     // of Turned and Broke: when the next run may begin; zero: there is to be none
	Advice time.Duration // of Turned: the module's advice when to come back
	Note   string        // for the history: a worker's word, an operator's reason
	Sure   bool          // of Redrive: the operator has checked that it did not run
	Heir   string        // of Redrive: the new ticket's id
	Bytes  int64         // of Answered: of the result
}

// Effect is what a transition asks of those who carry it out.
type Effect uint8

// The effects, as a set.
const (
	Store    Effect = 1 << iota // the new state is on the disk before anything else is done, or said
	Tell                        // its owner may hear the final answer now
	CallOff                     // the run in hand is to be called off
	Schedule                    // the scheduler has it again
	Remove                      // nothing of it is kept but that it was there
)

// guard says for which tickets and facts a row is.
type guard struct {
	name string
	ok   func(t *Ticket, f Fact, now time.Time) bool
}

// A next run has to have some time: this much of the ticket's life, at least.
const leastRun = 50 * time.Millisecond

func again(t *Ticket, f Fact, _ time.Time) bool {
	return t.Deferred && !f.Again.IsZero() && f.Again.Add(leastRun).Before(t.Expires)
}

var (
	always    = guard{"", func(*Ticket, Fact, time.Time) bool { return true }}
	safe      = guard{"may repeat", func(t *Ticket, _ Fact, _ time.Time) bool { return t.Safe }}
	goesAgain = guard{"another run is to come", again}
	safeAgain = guard{"may repeat, another run is to come", func(t *Ticket, f Fact, now time.Time) bool { return t.Safe && again(t, f, now) }}
	dated     = guard{"its time was over", func(_ *Ticket, f Fact, _ time.Time) bool { return f.Late }}
	deadSure  = guard{"dead letter that did not run, or the operator is sure", func(t *Ticket, f Fact, _ time.Time) bool {
		return t.Dead && t.Heir == "" && (t.Safe || !t.MayHaveRun || f.Sure && f.Note != "")
	}}
	deadUnsure = guard{"dead letter", func(t *Ticket, _ Fact, _ time.Time) bool { return t.Dead && t.Heir == "" }}
	early      = guard{"before its time", func(t *Ticket, _ Fact, now time.Time) bool { return now.Before(t.Due) }}
	timeLeft   = guard{"before its end", func(t *Ticket, _ Fact, now time.Time) bool { return now.Before(t.Expires) }}
)

// Row is one row of the table of a ticket's life.
type Row struct {
	State State
	Event Event
	guard guard
	Next  State
	End   End // of Next Ended
	Effects
	do  func(t *Ticket, f Fact, now time.Time) // what else changes
	err error                                  // the event is refused, and nothing changes
}

// Effects is a set of effects.
type Effects = Effect

// Name tells rows apart.
func (r *Row) Name() string {
	n := r.State.String() + ", " + r.Event.String()
	if r.guard.name != "" {
		n += ", " + r.guard.name
	}
	return n
}

// Refuses tells whether the row refuses its event.
func (r *Row) Refuses() error { return r.err }

func mayHaveRun(t *Ticket, _ Fact, _ time.Time) { t.MayHaveRun = true }
func countRun(t *Ticket, _ Fact, _ time.Time)   { t.Runs++ }
func wait(t *Ticket, f Fact, _ time.Time)       { t.Due = f.Again }
func heir(t *Ticket, f Fact, _ time.Time)       { t.Heir = f.Heir }
func result(t *Ticket, f Fact, _ time.Time)     { t.Bytes += f.Bytes }

// advise keeps when another try may be made, for a client that does it itself.
func advise(t *Ticket, f Fact, now time.Time) { t.RetryAt = now.Add(f.Advice) }

// deadLetter keeps a deferred ticket for the operators. A synchronous one has been heard by its client at once.
func deadLetter(t *Ticket, _ Fact, _ time.Time) { t.Dead = t.Deferred }

func both(a, b func(*Ticket, Fact, time.Time)) func(*Ticket, Fact, time.Time) {
	return func(t *Ticket, f Fact, now time.Time) { a(t, f, now); b(t, f, now) }
}

const ends = Store | Tell

// Table is the life of a ticket. Of the rows for a state and an event, the first whose guard holds counts; there is
// one for each.
var Table = []Row{
	{Waiting, Offer, early, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, Offer, timeLeft, Offered, Open, 0, countRun, nil},
	{Waiting, Offer, always, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, Mark, always, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, Answered, always, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, Turned, always, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, Broke, always, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, GiveUp, always, Ended, GivenUp, ends, nil, nil},
	{Waiting, Expire, timeLeft, Waiting, Open, 0, nil, ErrRefused},
	{Waiting, Expire, always, Ended, Late, ends, deadLetter, nil},
	{Waiting, Restart, timeLeft, Waiting, Open, Schedule, nil, nil},
	{Waiting, Restart, always, Ended, Late, ends, deadLetter, nil},
	{Waiting, Withdraw, always, Ended, Failed, ends, deadLetter, nil},
	{Waiting, Redrive, always, Waiting, Open, 0, nil, ErrNotDead},
	{Waiting, Forget, always, Waiting, Open, 0, nil, ErrRefused},

	{Offered, Offer, always, Offered, Open, 0, nil, ErrRefused},
	{Offered, Mark, always, Running, Open, Store, nil, nil},
	{Offered, Answered, always, Ended, Served, ends, result, nil},
	{Offered, Turned, goesAgain, Waiting, Open, Store | Schedule, wait, nil},
	{Offered, Turned, dated, Ended, Late, ends, deadLetter, nil},
	{Offered, Turned, always, Ended, Refused, ends, both(advise, deadLetter), nil},
	{Offered, Broke, safeAgain, Waiting, Open, Store | Schedule, wait, nil},
	{Offered, Broke, dated, Ended, Late, ends, both(mayHaveRun, deadLetter), nil},
	{Offered, Broke, always, Ended, Failed, ends, both(mayHaveRun, deadLetter), nil},
	// Nothing was written unless its class may repeat: only such a one runs without a mark.
	{Offered, GiveUp, safe, Ended, GivenUp, ends | CallOff, mayHaveRun, nil},
	{Offered, GiveUp, always, Ended, GivenUp, ends | CallOff, nil, nil},
	{Offered, Expire, always, Offered, Open, 0, nil, ErrRefused}, // the run in hand ends by itself, and in time
	{Offered, Restart, timeLeft, Waiting, Open, Schedule, nil, nil},
	{Offered, Restart, always, Ended, Late, ends, deadLetter, nil},
	{Offered, Withdraw, always, Offered, Open, 0, nil, ErrRefused}, // as for Expire
	{Offered, Redrive, always, Offered, Open, 0, nil, ErrNotDead},
	{Offered, Forget, always, Offered, Open, 0, nil, ErrRefused},

	{Running, Offer, always, Running, Open, 0, nil, ErrRefused},
	{Running, Mark, always, Running, Open, 0, nil, nil}, // a further attempt of the same run
	{Running, Answered, always, Ended, Served, ends, result, nil},
	{Running, Turned, goesAgain, Waiting, Open, Store | Schedule, wait, nil},
	{Running, Turned, dated, Ended, Late, ends, deadLetter, nil},
	{Running, Turned, always, Ended, Refused, ends, both(advise, deadLetter), nil},
	{Running, Broke, safeAgain, Waiting, Open, Store | Schedule, wait, nil},
	{Running, Broke, dated, Ended, Late, ends, both(mayHaveRun, deadLetter), nil},
	{Running, Broke, always, Ended, Failed, ends, both(mayHaveRun, deadLetter), nil},
	{Running, GiveUp, always, Ended, GivenUp, ends | CallOff, mayHaveRun, nil},
	{Running, Expire, always, Running, Open, 0, nil, ErrRefused},
	{Running, Restart, safe, Waiting, Open, Store | Schedule, nil, nil},
	// It may have run before the restart, and nobody can tell any more: a second run could book twice.
	{Running, Restart, always, Ended, Failed, ends, both(mayHaveRun, deadLetter), nil},
	{Running, Withdraw, always, Running, Open, 0, nil, ErrRefused},
	{Running, Redrive, always, Running, Open, 0, nil, ErrNotDead},
	{Running, Forget, always, Running, Open, 0, nil, ErrRefused},

	{Ended, Offer, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Mark, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Answered, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Turned, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Broke, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, GiveUp, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Expire, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Restart, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Withdraw, always, Ended, Open, 0, nil, ErrEnded},
	{Ended, Redrive, deadSure, Ended, Open, Store, heir, nil},
	{Ended, Redrive, deadUnsure, Ended, Open, 0, nil, ErrUnsure},
	{Ended, Redrive, always, Ended, Open, 0, nil, ErrNotDead},
	{Ended, Forget, always, Ended, Open, Store | Remove, nil, nil},
}

var rows = func() map[[2]uint8][]*Row {
	m := map[[2]uint8][]*Row{}
	for i := range Table {
		r := &Table[i]
		k := [2]uint8{uint8(r.State), uint8(r.Event)}
		m[k] = append(m[k], r)
	}
	return m
}()

// Step applies a fact to a ticket and returns the row that it took. With an error nothing has changed. The effects of
// a ticket that needs no disk leave Store out.
func Step(t *Ticket, f Fact, now time.Time) (*Row, Effects, error) {
	for _, r := range rows[[2]uint8{uint8(t.State), uint8(f.Event)}] {
		if !r.guard.ok(t, f, now) {
			continue
		}
		if r.err != nil {
			return r, 0, r.err
		}
		was := t.State
		t.State = r.Next
		if r.do != nil {
			r.do(t, f, now)
		}
		if r.Next == Ended && was != Ended {
			t.End, t.Ended = r.End, now
		}
		if was != r.Next || was == Ended { // a further attempt is no news
			t.note(Line{At: now, Run: t.Runs, Event: f.Event, Note: f.Note})
		}
		e := r.Effects
		if t.Fleeting {
			e &^= Store
		}
		return r, e, nil
	}
	return nil, 0, fmt.Errorf("a ticket that is %v knows no %v", t.State, f.Event) // the table's test: never
}
