// Package operate is what operators may do with the tickets of a dispatcher: by its control socket while one runs, on
// the file itself while none does. Both sides know the same operations, by the interface Tickets.
package operate

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"kitefall/internal/ticket"
	"kitefall/internal/ticket/store"
)

// Tickets is what can be done with the tickets of an installation.
type Tickets interface {
	List(f store.Filter) ([]Ticket, error)
	Show(id string) (Ticket, error)
	// Redrive has a dead letter go again and returns the new ticket. For one that may have run and must not run twice,
	// sure has to be set and the reason to say how that was found out.
	Redrive(id string, sure bool, reason string) (Ticket, error)
	// Purge forgets dead letters that ended before a time: those named, or all.
	Purge(ids []string, before time.Time) (int, error)
	Snapshot(to string) error
	Verify() (int, error)
	Compact() (before, after int64, err error)
}

// Ticket is a ticket as operators see it. The body and the result are its owner's and not shown.
type Ticket struct {
	ID         string        `json:"id"`
	Tenant     string        `json:"tenant"`
	Key        string        `json:"key,omitempty"`
	Function   string        `json:"function"`
	Class      string        `json:"class"`
	Urgency    int           `json:"urgency"`
	State      string        `json:"state"`
	End        string        `json:"end,omitempty"`
	MayHaveRun bool          `json:"may_have_run,omitempty"`
	Dead       bool          `json:"dead,omitempty"`
	Created    time.Time     `json:"created"`
	Due        time.Time     `json:"due,omitzero"`
	Expires    time.Time     `json:"expires"`
	Ended      time.Time     `json:"ended,omitzero"`
	Runs       int           `json:"runs"`
	Bytes      int64         `json:"bytes"`
	Origin     string        `json:"origin,omitempty"`
	Heir       string        `json:"heir,omitempty"`
	History    []ticket.Line `json:"history,omitempty"`
}

// view shows a ticket.
func view(t *ticket.Ticket) Ticket {
	v := Ticket{ID: t.ID, Tenant: t.Tenant, Key: t.Key, Function: t.Function, Class: t.Class, Urgency: int(t.Urgency),
		State: t.State.String(), MayHaveRun: t.MayHaveRun, Dead: t.Dead, Created: t.Created, Expires: t.Expires,
		Ended: t.Ended, Runs: t.Runs, Bytes: t.Bytes, Origin: t.Origin, Heir: t.Heir, History: t.History}
	if t.State == ticket.Ended {
		v.End = t.End.String()
	} else {
		v.Due = t.Due
	}
	return v
}

// file works on a store that no dispatcher holds.
type file struct {
	store   *store.Store
	redrive func(id string, sure bool, reason string) (*ticket.Ticket, error)
}

// File is the tickets of a store that no dispatcher holds. With look, nothing is written.
func File(path string, o store.Options, look bool) (Tickets, func() error, error) {
	if _, err := os.Stat(path); err != nil { // opening it would make one
		return nil, nil, fmt.Errorf("%w: %w", ticket.ErrStore, err)
	}
	o.Durable.ReadOnly = look
	s, err := store.Open(path, o)
	if err != nil {
		return nil, nil, err
	}
	return Store(s, nil), s.Close, nil
}

// Store is the tickets of an open store. With redrive set, that is how a dead letter goes again: the desk has to hear
// of it.
func Store(s *store.Store, redrive func(id string, sure bool, reason string) (*ticket.Ticket, error)) Tickets {
	if redrive == nil {
		redrive = func(id string, sure bool, reason string) (*ticket.Ticket, error) {
			return s.Redrive(id, rand.Text(), sure, reason, time.Now())
		}
	}
	return &file{store: s, redrive: redrive}
}

func (f *file) List(filter store.Filter) ([]Ticket, error) {
	found, err := f.store.List(filter)
	out := make([]Ticket, 0, len(found))
	for _, t := range found {
		out = append(out, view(t))
	}
	return out, err
}

func (f *file) Show(id string) (Ticket, error) {
	t, err := f.store.Get(id)
	if err != nil {
		return Ticket{}, err
	}
	return view(t), nil
}

func (f *file) Redrive(id string, sure bool, reason string) (Ticket, error) {
	t, err := f.redrive(id, sure, reason)
	if err != nil {
		return Ticket{}, err
	}
	return view(t), nil
}

func (f *file) Purge(ids []string, before time.Time) (int, error) {
	return f.store.Purge(ids, before, time.Now())
}

func (f *file) Snapshot(to string) error                  { return f.store.Snapshot(to) }
func (f *file) Verify() (int, error)                      { return f.store.Verify() }
func (f *file) Compact() (before, after int64, err error) { return f.store.Compact() }

// faults are the errors that keep their meaning over the socket, by the word that stands for each there.
var faults = map[string]error{"unknown": ticket.ErrUnknown, "expired": ticket.ErrExpired, "not-dead": ticket.ErrNotDead,
	"unsure": ticket.ErrUnsure, "asked-for": ticket.ErrAskedFor, "full": ticket.ErrFull, "quota": ticket.ErrQuota,
	"store": ticket.ErrStore}

func wordOf(err error) string {
	for word, e := range faults {
		if errors.Is(err, e) {
			return word
		}
	}
	return ""
}
