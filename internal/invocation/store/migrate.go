package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// first is a ticket as the first format has it: JSON in a bucket of bbolt.
type first struct {
	ID, Tenant, Key, Name string
	Fingerprint           []byte
	Body                  []byte
	Deadline, Created     time.Time
	MayRun                bool
	End                   string
	Ended                 time.Time
	MayHaveRun            bool
	Result                []byte
	RetryAt               time.Time
}

var firstEnds = map[string]invocation.Outcome{"": invocation.OutcomeNone, "served": invocation.OutcomeServed, "refused": invocation.OutcomeRejected,
	"failed": invocation.OutcomeFailed, "late": invocation.OutcomeDeadlineExceeded, "given up": invocation.OutcomeCancelled}

// migrate makes a store of the present format of one of the first. The old file stays beside it, as PATH.v1. Being
// ended in the middle does no harm: the new file gets its name only when it is whole.
func migrate(path string, lockBy time.Time) error {
	made, old := path+".v2", path+".v1"
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if _, err := os.Stat(made); err == nil { // ended between the two names
			return os.Rename(made, path)
		}
		return nil
	}
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		return err // Open words it
	}
	is, err := isFirst(path, lockBy)
	if err != nil || !is {
		return err
	}
	if _, err := os.Lstat(old); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s is of the first format, and %s is there already: move one away", path, old)
	}
	tmp := path + ".migrating"
	for _, f := range append(durable.Files(tmp), durable.LogDir(tmp), made) {
		os.Remove(f) // of a migration that was ended
	}
	n, err := convert(path, tmp, made, lockBy)
	for _, f := range append(durable.Files(tmp), durable.LogDir(tmp)) {
		os.Remove(f)
	}
	if err != nil {
		return err
	}
	if err := errors.Join(os.Rename(path, old), os.Rename(made, path)); err != nil {
		return err
	}
	slog.Info("tickets: migrated from the first format", "tickets", n, "old", old)
	return nil
}

func isFirst(path string, lockBy time.Time) (is bool, err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on some broken files
			is, err = false, nil // Open words it
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Until(lockBy), ReadOnly: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return false, fmt.Errorf("%w: %s", durable.ErrLocked, path)
	} else if err != nil {
		return false, nil
	}
	defer db.Close()
	err = db.View(func(tx *bolt.Tx) error {
		info, err := os.Stat(path)
		if err != nil || tx.Size() > info.Size() {
			return err
		}
		is = tx.Bucket([]byte("kitefall")) == nil && tx.Bucket([]byte("tickets")) != nil && tx.Bucket([]byte("ends")) != nil
		return nil
	})
	return is, err
}

func convert(path, tmp, made string, lockBy time.Time) (n int, err error) {
	from, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Until(lockBy), ReadOnly: true})
	if err != nil {
		return 0, err
	}
	defer from.Close()
	db, err := durable.Open(tmp, format, buckets, durable.Options{LockDeadline: lockBy, MemoryBuckets: []string{"offered"}})
	if err != nil {
		return 0, err
	}
	defer db.Close()
	s := &Store{db: db, recent: map[string]*invocation.Invocation{}, options: Options{MaxInvocations: 1 << 62, Retention: firstRetention}}
	err = from.View(func(tx *bolt.Tx) error {
		var bad error
		for b := range tx.Check() {
			bad = errors.Join(bad, b)
		}
		if bad != nil {
			return fmt.Errorf("%w: %s: %v", durable.ErrDamaged, path, bad)
		}
		err := tx.Bucket([]byte("tickets")).ForEach(func(_, data []byte) error {
			f := first{}
			if err := json.Unmarshal(data, &f); err != nil {
				return fmt.Errorf("%w: %s: %v", durable.ErrDamaged, path, err)
			}
			n++
			owns := string(tx.Bucket([]byte("keys")).Get([]byte(f.Tenant+"\x00"+f.Key))) == f.ID
			return s.take(&f, owns)
		})
		if b := tx.Bucket([]byte("expired")); err == nil && b != nil {
			err = b.ForEach(func(id, mark []byte) error { return s.takeExpired(string(id), mark) })
		}
		return err
	})
	if err != nil {
		return n, err
	}
	return n, db.Snapshot(made)
}

// firstRetention is how long what a migration brings is kept: the first format did not say.
const firstRetention = 24 * time.Hour

func (s *Store) take(f *first, ownsKey bool) error {
	end, ok := firstEnds[f.End]
	if !ok {
		return fmt.Errorf("%w: ticket %s ended as %q", durable.ErrDamaged, f.ID, f.End)
	}
	t := &invocation.Invocation{ID: f.ID, CreatedAt: f.Created, State: invocation.StateWaiting, NextRunAt: f.Created, Outcome: end, CompletedAt: f.Ended,
		MayHaveRun: f.MayHaveRun, RetryAt: f.RetryAt, Bytes: int64(len(f.Body) + len(f.Result)),
		Request: invocation.Request{Tenant: f.Tenant, IdempotencyKey: f.Key, Fingerprint: f.Fingerprint, Function: f.Name, Body: f.Body,
			Deferred: true, Urgency: invocation.DefaultUrgency, Expires: f.Deadline, RunTimeout: f.Deadline.Sub(f.Created)}}
	switch {
	case end != invocation.OutcomeNone:
		t.State = invocation.StateCompleted
	case f.MayRun: // its class is not on record there: what may have run does not run again
		t.State, t.Runs = invocation.StateRunning, 1
	}
	return s.do(func(tx *durable.Tx) error {
		key := t.IdempotencyKey
		if !ownsKey {
			t.IdempotencyKey = "" // a later ticket has it
		}
		err := s.add(tx, t, f.Result)
		t.IdempotencyKey = key
		return err
	})
}

func (s *Store) takeExpired(id string, mark []byte) error {
	if len(mark) < 8 {
		return fmt.Errorf("%w: the mark of %s is too short", durable.ErrDamaged, id)
	}
	until := time.Unix(0, int64(binary.BigEndian.Uint64(mark)))
	return s.do(func(tx *durable.Tx) error {
		tx.Put(expired, []byte(id), append([]byte{}, mark...))
		tx.Put(gone, timeKey(until, id), nil)
		return nil
	})
}
