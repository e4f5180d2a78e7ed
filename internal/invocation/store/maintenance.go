package store

import (
	"errors"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// Snapshot writes a copy of the store to a new file. The store can be used meanwhile.
func (s *Store) Snapshot(to string) error { return storageError(s.db.Snapshot(to)) }

// Restore creates a store at path from a snapshot. No store may exist there.
func Restore(snapshot, path string) error {
	return storageError(durable.Restore(snapshot, path, format))
}

// Compact rewrites the file without the space of deleted records. The store can be used meanwhile. Compact returns the
// file's size before and after, in bytes.
func (s *Store) Compact() (before, after int64, err error) {
	before, after, err = s.db.Compact()
	return before, after, storageError(err)
}

// InconsistencyError reports an invocation that Verify cannot read or that disagrees with an index.
type InconsistencyError struct{ ID, Problem string }

// Error returns the ID and the problem. It calls the invocation a ticket, as operators do.
func (e *InconsistencyError) Error() string { return "ticket " + e.ID + ": " + e.Problem }

// Verify reads the whole store and checks the invocations against the indexes of incomplete ones and dead letters. It
// returns the number of invocations that can be read. The error joins an InconsistencyError for each problem.
func (s *Store) Verify() (readable int, err error) {
	if err := s.db.Verify(); err != nil {
		return 0, storageError(err)
	}
	err = s.db.View(func(tx *durable.Tx) error {
		var invocationErr error
		readable, invocationErr = verifyInvocations(tx)
		return errors.Join(invocationErr, verifyIncomplete(tx))
	})
	return readable, storageError(err)
}

// verifyInvocations checks that each invocation can be read and is in exactly those indexes that its state calls for.
func verifyInvocations(tx *durable.Tx) (readable int, err error) {
	tx.Scan(invocationsBucket, nil, func(key, value []byte) bool {
		inv, decodeErr := decode(value)
		if decodeErr != nil || inv.ID != string(key) {
			err = errors.Join(err, &InconsistencyError{ID: string(key), Problem: "its record cannot be read"})
			return true
		}
		readable++
		if !indexesAgree(tx, inv) {
			err = errors.Join(err, &InconsistencyError{ID: inv.ID, Problem: "its record disagrees with an index"})
		}
		return true
	})
	return readable, err
}

// indexesAgree reports whether an invocation is in incompleteBucket exactly if it is incomplete, and in deadLettersBucket
// exactly if it is a dead letter.
func indexesAgree(tx *durable.Tx, inv *invocation.Invocation) bool {
	listedIncomplete := tx.Get(incompleteBucket, incompleteKey(inv)) != nil
	listedDead := tx.Get(deadLettersBucket, timeKey(inv.CompletedAt, inv.ID)) != nil
	isIncomplete := inv.State != invocation.StateCompleted
	return listedIncomplete == isIncomplete && listedDead == inv.DeadLetter
}

// verifyIncomplete checks that each invocation in incompleteBucket can be read.
func verifyIncomplete(tx *durable.Tx) (err error) {
	tx.Scan(incompleteBucket, nil, func(key, _ []byte) bool {
		id := idOfIncompleteKey(key)
		if _, loadErr := load(tx, id); loadErr != nil {
			err = errors.Join(err, &InconsistencyError{ID: id, Problem: "it is listed as open, but its record cannot be read"})
		}
		return true
	})
	return err
}
