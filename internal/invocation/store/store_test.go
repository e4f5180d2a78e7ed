package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/invocation"
	"kitefall/internal/monotonic"
)

// A client retries a rejected request with the same Idempotency-Key. Until RetryAt the key belongs to the rejected
// invocation; from then on a new invocation takes the key, or the retry would only find the old rejection.
func TestKeyIsFreeOnceRejectedClientMayRetry(t *testing.T) {
	s, _ := openNew(t, Options{MaxInvocations: 2})
	request := newRequest("k")
	create(t, s, "t1", request)
	apply(t, s, "t1", submit, reject)
	_, _, err := s.Apply("t1", served, nil, noon)
	assert.ErrorIs(t, err, invocation.ErrCompleted, "the first outcome is final")
	_, _, err = s.Apply("t1", start, nil, noon)
	assert.ErrorIs(t, err, invocation.ErrCompleted, "a completed invocation does not run")

	existing, err := s.Create(invocation.New("t2", request, noon), nil, noon.Add(time.Second))
	require.NoError(t, err)
	assert.Equal(t, "t1", existing.ID)
	other := request
	other.Fingerprint = []byte{2}
	_, err = s.FindByKey(&other, noon)
	assert.ErrorIs(t, err, invocation.ErrKeyReused)

	existing, err = s.Create(invocation.New("t2", request, noon), nil, noon.Add(4*time.Second))
	require.NoError(t, err)
	assert.Nil(t, existing)
	_, err = s.Create(invocation.New("t3", newRequest(""), noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrStoreFull)
}

// After a restart an invocation in each state is found in the state from which recovery must continue: a submitted one is
// waiting, a running one is still running. Bodies, usage and indexes survive.
func TestStatesAfterRestart(t *testing.T) {
	s, path := openNew(t, Options{})
	for _, id := range []string{"waiting", "submitted", "running", "completed"} {
		create(t, s, id, newRequest(""))
	}
	apply(t, s, "submitted", submit)
	apply(t, s, "running", submit, start)
	apply(t, s, "completed", cancel)
	require.NoError(t, s.Close())

	s, err := Open(path, Options{Retention: time.Hour})
	require.NoError(t, err)
	defer s.Close()
	expected := map[string]invocation.State{
		"waiting":   invocation.StateWaiting,
		"submitted": invocation.StateWaiting,
		"running":   invocation.StateRunning,
	}
	assert.Equal(t, expected, incompleteStates(t, s))
	body, err := s.Body("running")
	require.NoError(t, err)
	assert.Equal(t, "slot", string(body))
	usage, err := s.Usage("a")
	require.NoError(t, err)
	assert.Equal(t, Usage{Invocations: 4, Bytes: 16}, usage)
	count, err := s.Verify()
	require.NoError(t, err)
	assert.Equal(t, 4, count)
}

func TestQuotaLimitsOneTenantOnly(t *testing.T) {
	s, _ := openNew(t, Options{MaxPerTenant: 3, MaxBytesPerTenant: 10})
	create(t, s, "t1", newRequest(""))
	create(t, s, "t2", newRequest(""))
	_, err := s.Create(invocation.New("t3", newRequest(""), noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, "a third body makes 12 bytes, above the limit of 10")
	empty := newRequest("")
	empty.Body = nil
	create(t, s, "t3", empty)
	_, err = s.Create(invocation.New("t4", empty, noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, "a fourth invocation is above the limit of 3")
	empty.Tenant = "b"
	create(t, s, "t4", empty)

	apply(t, s, "t1", cancel)
	require.NoError(t, s.DeleteExpired(noon.Add(2*time.Hour)))
	create(t, s, "t5", newRequest(""))
}

// A completed invocation is kept for its retention, then only a record that it expired, for Retention, and then nothing.
// The 600 invocations make more than one batch.
func TestDeleteExpired(t *testing.T) {
	s, _ := openNew(t, Options{DeadLetterRetention: 3 * time.Hour})
	for i := range 600 {
		id := fmt.Sprintf("t%03d", i)
		create(t, s, id, newRequest(id))
		apply(t, s, id, cancel)
	}
	create(t, s, "incomplete", newRequest(""))
	create(t, s, "dead", newRequest("d"))
	apply(t, s, "dead", submit, start, failed)

	require.NoError(t, s.DeleteExpired(noon.Add(time.Hour)))
	inv, err := s.Get("t007")
	require.NoError(t, err)
	assert.Equal(t, invocation.OutcomeCancelled, inv.Outcome)

	require.NoError(t, s.DeleteExpired(noon.Add(2*time.Hour)))
	inv, err = s.Get("t007")
	assert.ErrorIs(t, err, invocation.ErrExpired)
	assert.Equal(t, "a", inv.Tenant)
	existing, err := s.FindByKey(new(newRequest("t007")), noon)
	require.NoError(t, err)
	assert.Nil(t, existing, "the key of a deleted invocation is free")
	_, err = s.Get("dead")
	require.NoError(t, err)

	require.NoError(t, s.DeleteExpired(noon.Add(4*time.Hour)))
	_, err = s.Get("t007")
	assert.ErrorIs(t, err, invocation.ErrNotFound)
	_, err = s.Get("dead")
	assert.ErrorIs(t, err, invocation.ErrExpired)
	_, err = s.Get("incomplete")
	assert.NoError(t, err)
	usage, err := s.Usage(allTenants)
	require.NoError(t, err)
	assert.Equal(t, Usage{Invocations: 1, Bytes: 4}, usage)
}

// The latest known time must not go back over a restart when the wall clock was set back in between.
func TestTimeDoesNotGoBack(t *testing.T) {
	s, path := openNew(t, Options{})
	_, err := s.AdvanceClock(noon)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	s, err = Open(path, Options{})
	require.NoError(t, err)
	defer s.Close()
	latest, err := s.AdvanceClock(noon.Add(-time.Hour))
	require.NoError(t, err)
	assert.True(t, latest.Equal(noon), latest)
}

// The wall clock is set between two runs of the program. Without a reboot the machine's uptime gives the time that has
// passed; after a reboot the wall clock does. The store's clock must never go back.
func TestClockGoesOnFromTheLastRun(t *testing.T) {
	s, _ := openNew(t, Options{})
	defer s.Close()
	start := func(wall time.Time, boot string, uptime time.Duration) time.Time {
		t.Helper()
		clock, err := s.StartClock(wall, monotonic.Uptime{BootID: boot, Elapsed: uptime})
		require.NoError(t, err)
		return clock.Now().UTC().Truncate(time.Minute)
	}
	assert.Equal(t, noon, start(noon, "first", time.Hour))
	assert.Equal(t, noon.Add(5*time.Minute), start(noon.Add(24*time.Hour), "first", time.Hour+5*time.Minute), "wall clock set forward")
	assert.Equal(t, noon.Add(9*time.Minute), start(noon.Add(-time.Hour), "first", time.Hour+9*time.Minute), "wall clock set back")
	assert.Equal(t, noon.Add(time.Hour), start(noon.Add(time.Hour), "second", time.Minute), "rebooted: the wall clock applies")
	assert.Equal(t, noon.Add(time.Hour), start(noon, "third", time.Minute), "rebooted, behind: time stays")
	assert.Equal(t, noon.Add(2*time.Hour), start(noon.Add(2*time.Hour), "", 0), "uptime unknown: the wall clock applies")
}
