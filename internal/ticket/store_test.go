package ticket_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/standin"
	"kitefall/internal/ticket"
)

// A refusal invites another try, which a device makes under the same key; until then it hears the refusal again.
func TestKeyIsFreeAgainOnceARefusalsTimeHasCome(t *testing.T) {
	s, err := ticket.OpenStore(filepath.Join(t.TempDir(), "tickets.db"), 2, time.Hour, standin.By())
	require.NoError(t, err)
	defer s.Close()
	now := time.Now()
	o := ticket.Order{Tenant: "a", Key: "k", Fingerprint: []byte{1}}
	_, _, err = s.Create("t1", o, 1, now)
	require.NoError(t, err)
	end := func(e ticket.End) func(*ticket.Ticket) {
		return func(k *ticket.Ticket) { k.End, k.Ended, k.RetryAt = e, now, now.Add(2*time.Second) }
	}
	_, err = s.Finish("t1", end(ticket.Refused))
	require.NoError(t, err)
	k, err := s.Finish("t1", end(ticket.Served))
	require.NoError(t, err)
	assert.Equal(t, ticket.Refused, k.End, "the first final answer wins")
	assert.Error(t, s.MarkMayRun("t1"), "what has ended does not run")
	k, found, err := s.Create("t2", o, 2, now.Add(time.Second))
	require.NoError(t, err)
	assert.Equal(t, []any{"t1", true}, []any{k.ID, found})
	k, found, err = s.Create("t2", o, 2, now.Add(3*time.Second))
	require.NoError(t, err)
	assert.Equal(t, []any{"t2", false}, []any{k.ID, found})
	_, _, err = s.Create("t3", ticket.Order{Tenant: "a"}, 3, now)
	assert.ErrorIs(t, err, ticket.ErrFull)
}
