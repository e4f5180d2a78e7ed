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

// A rejection invites a retry, which a client makes under the same key. Until its time has come the key still belongs
// to the rejected invocation.
func TestKeyIsFreeOnceRejectedClientMayRetry(t *testing.T) {
	s, _ := openNew(t, Options{MaxInvocations: 2})
	request := newRequest("k")
	create(t, s, "t1", request)
	apply(t, s, "t1", submit, reject)
	_, _, err := s.Apply("t1", served, nil, noon)
	assert.ErrorIs(t, err, invocation.ErrCompleted, "the first outcome wins")
	_, _, err = s.Apply("t1", start, nil, noon)
	assert.ErrorIs(t, err, invocation.ErrCompleted, "what has completed does not run")

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

// A restart finds an invocation in each state.
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
	assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, "12 bytes")
	empty := newRequest("")
	empty.Body = nil
	create(t, s, "t3", empty)
	_, err = s.Create(invocation.New("t4", empty, noon), nil, noon)
	assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, "4 invocations")
	empty.Tenant = "b"
	create(t, s, "t4", empty)

	apply(t, s, "t1", cancel)
	require.NoError(t, s.DeleteExpired(noon.Add(2*time.Hour)))
	create(t, s, "t5", newRequest(""))
}

// Kept, expired, unknown: a completed invocation is kept for a while, the fact that it existed for as long again.
func TestDeleteExpired(t *testing.T) {
	s, _ := openNew(t, Options{DeadRetention: 3 * time.Hour})
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
	assert.Nil(t, existing, "its key is free")
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

// The latest time known does not go back over a restart, although the machine's clock does.
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

// The wall clock is set between two runs. On one boot of the machine the uptime tells how much time has passed; after
// another boot the wall clock does, but time never goes back.
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
	assert.Equal(t, noon.Add(5*time.Minute), start(noon.Add(24*time.Hour), "first", time.Hour+5*time.Minute), "set forward")
	assert.Equal(t, noon.Add(9*time.Minute), start(noon.Add(-time.Hour), "first", time.Hour+9*time.Minute), "set back")
	assert.Equal(t, noon.Add(time.Hour), start(noon.Add(time.Hour), "second", time.Minute), "booted: the wall clock counts")
	assert.Equal(t, noon.Add(time.Hour), start(noon, "third", time.Minute), "booted, and behind: time stands")
	assert.Equal(t, noon.Add(2*time.Hour), start(noon.Add(2*time.Hour), "", 0), "no uptime")
}
