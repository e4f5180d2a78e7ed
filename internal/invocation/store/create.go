package store

import (
	"bytes"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// FindByKey returns the invocation that holds the Idempotency-Key of a request, or nil if the key is free. The key of a
// rejected invocation is free again from its RetryAt, because the function did not run and a retry is safe. FindByKey
// fails with ErrKeyReused if the key was used for another request.
func (s *Store) FindByKey(request *invocation.Request, now time.Time) (existing *invocation.Invocation, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		existing, err = findByKey(tx, request, now)
		return err
	})
	return existing, storageError(err)
}

func findByKey(tx *durable.Tx, request *invocation.Request, now time.Time) (*invocation.Invocation, error) {
	if request.IdempotencyKey == "" {
		return nil, nil
	}
	id := tx.Get(keysBucket, idempotencyKey(request))
	if id == nil {
		return nil, nil
	}
	existing, err := load(tx, string(id))
	if err != nil {
		return nil, err
	}
	if existing.Outcome == invocation.OutcomeRejected && !now.Before(existing.RetryAt) {
		return nil, nil
	}
	if !bytes.Equal(existing.Fingerprint, request.Fingerprint) {
		return nil, invocation.ErrKeyReused
	}
	return existing, nil
}

// Create stores a new invocation in any state, together with its body and its result, if there is one. If another
// invocation holds its Idempotency-Key, Create returns the other invocation and stores nothing. It fails with
// ErrKeyReused, ErrStoreFull or ErrQuotaExceeded.
func (s *Store) Create(
	inv *invocation.Invocation, result []byte, now time.Time,
) (existing *invocation.Invocation, err error) {
	err = s.update(func(tx *durable.Tx) error {
		existing, err = findByKey(tx, &inv.Request, now)
		if existing != nil || err != nil {
			return err
		}
		return s.insert(tx, inv, result)
	})
	return existing, storageError(err)
}

// insert stores a new invocation with its body and result, and checks and updates the usage counts.
func (s *Store) insert(tx *durable.Tx, inv *invocation.Invocation, result []byte) error {
	if err := s.admit(tx, inv); err != nil {
		return err
	}
	if inv.IdempotencyKey != "" {
		tx.Put(keysBucket, idempotencyKey(&inv.Request), []byte(inv.ID))
	}
	if len(inv.Body) > 0 {
		tx.Put(bodiesBucket, []byte(inv.ID), inv.Body)
	}
	if len(result) > 0 {
		tx.Put(resultsBucket, []byte(inv.ID), result)
	}
	s.put(tx, inv, stateNew)
	if inv.State == invocation.StateSubmitted {
		tx.Put(submittedBucket, []byte(inv.ID), encodeTime(inv.CreatedAt)) // its one run was submitted at once
	}
	s.cache.put(inv)
	return nil
}
