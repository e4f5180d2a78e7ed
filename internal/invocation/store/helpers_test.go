package store

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/invocation"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// Inputs that the tests apply to invocations.
var (
	submit = invocation.Input{Event: invocation.EventSubmit}
	start  = invocation.Input{Event: invocation.EventStart}
	served = invocation.Input{Event: invocation.EventServed}
	failed = invocation.Input{Event: invocation.EventFailed}
	reject = invocation.Input{Event: invocation.EventRejected, RetryAfter: 2 * time.Second}
	cancel = invocation.Input{Event: invocation.EventCancel}
	expire = invocation.Input{Event: invocation.EventExpire}
)

// openNew opens a new store and returns it with its path. Unless the options say otherwise, the retention is one hour and
// the number of invocations is not limited.
func openNew(t testing.TB, options Options) (*Store, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tickets.db")
	if options.MaxInvocations == 0 {
		options.MaxInvocations = noLimit
	}
	if options.Retention == 0 {
		options.Retention = time.Hour
	}
	s, err := Open(path, options)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	return s, path
}

// newRequest returns a deferred, non-idempotent request with an Idempotency-Key; empty: without one.
func newRequest(key string) invocation.Request {
	return invocation.Request{
		Tenant:         "a",
		IdempotencyKey: key,
		Fingerprint:    []byte{1},
		Function:       "book",
		Class:          "reserva",
		Deferred:       true,
		Expires:        noon.Add(time.Hour),
		Body:           []byte("slot"),
	}
}

// create stores a new invocation at noon.
func create(t testing.TB, s *Store, id string, request invocation.Request) {
	t.Helper()
	existing, err := s.Create(invocation.New(id, request, noon), nil, noon)
	require.NoError(t, err)
	require.Nil(t, existing)
}

// apply applies inputs in order, each one second after noon.
func apply(t testing.TB, s *Store, id string, inputs ...invocation.Input) {
	t.Helper()
	for _, input := range inputs {
		_, _, err := s.Apply(id, input, nil, noon.Add(time.Second))
		require.NoError(t, err, "%s, %v", id, input.Event)
	}
}

// incompleteStates returns the states of the incomplete invocations by ID.
func incompleteStates(t *testing.T, s *Store) map[string]invocation.State {
	t.Helper()
	states := map[string]invocation.State{}
	require.NoError(t, s.ForEachIncomplete(func(inv *invocation.Invocation) error {
		states[inv.ID] = inv.State
		return nil
	}))
	return states
}
