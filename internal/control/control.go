// Package operate is what operators may do with the tickets of a dispatcher: by its control socket while one runs, on
// the file itself while none does. Both sides know the same operations, by the interface Tickets.
package control

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// Tickets is what can be done with the tickets of an installation.
type Operations interface {
	List(f store.Filter) ([]Invocation, error)
	Show(id string) (Invocation, error)
	// Redrive has a dead letter go again and returns the new ticket. For one that may have run and must not run twice,
	// sure has to be set and the reason to say how that was found out.
	Redrive(id string, sure bool, reason string) (Invocation, error)
	// Purge forgets dead letters that ended before a time: those named, or all.
	Purge(ids []string, before time.Time) (int, error)
	Snapshot(to string) error
	Verify() (int, error)
	Compact() (before, after int64, err error)
}

// Ticket is a ticket as operators see it. The body and the result are its owner's and not shown.
type Invocation struct {
	ID         string                    `json:"id"`
	Tenant     string                    `json:"tenant"`
	Key        string                    `json:"key,omitempty"`
	Function   string                    `json:"function"`
	Class      string                    `json:"class"`
	Urgency    int                       `json:"urgency"`
	State      string                    `json:"state"`
	End        string                    `json:"end,omitempty"`
	MayHaveRun bool                      `json:"may_have_run,omitempty"`
	Dead       bool                      `json:"dead,omitempty"`
	Created    time.Time                 `json:"created"`
	Due        time.Time                 `json:"due,omitzero"`
	Expires    time.Time                 `json:"expires"`
	Ended      time.Time                 `json:"ended,omitzero"`
	Runs       int                       `json:"runs"`
	Bytes      int64                     `json:"bytes"`
	Origin     string                    `json:"origin,omitempty"`
	Heir       string                    `json:"heir,omitempty"`
	History    []invocation.HistoryEntry `json:"history,omitempty"`
}

// view shows a ticket.
func view(t *invocation.Invocation) Invocation {
	v := Invocation{ID: t.ID, Tenant: t.Tenant, Key: t.IdempotencyKey, Function: t.Function, Class: t.Class, Urgency: int(t.Urgency),
		State: t.State.String(), MayHaveRun: t.MayHaveRun, Dead: t.DeadLetter, Created: t.CreatedAt, Expires: t.Expires,
		Ended: t.CompletedAt, Runs: t.Runs, Bytes: t.Bytes, Origin: t.RedriveOf, Heir: t.RedrivenAs, History: t.History}
	if t.State == invocation.StateCompleted {
		v.End = t.Outcome.String()
	} else {
		v.Due = t.NextRunAt
	}
	return v
}

// file works on a store that no dispatcher holds.
type file struct {
	store   *store.Store
	redrive func(id string, sure bool, reason string) (*invocation.Invocation, error)
}

// File is the tickets of a store that no dispatcher holds. With look, nothing is written.
func OpenFile(path string, o store.Options, look bool) (Operations, func() error, error) {
	if _, err := os.Stat(path); err != nil { // opening it would make one
		return nil, nil, fmt.Errorf("%w: %w", invocation.ErrStorage, err)
	}
	o.Durable.ReadOnly = look
	s, err := store.Open(path, o)
	if err != nil {
		return nil, nil, err
	}
	return ForStore(s, nil), s.Close, nil
}

// Store is the tickets of an open store. With redrive set, that is how a dead letter goes again: the desk has to hear
// of it.
func ForStore(s *store.Store, redrive func(id string, sure bool, reason string) (*invocation.Invocation, error)) Operations {
	if redrive == nil {
		redrive = func(id string, sure bool, reason string) (*invocation.Invocation, error) {
			return s.Redrive(id, rand.Text(), sure, reason, time.Now())
		}
	}
	return &file{store: s, redrive: redrive}
}

func (f *file) List(filter store.Filter) ([]Invocation, error) {
	found, err := f.store.List(filter)
	out := make([]Invocation, 0, len(found))
	for _, t := range found {
		out = append(out, view(t))
	}
	return out, err
}

func (f *file) Show(id string) (Invocation, error) {
	t, err := f.store.Get(id)
	if err != nil {
		return Invocation{}, err
	}
	return view(t), nil
}

func (f *file) Redrive(id string, sure bool, reason string) (Invocation, error) {
	t, err := f.redrive(id, sure, reason)
	if err != nil {
		return Invocation{}, err
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
var faults = map[string]error{"unknown": invocation.ErrNotFound, "expired": invocation.ErrExpired, "not-dead": invocation.ErrNotDeadLetter,
	"unsure": invocation.ErrNotConfirmed, "asked-for": invocation.ErrSuperseded, "full": invocation.ErrStoreFull, "quota": invocation.ErrQuotaExceeded,
	"store": invocation.ErrStorage}

func wordOf(err error) string {
	for word, e := range faults {
		if errors.Is(err, e) {
			return word
		}
	}
	return ""
}
