package store

import (
	"errors"
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// stateNew is passed as the previous state of an invocation that was not stored before.
const stateNew invocation.State = 0

// Apply applies an input to an invocation, stores the new state and the result if the effects include EffectPersist,
// and returns the invocation after the change. On an error nothing has changed in the store. With an error of
// invocation.Step, such as ErrCompleted, the returned invocation is unchanged; with ErrStorage it is nil.
func (s *Store) Apply(
	id string, input invocation.Input, result []byte, now time.Time,
) (inv *invocation.Invocation, effects invocation.Effects, err error) {
	err = s.update(func(tx *durable.Tx) error {
		inv, effects, err = s.apply(tx, id, input, result, now)
		return err
	})
	err = storageError(err)
	if errors.Is(err, invocation.ErrStorage) { // inv may hold a change that was not stored
		return nil, 0, err
	}
	return inv, effects, err
}

func (s *Store) apply(
	tx *durable.Tx, id string, input invocation.Input, result []byte, now time.Time,
) (*invocation.Invocation, invocation.Effects, error) {
	inv, err := s.loadCached(tx, id)
	if err != nil {
		return nil, 0, err
	}
	previous := *inv
	_, effects, err := invocation.Step(inv, input, now)
	if err != nil {
		return inv, 0, err
	}
	switch {
	case effects.Has(invocation.EffectDelete):
		s.delete(tx, inv, now)
		return inv, effects, nil
	case effects.Has(invocation.EffectPersist):
		if len(result) > 0 {
			tx.Put(resultsBucket, []byte(id), result)
		}
		if inv.Bytes != previous.Bytes {
			addUsage(tx, inv.Tenant, 0, inv.Bytes-previous.Bytes)
		}
		s.put(tx, inv, previous.State)
	case inv.State == invocation.StateSubmitted:
		tx.Put(submittedBucket, []byte(id), encodeTime(now))
	}
	s.cache.put(inv)
	return inv, effects, nil
}

// put stores an invocation and updates the indexes. previous is its state before the change, or stateNew.
func (s *Store) put(tx *durable.Tx, inv *invocation.Invocation, previous invocation.State) {
	id := []byte(inv.ID)
	if previous == invocation.StateSubmitted {
		tx.Delete(submittedBucket, id)
	}
	tx.Put(invocationsBucket, id, encode(new(inv.Persisted())))
	isCompleted := inv.State == invocation.StateCompleted
	if !isCompleted && previous == stateNew {
		tx.Put(incompleteBucket, incompleteKey(inv), nil)
	}
	if isCompleted && previous != invocation.StateCompleted {
		tx.Delete(incompleteBucket, incompleteKey(inv))
		if inv.DeadLetter {
			tx.Put(deadLettersBucket, timeKey(inv.CompletedAt, inv.ID), nil)
		}
		tx.Put(retentionBucket, s.retentionKey(inv), nil)
	}
}

// retentionKey returns the key of a completed invocation in retentionBucket, which begins with the end of its retention.
func (s *Store) retentionKey(inv *invocation.Invocation) []byte {
	retention := s.options.Retention
	if inv.DeadLetter {
		retention = s.options.DeadLetterRetention
	}
	return timeKey(inv.CompletedAt.Add(retention), inv.ID)
}

// delete deletes an invocation. A record that it existed is kept until Options.Retention after now.
func (s *Store) delete(tx *durable.Tx, inv *invocation.Invocation, now time.Time) {
	id := []byte(inv.ID)
	if inv.DeadLetter {
		tx.Delete(deadLettersBucket, timeKey(inv.CompletedAt, inv.ID))
	}
	tx.Delete(retentionBucket, s.retentionKey(inv))
	if holdsKey(tx, inv) {
		tx.Delete(keysBucket, idempotencyKey(&inv.Request))
	}
	s.cache.remove(inv.ID)
	tx.Delete(invocationsBucket, id)
	tx.Delete(bodiesBucket, id)
	tx.Delete(resultsBucket, id)
	addUsage(tx, inv.Tenant, -1, -inv.Bytes)

	until := now.Add(s.options.Retention)
	tx.Put(expiredBucket, id, encodeExpired(until, inv.Tenant))
	tx.Put(expiredUntilBucket, timeKey(until, inv.ID), nil)
}

// holdsKey reports whether an invocation has an Idempotency-Key that no later invocation has taken over.
func holdsKey(tx *durable.Tx, inv *invocation.Invocation) bool {
	if inv.IdempotencyKey == "" {
		return false
	}
	return string(tx.Get(keysBucket, idempotencyKey(&inv.Request))) == inv.ID
}
