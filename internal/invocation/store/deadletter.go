package store

import (
	"errors"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// Filter says which tickets List shows. Zero values mean all.
type Filter struct {
	Tenant      string `json:"Tenant"`
	DeadLetters bool   `json:"Dead"` // dead letters only, oldest first
	Incomplete  bool   `json:"Open"` // invocations without a final answer only
	Limit       int    `json:"Most"` // maximum number of results; 0: no limit
}

// List shows tickets for the operators.
func (s *Store) List(f Filter) (found []*invocation.Invocation, err error) {
	bucket := tickets
	switch {
	case f.DeadLetters:
		bucket = dead
	case f.Incomplete:
		bucket = open
	}
	err = s.db.View(func(tx *durable.Tx) (err error) {
		tx.Scan(bucket, nil, func(k, _ []byte) bool {
			id := string(k)
			switch {
			case f.DeadLetters:
				id = string(k[8:])
			case f.Incomplete:
				id = afterZero(k)
			}
			var t *invocation.Invocation
			if t, err = load(tx, id); err == nil && (f.Tenant == "" || t.Tenant == f.Tenant) {
				found = append(found, t)
			}
			return err == nil && (f.Limit == 0 || len(found) < f.Limit)
		})
		return err
	})
	return found, storage(err)
}

func afterZero(k []byte) string {
	for i := len(k) - 1; i >= 0; i-- {
		if k[i] == 0 {
			return string(k[i+1:])
		}
	}
	return string(k)
}

// Redrive has a dead letter go again, as a new ticket with the same order and as long a life. For one that may have
// run and must not run twice, the operator has to be sure, and to say why. The letter's own answer stays; its
// Idempotency-Key goes over to the new ticket, so that a late repeat of its owner meets it.
func (s *Store) Redrive(id, heirID string, sure bool, reason string, now time.Time) (heir *invocation.Invocation, err error) {
	err = s.do(func(tx *durable.Tx) error {
		old, _, err := s.apply(tx, id, invocation.Input{Event: invocation.EventRedrive, Confirmed: sure, Note: reason, Successor: heirID}, nil, now)
		if err != nil {
			return err
		}
		if old.IdempotencyKey != "" && string(tx.Get(keys, keyOf(&old.Request))) != id {
			return invocation.ErrSuperseded // two of them would run
		}
		o := old.Request
		o.NotBefore, o.Expires = time.Time{}, now.Add(old.Expires.Sub(old.CreatedAt))
		o.Body = tx.Get(bodies, []byte(id))
		heir = invocation.New(heirID, o, now)
		heir.RedriveOf = id
		return s.add(tx, heir, nil)
	})
	return heir, storage(err)
}

// Purge forgets dead letters that ended before a time: those named, or all of them. It returns how many.
func (s *Store) Purge(ids []string, before, now time.Time) (n int, err error) {
	if len(ids) == 0 {
		letters, err := s.List(Filter{DeadLetters: true})
		if err != nil {
			return 0, err
		}
		for _, t := range letters {
			ids = append(ids, t.ID)
		}
	}
	for _, id := range ids {
		purged := false
		err := s.do(func(tx *durable.Tx) error {
			t, err := load(tx, id)
			if err != nil || !t.DeadLetter || !t.CompletedAt.Before(before) {
				if err == nil && !t.DeadLetter {
					err = invocation.ErrNotDeadLetter
				}
				return err
			}
			_, _, err = s.apply(tx, id, invocation.Input{Event: invocation.EventDelete, Note: "purged"}, nil, now)
			purged = err == nil
			return err
		})
		if err != nil {
			return n, storage(err)
		}
		if purged {
			n++
		}
	}
	return n, nil
}

// Snapshot writes a copy to a new file, while the store is in use.
func (s *Store) Snapshot(to string) error { return storage(s.db.Snapshot(to)) }

// Compact writes the file anew and returns its sizes before and after, in bytes.
func (s *Store) Compact() (before, after int64, err error) {
	before, after, err = s.db.Compact()
	return before, after, storage(err)
}

// Verify reads all that is kept, and checks that the indexes say what the tickets say. It returns how many there are.
func (s *Store) Verify() (n int, err error) {
	if err := s.db.Verify(); err != nil {
		return 0, storage(err)
	}
	err = s.db.View(func(tx *durable.Tx) (err error) {
		var bad error
		tx.Scan(tickets, nil, func(k, v []byte) bool {
			t, err := decode(v)
			if err != nil || t.ID != string(k) {
				bad = errors.Join(bad, &InconsistencyError{string(k), "it cannot be read"})
				return true
			}
			n++
			isOpen := tx.Get(open, openKey(t)) != nil
			isDead := tx.Get(dead, timeKey(t.CompletedAt, t.ID)) != nil
			if isOpen != (t.State != invocation.StateCompleted) || isDead != t.DeadLetter {
				bad = errors.Join(bad, &InconsistencyError{t.ID, "an index and the ticket differ"})
			}
			return true
		})
		tx.Scan(open, nil, func(k, _ []byte) bool {
			if _, err := load(tx, afterZero(k)); err != nil {
				bad = errors.Join(bad, &InconsistencyError{afterZero(k), "it is open and not there"})
			}
			return true
		})
		return bad
	})
	return n, storage(err)
}

// Inconsistent is what Verify finds.
type InconsistencyError struct{ ID, Problem string }

func (i *InconsistencyError) Error() string { return "ticket " + i.ID + ": " + i.Problem }

// Restore puts a snapshot in the place of a store that is not there.
func Restore(snapshot, path string) error { return storage(durable.Restore(snapshot, path, format)) }
