// Package store keeps tickets on disk. It decides nothing about them: package ticket does. What is kept:
//
//	tickets  id -> ticket                  bodies, results  id -> bytes
//	keys     tenant 0 Idempotency-Key -> id
//	open     tenant 0 id -> nothing        the open ones: all that a start reads
//	ends     time id -> nothing            when each ended one may be forgotten
//	dead     time id -> nothing            dead letters
//	expired  id -> until tenant            the bare fact that there was a ticket; gone: until id -> nothing
//	usage    0 tenant -> tickets bytes     of each tenant, and of all under the empty name
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

const format = "tickets 2"

const (
	tickets = iota
	bodies
	results
	keys
	open
	ends
	dead
	expired
	gone
	usage
	clock
	offered // volatile: tickets with a run in hand that has no mark -> when it was offered
)

var buckets = []string{"tickets", "bodies", "results", "keys", "open", "ends", "dead", "expired", "gone", "usage", "clock"}

// Options bound what is kept.
type Options struct {
	Retention         time.Duration // an ended ticket is kept this long, and as long again is known to have expired
	DeadRetention     time.Duration // the same for a dead letter; no less than Retention counts
	MaxInvocations    int64
	MaxPerTenant      int64 // of one tenant; 0: no bound of its own
	MaxBytesPerTenant int64 // bodies and results of one tenant; 0: no bound of its own
	Durable           durable.Options
}

// Store keeps tickets on disk.
type Store struct {
	db      *durable.DB
	options Options
	recent  map[string]*invocation.Invocation // the writer's: tickets that it has decoded of late
}

// Open opens or makes the store at path. A file of the first format is migrated. What does not check out is refused,
// not repaired.
func Open(path string, o Options) (*Store, error) {
	if !o.Durable.ReadOnly {
		if err := migrate(path, o.Durable.LockDeadline); err != nil {
			return nil, storage(err)
		}
	}
	o.Durable.MemoryBuckets = []string{"offered"}
	o.DeadRetention = max(o.DeadRetention, o.Retention)
	s := &Store{options: o, recent: map[string]*invocation.Invocation{}}
	o.Durable.OnRollback = func() { clear(s.recent) }
	var err error
	if s.db, err = durable.Open(path, format, buckets, o.Durable); err != nil {
		return nil, storage(err)
	}
	return s, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// storage marks all errors that are none of package ticket's own as the store's.
func storage(err error) error {
	for _, own := range []error{invocation.ErrNotFound, invocation.ErrExpired, invocation.ErrKeyReused, invocation.ErrStoreFull, invocation.ErrQuotaExceeded,
		invocation.ErrCompleted, invocation.ErrNotDeadLetter, invocation.ErrNotConfirmed, invocation.ErrSuperseded, invocation.ErrInvalidTransition} {
		if errors.Is(err, own) {
			return err
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %w", invocation.ErrStorage, err)
	}
	return nil
}

var encoder = func() cbor.EncMode {
	// Exact to the nanosecond: times are parts of the indexes' keys, and a ticket is read to find them.
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(t *invocation.Invocation) []byte {
	data, err := encoder.Marshal(t)
	if err != nil { // no ticket holds what cannot be written
		panic(err)
	}
	return data
}

func decode(data []byte) (*invocation.Invocation, error) {
	t := &invocation.Invocation{}
	if err := cbor.Unmarshal(data, t); err != nil {
		return nil, fmt.Errorf("%w: a ticket cannot be read: %v", durable.ErrDamaged, err)
	}
	return t, nil
}

func keyOf(o *invocation.Request) []byte { return []byte(o.Tenant + "\x00" + o.IdempotencyKey) }

func openKey(t *invocation.Invocation) []byte { return []byte(t.Tenant + "\x00" + t.ID) }

func timeKey(at time.Time, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano())), id...)
}

func load(tx *durable.Tx, id string) (*invocation.Invocation, error) {
	data := tx.Get(tickets, []byte(id))
	if data == nil {
		if mark := tx.Get(expired, []byte(id)); len(mark) >= 8 {
			return &invocation.Invocation{ID: id, Request: invocation.Request{Tenant: string(mark[8:])}}, invocation.ErrExpired
		}
		return nil, invocation.ErrNotFound
	}
	t, err := decode(data)
	if err != nil {
		return nil, err
	}
	if v := tx.Get(offered, []byte(id)); len(v) == 8 { // what the disk does not have is done again
		_, _, err = invocation.Step(t, offer, time.Unix(0, int64(binary.BigEndian.Uint64(v))))
	}
	return t, err
}

var offer = invocation.Input{Event: invocation.EventSubmit}

// mostRecent bounds what the writer remembers.
const mostRecent = 1024

// loadRecent is load for the writer. A ticket that it has just written is not decoded again; what a change that was
// taken back has left here is dropped with all others.
func (s *Store) loadRecent(tx *durable.Tx, id string) (*invocation.Invocation, error) {
	if t := s.recent[id]; t != nil {
		return new(*t), nil
	}
	return load(tx, id)
}

func (s *Store) remember(t *invocation.Invocation) {
	if len(s.recent) >= mostRecent {
		clear(s.recent)
	}
	c := *t
	c.Body = nil
	s.recent[t.ID] = &c
}

// do has the writer carry out a change.
func (s *Store) do(change func(*durable.Tx) error) error {
	return s.db.Update(func(tx *durable.Tx) error {
		err := change(tx)
		if err != nil { // what it has left in memory is void
			clear(s.recent)
		}
		return err
	})
}

// put writes a ticket that is or was in state was (0: new), with its indexes.
func (s *Store) put(tx *durable.Tx, t *invocation.Invocation, was invocation.State) {
	id := []byte(t.ID)
	if was == invocation.StateSubmitted {
		tx.Delete(offered, id)
	}
	tx.Put(tickets, id, encode(new(t.Persisted())))
	if t.State != invocation.StateCompleted && was == 0 {
		tx.Put(open, openKey(t), nil)
	}
	if t.State == invocation.StateCompleted && was != invocation.StateCompleted {
		tx.Delete(open, openKey(t))
		keep := s.options.Retention
		if t.DeadLetter {
			keep = s.options.DeadRetention
			tx.Put(dead, timeKey(t.CompletedAt, t.ID), nil)
		}
		tx.Put(ends, timeKey(t.CompletedAt.Add(keep), t.ID), nil)
	}
}

func usageKey(tenant string) []byte { return []byte("\x00" + tenant) }

// Usage is what is kept for a tenant.
type Usage struct{ Invocations, Bytes int64 }

func used(tx *durable.Tx, tenant string) (u Usage) {
	if v := tx.Get(usage, usageKey(tenant)); len(v) == 16 {
		u.Invocations, u.Bytes = int64(binary.BigEndian.Uint64(v)), int64(binary.BigEndian.Uint64(v[8:]))
	}
	return u
}

// count adds to what a tenant uses, and to what all do.
func count(tx *durable.Tx, tenant string, n, size int64) {
	setUsed(tx, tenant, used(tx, tenant), n, size)
	setUsed(tx, "", used(tx, ""), n, size)
}

func setUsed(tx *durable.Tx, tenant string, u Usage, n, size int64) {
	v := binary.BigEndian.AppendUint64(make([]byte, 0, 16), uint64(u.Invocations+n))
	tx.Put(usage, usageKey(tenant), binary.BigEndian.AppendUint64(v, uint64(u.Bytes+size)))
}

// Usage is what is kept for a tenant; for the empty name, of all.
func (s *Store) Usage(tenant string) (u Usage, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		u = used(tx, tenant)
		return nil
	})
	return u, storage(err)
}

// Find returns the ticket that a tenant's key has, if it still counts for an order: a refusal promises that another
// try does no harm, so once its time has come the key is free. Nil: the key is free.
func (s *Store) FindByKey(o *invocation.Request, now time.Time) (t *invocation.Invocation, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		t, err = find(tx, o, now)
		return err
	})
	return t, storage(err)
}

func find(tx *durable.Tx, o *invocation.Request, now time.Time) (*invocation.Invocation, error) {
	if o.IdempotencyKey == "" {
		return nil, nil
	}
	id := tx.Get(keys, keyOf(o))
	if id == nil {
		return nil, nil
	}
	t, err := load(tx, string(id))
	if err != nil {
		return nil, err
	}
	if t.Outcome == invocation.OutcomeRejected && !now.Before(t.RetryAt) {
		return nil, nil
	}
	if !bytes.Equal(t.Fingerprint, o.Fingerprint) {
		return nil, invocation.ErrKeyReused
	}
	return t, nil
}

// Create puts a ticket on record as it stands, with its result if it has ended, or finds the one that its key has.
func (s *Store) Create(t *invocation.Invocation, result []byte, now time.Time) (found *invocation.Invocation, err error) {
	err = s.do(func(tx *durable.Tx) error {
		if found, err = find(tx, &t.Request, now); found != nil || err != nil {
			return err
		}
		return s.add(tx, t, result)
	})
	return found, storage(err)
}

func (s *Store) add(tx *durable.Tx, t *invocation.Invocation, result []byte) error {
	all := used(tx, "")
	if all.Invocations >= s.options.MaxInvocations { // a bound on the disk
		return invocation.ErrStoreFull
	}
	// One tenant must not take the room of all others.
	u, most, bytes := used(tx, t.Tenant), s.options.MaxPerTenant, s.options.MaxBytesPerTenant
	if most > 0 && u.Invocations >= most || bytes > 0 && u.Bytes+t.Bytes > bytes {
		return invocation.ErrQuotaExceeded
	}
	setUsed(tx, "", all, 1, t.Bytes)
	setUsed(tx, t.Tenant, u, 1, t.Bytes)
	if t.IdempotencyKey != "" {
		tx.Put(keys, keyOf(&t.Request), []byte(t.ID))
	}
	if len(t.Body) > 0 {
		tx.Put(bodies, []byte(t.ID), t.Body)
	}
	if len(result) > 0 {
		tx.Put(results, []byte(t.ID), result)
	}
	s.put(tx, t, 0)
	s.remember(t)
	return nil
}

// Apply steps a ticket by a fact, keeps what came of it as far as that is asked for, and returns the ticket as it
// stands then. When an error is returned nothing has changed; ErrEnded comes with the ticket.
func (s *Store) Apply(id string, f invocation.Input, result []byte, now time.Time) (t *invocation.Invocation, e invocation.Effects, err error) {
	err = s.do(func(tx *durable.Tx) error {
		t, e, err = s.apply(tx, id, f, result, now)
		return err
	})
	return t, e, storage(err)
}

func (s *Store) apply(tx *durable.Tx, id string, f invocation.Input, result []byte, now time.Time) (*invocation.Invocation, invocation.Effects, error) {
	t, err := s.loadRecent(tx, id)
	if err != nil {
		return nil, 0, err
	}
	was, size := t.State, t.Bytes
	_, e, err := invocation.Step(t, f, now)
	if err != nil {
		return t, 0, err
	}
	switch {
	case e.Has(invocation.EffectDelete):
		s.forget(tx, t, now)
		return t, e, nil
	case e.Has(invocation.EffectPersist):
		if len(result) > 0 {
			tx.Put(results, []byte(id), result)
		}
		if t.Bytes != size {
			count(tx, t.Tenant, 0, t.Bytes-size)
		}
		s.put(tx, t, was)
	case t.State == invocation.StateSubmitted:
		tx.Put(offered, []byte(id), binary.BigEndian.AppendUint64(nil, uint64(now.UnixNano())))
	}
	s.remember(t)
	return t, e, nil
}

// forget removes a ticket and leaves the bare fact that it was there.
func (s *Store) forget(tx *durable.Tx, t *invocation.Invocation, now time.Time) {
	id, keep := []byte(t.ID), s.options.Retention
	if t.DeadLetter {
		keep = s.options.DeadRetention
		tx.Delete(dead, timeKey(t.CompletedAt, t.ID))
	}
	tx.Delete(ends, timeKey(t.CompletedAt.Add(keep), t.ID))
	if t.IdempotencyKey != "" && string(tx.Get(keys, keyOf(&t.Request))) == t.ID {
		tx.Delete(keys, keyOf(&t.Request))
	}
	delete(s.recent, t.ID)
	tx.Delete(tickets, id)
	tx.Delete(bodies, id)
	tx.Delete(results, id)
	count(tx, t.Tenant, -1, -t.Bytes)
	until := now.Add(s.options.Retention)
	tx.Put(expired, id, append(binary.BigEndian.AppendUint64(nil, uint64(until.UnixNano())), t.Tenant...))
	tx.Put(gone, timeKey(until, t.ID), nil)
}

// Get reads a ticket. An expired one comes with ErrExpired and the name of its tenant alone.
func (s *Store) Get(id string) (t *invocation.Invocation, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		t, err = load(tx, id)
		return err
	})
	return t, storage(err)
}

// Body reads what a ticket's runs are given.
func (s *Store) Body(id string) (body []byte, err error) { return s.read(bodies, id) }

// Result reads what a served ticket came to.
func (s *Store) Result(id string) (result []byte, err error) { return s.read(results, id) }

func (s *Store) read(bucket int, id string) (v []byte, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		v = tx.Get(bucket, []byte(id))
		return nil
	})
	return v, storage(err)
}

// Open calls each for the open tickets; those of one tenant together.
func (s *Store) ForEachIncomplete(each func(*invocation.Invocation) error) error {
	return storage(s.db.View(func(tx *durable.Tx) (err error) {
		tx.Scan(open, nil, func(k, _ []byte) bool {
			var t *invocation.Invocation
			if t, err = load(tx, string(k[bytes.LastIndexByte(k, 0)+1:])); err == nil {
				err = each(t)
			}
			return err == nil
		})
		return err
	}))
}

// sweepMost is how many tickets are forgotten in one change: the writer has others to serve.
const sweepMost = 256

// Sweep forgets what has been kept long enough.
func (s *Store) DeleteExpired(now time.Time) error {
	limit := timeKey(now, "")
	for n := sweepMost; n == sweepMost; {
		err := s.do(func(tx *durable.Tx) error {
			n = 0
			due := func(bucket int, do func(id string) error) (err error) {
				tx.Scan(bucket, nil, func(k, _ []byte) bool {
					if n == sweepMost || bytes.Compare(k, limit) >= 0 {
						return false
					}
					n++
					err = do(string(k[8:]))
					tx.Delete(bucket, k)
					return err == nil
				})
				return err
			}
			err := due(ends, func(id string) error {
				_, _, err := s.apply(tx, id, invocation.Input{Event: invocation.EventDelete}, nil, now)
				if errors.Is(err, invocation.ErrNotFound) || errors.Is(err, invocation.ErrExpired) {
					return nil // purged before its time
				}
				return err
			})
			return errors.Join(err, due(gone, func(id string) error {
				tx.Delete(expired, []byte(id))
				return nil
			}))
		})
		if err != nil {
			return storage(err)
		}
	}
	return nil
}

// Seen keeps the latest time that the program has known, and returns it: time must not go back over a restart.
func (s *Store) AdvanceClock(now time.Time) (latest time.Time, err error) {
	at := []byte("latest")
	err = s.do(func(tx *durable.Tx) error {
		latest = now
		if v := tx.Get(clock, at); len(v) == 8 && int64(binary.BigEndian.Uint64(v)) > now.UnixNano() {
			latest = time.Unix(0, int64(binary.BigEndian.Uint64(v)))
			return nil
		}
		tx.Put(clock, at, binary.BigEndian.AppendUint64(nil, uint64(now.UnixNano())))
		return nil
	})
	return latest, storage(err)
}
