// Package store keeps invocations on disk, on top of package durable. The state machine in package invocation decides how
// an invocation may change. layout.go describes the stored data.
//
// A Store is safe for concurrent use. Changes are carried out one after another on the writer goroutine of the
// underlying durable.DB. A change is on the disk when the method that made it returns. The only exception is
// EventSubmit, which is recorded in memory.
package store

import (
	"errors"
	"fmt"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// Options set the retention times of invocations, the limits of their number and total size, and the options of the durable.DB.
type Options struct {
	// Retention is how long an invocation is kept after it has completed. After its deletion, a record that it existed is
	// kept for another Retention.
	Retention time.Duration

	// DeadLetterRetention is how long a dead letter is kept after it has completed. A value below Retention is raised to it.
	DeadLetterRetention time.Duration

	MaxInvocations    int64 // maximum number of invocations of all tenants
	MaxPerTenant      int64 // maximum number of invocations per tenant; 0: no limit per tenant
	MaxBytesPerTenant int64 // maximum total size of bodies and results per tenant; 0: no limit

	Durable durable.Options
}

// Store keeps invocations on disk. The zero value is not usable; call Open.
type Store struct {
	db      *durable.DB
	options Options
	cache   invocationCache // used by the writer goroutine only
}

// Open opens the store at path, or creates it. A file in the first format is migrated. A damaged file is rejected, not
// repaired. Errors wrap invocation.ErrStorage.
func Open(path string, options Options) (*Store, error) {
	if !options.Durable.ReadOnly {
		if err := migrate(path, options.Durable.LockDeadline); err != nil {
			return nil, storageError(err)
		}
	}
	options.DeadLetterRetention = max(options.DeadLetterRetention, options.Retention)
	s := &Store{options: options, cache: newInvocationCache()}
	options.Durable.MemoryBuckets = memoryBuckets
	options.Durable.OnRollback = s.cache.clear
	var err error
	if s.db, err = durable.Open(path, format, buckets, options.Durable); err != nil {
		return nil, storageError(err)
	}
	return s, nil
}

// Close closes the underlying durable.DB.
func (s *Store) Close() error { return s.db.Close() }

// update runs change on the writer goroutine. If change returns an error, nothing that it wrote is kept.
func (s *Store) update(change func(*durable.Tx) error) error {
	return s.db.Update(func(tx *durable.Tx) error {
		err := change(tx)
		if err != nil { // the cache may hold the change, which is rolled back
			s.cache.clear()
		}
		return err
	})
}

// unwrappedErrors are the errors of package invocation that storageError does not wrap.
var unwrappedErrors = []error{
	invocation.ErrNotFound,
	invocation.ErrExpired,
	invocation.ErrKeyReused,
	invocation.ErrStoreFull,
	invocation.ErrQuotaExceeded,
	invocation.ErrCompleted,
	invocation.ErrNotDeadLetter,
	invocation.ErrNotConfirmed,
	invocation.ErrSuperseded,
	invocation.ErrInvalidTransition,
}

// storageError wraps an error in invocation.ErrStorage, unless it is one of unwrappedErrors or nil.
func storageError(err error) error {
	if err == nil {
		return nil
	}
	for _, unwrapped := range unwrappedErrors {
		if errors.Is(err, unwrapped) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", invocation.ErrStorage, err)
}
