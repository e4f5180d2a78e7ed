package store

import (
	"errors"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/ticket"
)

// Filter says which tickets List shows. Zero values mean all.
type Filter struct {
	Tenant string
	Dead   bool // dead letters alone, the latest last
	Open   bool // open ones alone
	Most   int
}

// List shows tickets for the operators.
func (s *Store) List(f Filter) (found []*ticket.Ticket, err error) {
	bucket := tickets
	switch {
	case f.Dead:
		bucket = dead
	case f.Open:
		bucket = open
	}
	err = s.db.View(func(tx *durable.Tx) (err error) {
		tx.Scan(bucket, nil, func(k, _ []byte) bool {
			id := string(k)
			switch {
			case f.Dead:
				id = string(k[8:])
			case f.Open:
				id = afterZero(k)
			}
			var t *ticket.Ticket
			if t, err = load(tx, id); err == nil && (f.Tenant == "" || t.Tenant == f.Tenant) {
				found = append(found, t)
			}
			return err == nil && (f.Most == 0 || len(found) < f.Most)
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
func (s *Store) Redrive(id, heirID string, sure bool, reason string, now time.Time) (heir *ticket.Ticket, err error) {
	err = s.do(func(tx *durable.Tx) error {
		old, _, err := s.apply(tx, id, ticket.Fact{Event: ticket.Redrive, Sure: sure, Note: reason, Heir: heirID}, nil, now)
		if err != nil {
			return err
		}
		if old.Key != "" && string(tx.Get(keys, keyOf(&old.Order))) != id {
			return ticket.ErrAskedFor // two of them would run
		}
		o := old.Order
		o.NotBefore, o.Expires = time.Time{}, now.Add(old.Expires.Sub(old.Created))
		o.Body = tx.Get(bodies, []byte(id))
		heir = ticket.New(heirID, o, now)
		heir.Origin = id
		return s.add(tx, heir, nil)
	})
	return heir, storage(err)
}

// Purge forgets dead letters that ended before a time: those named, or all of them. It returns how many.
func (s *Store) Purge(ids []string, before, now time.Time) (n int, err error) {
	if len(ids) == 0 {
		letters, err := s.List(Filter{Dead: true})
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
			if err != nil || !t.Dead || !t.Ended.Before(before) {
				if err == nil && !t.Dead {
					err = ticket.ErrNotDead
				}
				return err
			}
			_, _, err = s.apply(tx, id, ticket.Fact{Event: ticket.Forget, Note: "purged"}, nil, now)
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
				bad = errors.Join(bad, &Inconsistent{string(k), "it cannot be read"})
				return true
			}
			n++
			isOpen := tx.Get(open, openKey(t)) != nil
			isDead := tx.Get(dead, timeKey(t.Ended, t.ID)) != nil
			if isOpen != (t.State != ticket.Ended) || isDead != t.Dead {
				bad = errors.Join(bad, &Inconsistent{t.ID, "an index and the ticket differ"})
			}
			return true
		})
		tx.Scan(open, nil, func(k, _ []byte) bool {
			if _, err := load(tx, afterZero(k)); err != nil {
				bad = errors.Join(bad, &Inconsistent{afterZero(k), "it is open and not there"})
			}
			return true
		})
		return bad
	})
	return n, storage(err)
}

// Inconsistent is what Verify finds.
type Inconsistent struct{ ID, What string }

func (i *Inconsistent) Error() string { return "ticket " + i.ID + ": " + i.What }

// Restore puts a snapshot in the place of a store that is not there.
func Restore(snapshot, path string) error { return storage(durable.Restore(snapshot, path, format)) }
