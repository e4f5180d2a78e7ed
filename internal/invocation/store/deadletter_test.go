package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/invocation"
)

// operatorTime is the time at which the tests redrive and purge dead letters.
var operatorTime = noon.Add(3 * time.Hour)

// openWithDeadLetters opens a new store with three dead letters, which have failed, expired and been rejected, and with a
// cancelled invocation, which is not a dead letter.
func openWithDeadLetters(t *testing.T) *Store {
	t.Helper()
	s, _ := openNew(t, Options{})
	for _, id := range []string{"failed", "expired", "rejected", "cancelled"} {
		create(t, s, id, newRequest("key of "+id))
	}
	apply(t, s, "failed", submit, start, failed)
	apply(t, s, "rejected", submit, reject)
	apply(t, s, "cancelled", cancel)
	_, _, err := s.Apply("expired", expire, nil, noon.Add(2*time.Hour))
	require.NoError(t, err)
	deadLetters, err := s.List(Filter{DeadLetters: true, Tenant: "a"})
	require.NoError(t, err)
	assert.Len(t, deadLetters, 3)
	return s
}

func TestRedrive(t *testing.T) {
	t.Run("needs confirmation, a reason and a dead letter", func(t *testing.T) {
		s := openWithDeadLetters(t)
		_, err := s.Redrive("failed", "n1", false, "we think it is fine", operatorTime)
		assert.ErrorIs(t, err, invocation.ErrNotConfirmed)
		_, err = s.Redrive("failed", "n1", true, "", operatorTime)
		assert.ErrorIs(t, err, invocation.ErrNotConfirmed, "confirmed, but without a reason")
		_, err = s.Redrive("cancelled", "n1", true, "why not", operatorTime)
		assert.ErrorIs(t, err, invocation.ErrNotDeadLetter)
	})

	t.Run("creates a successor", func(t *testing.T) {
		s := openWithDeadLetters(t)
		successor, err := s.Redrive("failed", "n1", true, "the book of the day has no such slot", operatorTime)
		require.NoError(t, err)
		assert.Equal(t, "failed", successor.RedriveOf)
		assert.Equal(t, invocation.StateWaiting, successor.State)
		assert.Equal(t, operatorTime.Add(time.Hour), successor.Expires)
		assert.Equal(t, "slot", string(successor.Body))
		deadLetter, err := s.Get("failed")
		require.NoError(t, err)
		assert.Equal(t, invocation.OutcomeFailed, deadLetter.Outcome, "a redrive does not change the outcome of the dead letter")
		assert.Equal(t, "n1", deadLetter.RedrivenAs)
		existing, err := s.FindByKey(new(newRequest("key of failed")), operatorTime)
		require.NoError(t, err)
		assert.Equal(t, "n1", existing.ID, "a late repeat with the same key finds the successor")
		_, err = s.Redrive("failed", "n2", true, "once more", operatorTime)
		assert.ErrorIs(t, err, invocation.ErrNotDeadLetter)
	})

	t.Run("fails if the owner has retried", func(t *testing.T) {
		s := openWithDeadLetters(t)
		retry := invocation.New("n3", newRequest("key of rejected"), operatorTime)
		_, err := s.Create(retry, nil, operatorTime)
		require.NoError(t, err)
		_, err = s.Redrive("rejected", "n4", false, "", operatorTime)
		assert.ErrorIs(t, err, invocation.ErrSuperseded)
		deadLetter, err := s.Get("rejected")
		require.NoError(t, err)
		assert.Empty(t, deadLetter.RedrivenAs, "a failed redrive changes nothing")
	})
}

func TestPurge(t *testing.T) {
	s := openWithDeadLetters(t)
	_, err := s.Redrive("failed", "n1", true, "the book of the day has no such slot", operatorTime)
	require.NoError(t, err)
	purged, err := s.Purge(nil, 1000*time.Hour, operatorTime)
	require.NoError(t, err)
	assert.Zero(t, purged, "no dead letter is old enough")
	purged, err = s.Purge([]string{"expired"}, time.Nanosecond, operatorTime)
	require.NoError(t, err)
	assert.Equal(t, 1, purged)
	_, err = s.Purge([]string{"n1"}, 0, operatorTime)
	assert.ErrorIs(t, err, invocation.ErrNotDeadLetter)
	purged, err = s.Purge(nil, 0, operatorTime)
	require.NoError(t, err)
	assert.Equal(t, 2, purged)
	require.NoError(t, s.DeleteExpired(operatorTime.Add(48*time.Hour)))
	_, err = s.Verify()
	assert.NoError(t, err)
}
