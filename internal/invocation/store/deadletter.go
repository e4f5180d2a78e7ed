package store

import (
	"time"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// Redrive stores a new invocation with the request of a dead letter. The deadline of the new invocation is as long
// after now as the deadline of the dead letter was after its creation. If the dead letter may have run and is not
// idempotent, the operator must confirm that it did not run and give a reason; otherwise Redrive fails with
// ErrNotConfirmed. The dead letter keeps its outcome. Its Idempotency-Key passes to the new invocation, so that a late
// repeat by the client finds the new one. If another invocation holds the key already, Redrive fails with
// ErrSuperseded.
func (s *Store) Redrive(
	id, successorID string, confirmed bool, reason string, now time.Time,
) (successor *invocation.Invocation, err error) {
	input := invocation.Input{
		Event:     invocation.EventRedrive,
		Confirmed: confirmed,
		Note:      reason,
		Successor: successorID,
	}
	err = s.update(func(tx *durable.Tx) error {
		deadLetter, _, err := s.apply(tx, id, input, nil, now)
		if err != nil {
			return err
		}
		if deadLetter.IdempotencyKey != "" && !holdsKey(tx, deadLetter) {
			return invocation.ErrSuperseded // the function would run for both invocations
		}
		request := deadLetter.Request
		request.NotBefore = time.Time{}
		request.Expires = now.Add(deadLetter.Expires.Sub(deadLetter.CreatedAt))
		request.Body = tx.Get(bodiesBucket, []byte(id))
		successor = invocation.New(successorID, request, now)
		successor.RedriveOf = id
		return s.insert(tx, successor, nil)
	})
	return successor, storageError(err)
}

// Purge deletes dead letters that completed at least minAge before now: those with the given IDs, or all if ids is empty.
// A minAge of 0 selects all of them, even if the clock was ahead when they completed. Purge stops at the first error and
// returns the number deleted until then. The error is ErrNotDeadLetter for an invocation that is not a dead letter.
func (s *Store) Purge(ids []string, minAge time.Duration, now time.Time) (purged int, err error) {
	if len(ids) == 0 {
		deadLetters, err := s.List(Filter{DeadLetters: true})
		if err != nil {
			return 0, err
		}
		for _, deadLetter := range deadLetters {
			ids = append(ids, deadLetter.ID)
		}
	}
	for _, id := range ids {
		deleted, err := s.purge(id, minAge, now)
		if err != nil {
			return purged, err
		}
		if deleted {
			purged++
		}
	}
	return purged, nil
}

// purge deletes one dead letter if it is at least minAge old, and reports whether it deleted it.
func (s *Store) purge(id string, minAge time.Duration, now time.Time) (deleted bool, err error) {
	err = s.update(func(tx *durable.Tx) error {
		inv, err := load(tx, id)
		if err != nil {
			return err
		}
		if !inv.DeadLetter {
			return invocation.ErrNotDeadLetter
		}
		tooYoung := minAge > 0 && now.Sub(inv.CompletedAt) < minAge
		if tooYoung {
			return nil
		}
		_, _, err = s.apply(tx, id, invocation.Input{Event: invocation.EventDelete, Note: "purged"}, nil, now)
		deleted = err == nil
		return err
	})
	return deleted, storageError(err)
}
