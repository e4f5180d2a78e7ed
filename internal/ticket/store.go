// Package ticket keeps calls that outlive a connection: each is stored before it is promised, and has one
// final answer, which stays to be asked for.
package ticket

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Errors of the store and the desk.
var (
	ErrUnknown  = errors.New("no such ticket")
	ErrExpired  = errors.New("the ticket has expired")
	ErrMismatch = errors.New("the key was used for another request")
	ErrFull     = errors.New("too many tickets are kept")
	ErrStore    = errors.New("the ticket store does not work")
	errEnded    = errors.New("the ticket has its final answer")
)

// End says how a ticket ended.
type End string

// The ends. A ticket with none is open.
const (
	Open    End = ""
	Served  End = "served"
	Refused End = "refused"
	Failed  End = "failed"
	Late    End = "late"
	GivenUp End = "given up"
)

// Order is what a client asks for.
type Order struct {
	Tenant      string
	Key         string // Idempotency-Key; empty: none
	Fingerprint []byte // of all that a repeat under the key must share
	Name        string // of the function in the operator's catalogue
	Body        []byte
	Deadline    time.Time
}

// Ticket is an order on record.
type Ticket struct {
	ID string
	Order
	CallID  uint64
	Created time.Time
	MayRun  bool // an attempt may have been written

	End        End
	Ended      time.Time
	MayHaveRun bool
	Result     []byte
	RetryAt    time.Time // of a refusal: the earliest moment for another try
}

// Store keeps tickets on disk.
type Store struct {
	db   *bolt.DB
	most int64 // tickets kept
	kept atomic.Int64
	keep time.Duration // an ended ticket is kept this long, and as long again is known to have expired
}

var buckets = struct{ tickets, keys, ends, expired []byte }{[]byte("tickets"), []byte("keys"), []byte("ends"),
	[]byte("expired")}

// OpenStore opens or makes the store at path. A store that does not check out is refused, not repaired.
func OpenStore(path string, most int64, keep time.Duration, lockBy time.Time) (s *Store, err error) {
	defer func() { // bbolt panics on some broken files
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("%w: %s: %v", ErrStore, path, p)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Until(lockBy)})
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrStore, path, err)
	}
	kept := int64(0)
	err = db.Update(func(tx *bolt.Tx) error {
		for bad := range tx.Check() {
			err = errors.Join(err, bad)
		}
		for _, b := range [][]byte{buckets.tickets, buckets.keys, buckets.ends, buckets.expired} {
			if _, made := tx.CreateBucketIfNotExists(b); made != nil {
				err = errors.Join(err, made)
			}
		}
		if err == nil {
			kept = int64(tx.Bucket(buckets.tickets).Stats().KeyN)
		}
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%w: %s: %v", ErrStore, path, err)
	}
	s = &Store{db: db, most: most, keep: keep}
	s.kept.Store(kept)
	return s, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

func keyOf(o Order) []byte { return []byte(o.Tenant + "\x00" + o.Key) }

func endKey(at time.Time, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano())), id...)
}

// storage marks all errors that are none of this package's own as the store's.
func storage(err error) error {
	for _, own := range []error{ErrUnknown, ErrExpired, ErrMismatch, ErrFull, errEnded} {
		if errors.Is(err, own) {
			return err
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	return nil
}

func load(tx *bolt.Tx, id string) (*Ticket, error) {
	data := tx.Bucket(buckets.tickets).Get([]byte(id))
	if data == nil {
		if tenant := tx.Bucket(buckets.expired).Get([]byte(id)); tenant != nil {
			return &Ticket{ID: id, Order: Order{Tenant: string(tenant[8:])}}, ErrExpired
		}
		return nil, ErrUnknown
	}
	t := &Ticket{}
	return t, json.Unmarshal(data, t)
}

func save(tx *bolt.Tx, t *Ticket) error {
	data, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return tx.Bucket(buckets.tickets).Put([]byte(t.ID), data)
}

// Create puts an order on record under id, or finds the ticket that its key already has.
func (s *Store) Create(id string, o Order, callID uint64, now time.Time) (t *Ticket, found bool, err error) {
	err = s.db.Batch(func(tx *bolt.Tx) error {
		t, found = nil, false
		keys := tx.Bucket(buckets.keys)
		if o.Key != "" {
			if first := keys.Get(keyOf(o)); first != nil {
				old, err := load(tx, string(first))
				if err != nil {
					return err
				}
				if !bytes.Equal(old.Fingerprint, o.Fingerprint) {
					return ErrMismatch
				}
				// A refusal promises that another try does no harm: once its time has come, the key is free.
				if old.End != Refused || now.Before(old.RetryAt) {
					t, found = old, true
					return nil
				}
			}
		}
		if s.kept.Load() >= s.most { // a bound on the disk
			return ErrFull
		}
		t = &Ticket{ID: id, Order: o, CallID: callID, Created: now}
		if o.Key != "" {
			if err := keys.Put(keyOf(o), []byte(t.ID)); err != nil {
				return err
			}
		}
		return save(tx, t)
	})
	if err == nil && !found {
		s.kept.Add(1)
	}
	return t, found, storage(err)
}

// Get reads a ticket. An expired one comes with ErrExpired and the name of its tenant alone.
func (s *Store) Get(id string) (t *Ticket, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		t, err = load(tx, id)
		return err
	})
	return t, storage(err)
}

// MarkMayRun records that an attempt may be written from now on. It fails once the ticket has ended.
func (s *Store) MarkMayRun(id string) error {
	return storage(s.db.Batch(func(tx *bolt.Tx) error {
		t, err := load(tx, id)
		if err != nil {
			return err
		}
		if t.End != Open {
			return errEnded
		}
		t.MayRun = true
		return save(tx, t)
	}))
}

// Finish records the final answer, unless there is one: the first wins. It returns the ticket as it stands.
func (s *Store) Finish(id string, set func(*Ticket)) (t *Ticket, err error) {
	err = s.db.Batch(func(tx *bolt.Tx) error {
		if t, err = load(tx, id); err != nil || t.End != Open {
			return err
		}
		set(t)
		if err := tx.Bucket(buckets.ends).Put(endKey(t.Ended, id), nil); err != nil {
			return err
		}
		return save(tx, t)
	})
	return t, storage(err)
}

// Pending are the open tickets.
func (s *Store) Pending() (open []*Ticket, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(buckets.tickets).ForEach(func(_, data []byte) error {
			t := &Ticket{}
			err := json.Unmarshal(data, t)
			if err == nil && t.End == Open {
				open = append(open, t)
			}
			return err
		})
	})
	return open, storage(err)
}

// Sweep removes what has been kept long enough, and leaves the bare fact that it was there.
func (s *Store) Sweep(now time.Time) error {
	gone := int64(0)
	err := s.db.Update(func(tx *bolt.Tx) error {
		gone = 0
		ends, expired := tx.Bucket(buckets.ends), tx.Bucket(buckets.expired)
		limit := endKey(now.Add(-s.keep), "")
		for k, _ := ends.Cursor().First(); k != nil && bytes.Compare(k, limit) < 0; k, _ = ends.Cursor().First() {
			id := bytes.Clone(k[8:])
			t, err := load(tx, string(id))
			if err != nil {
				return err
			}
			keys := tx.Bucket(buckets.keys)
			if o := keys.Get(keyOf(t.Order)); t.Key != "" && string(o) == t.ID {
				if err := keys.Delete(keyOf(t.Order)); err != nil {
					return err
				}
			}
			mark := append(binary.BigEndian.AppendUint64(nil, uint64(now.Add(s.keep).UnixNano())), t.Tenant...)
			err = errors.Join(expired.Put(id, mark), tx.Bucket(buckets.tickets).Delete(id), ends.Delete(k))
			if err != nil {
				return err
			}
			gone++
		}
		var old [][]byte
		err := expired.ForEach(func(id, mark []byte) error {
			if now.UnixNano() > int64(binary.BigEndian.Uint64(mark)) {
				old = append(old, bytes.Clone(id))
			}
			return nil
		})
		for _, id := range old {
			err = errors.Join(err, expired.Delete(id))
		}
		return err
	})
	if err == nil {
		s.kept.Add(-gone)
	}
	return storage(err)
}
