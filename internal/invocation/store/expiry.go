package store

import (
	"bytes"
	"errors"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// maxDeleteBatch is the maximum number of index keys that one change deletes, so that other changes, which the writer
// carries out one at a time, are not held up for long.
const maxDeleteBatch = 256

// DeleteExpired deletes the invocations whose retention has ended, and the records of deleted invocations that have been
// kept for long enough.
func (s *Store) DeleteExpired(now time.Time) error {
	for {
		deleted := 0
		err := s.update(func(tx *durable.Tx) (err error) {
			deleted, err = s.deleteExpiredBatch(tx, now)
			return err
		})
		if err != nil {
			return storageError(err)
		}
		if deleted < maxDeleteBatch {
			return nil
		}
	}
}

// deleteExpiredBatch deletes at most maxDeleteBatch due index keys, with the invocations and the records of deleted
// invocations that they refer to. It returns the number of index keys deleted.
func (s *Store) deleteExpiredBatch(tx *durable.Tx, now time.Time) (deleted int, err error) {
	batch := deleteBatch{tx: tx, cutoff: timeKey(now, "")}
	retentionErr := batch.deleteDue(retentionBucket, func(id string) error {
		_, _, err := s.apply(tx, id, invocation.Input{Event: invocation.EventDelete}, nil, now)
		alreadyDeleted := errors.Is(err, invocation.ErrNotFound) || errors.Is(err, invocation.ErrExpired)
		if alreadyDeleted {
			return nil
		}
		return err
	})
	expiredErr := batch.deleteDue(expiredUntilBucket, func(id string) error {
		tx.Delete(expiredBucket, []byte(id))
		return nil
	})
	return batch.size, errors.Join(retentionErr, expiredErr)
}

// deleteBatch deletes due keys from buckets whose keys begin with a time.
type deleteBatch struct {
	tx     *durable.Tx
	cutoff []byte // this key and later ones are not due
	size   int    // number of keys deleted so far, in all buckets
}

// deleteDue deletes the due keys of a bucket and calls deleteID with the ID in each key. It stops when the batch has
// maxDeleteBatch keys, or at the first error.
func (b *deleteBatch) deleteDue(bucket int, deleteID func(id string) error) (err error) {
	b.tx.Scan(bucket, nil, func(key, _ []byte) bool {
		if b.size == maxDeleteBatch || bytes.Compare(key, b.cutoff) >= 0 {
			return false
		}
		b.size++
		err = deleteID(idOfTimeKey(key))
		b.tx.Delete(bucket, key)
		return err == nil
	})
	return err
}
