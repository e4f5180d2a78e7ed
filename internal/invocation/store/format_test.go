package store

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// storedRecord is an invocation as listed in testdata/format2.json. The field names are the names in that file; a comment
// gives the present name where it differs.
type storedRecord struct {
	ID          string
	Tenant      string
	Key         string // Idempotency-Key
	KeyHolder   string // ID of the invocation that holds the key
	Fingerprint []byte
	Function    string
	Class       string
	Safe        bool // Idempotent
	Deferred    bool
	Urgency     int
	NotBefore   time.Time
	Expires     time.Time
	Patience    int64 // RunTimeout, in nanoseconds
	Body        string

	Created    time.Time
	State      string
	Due        time.Time // NextRunAt
	Runs       int
	Bytes      int64
	Outcome    string
	Ended      time.Time // CompletedAt
	MayHaveRun bool
	RetryAt    time.Time
	Dead       bool   // DeadLetter
	Origin     string // RedriveOf
	Heir       string // RedrivenAs
	Result     string
	History    []invocation.HistoryEntry
}

// openEarlierStore opens a copy of the store in testdata/format2, which an earlier version of the program wrote.
func openEarlierStore(t *testing.T) *Store {
	t.Helper()
	directory := t.TempDir()
	require.NoError(t, os.CopyFS(directory, os.DirFS("testdata/format2")))
	s, err := Open(filepath.Join(directory, "tickets.db"), Options{Retention: time.Hour, MaxInvocations: 100})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, s.Close()) })
	return s
}

// readRecord reads everything that the store holds for an invocation.
func readRecord(t *testing.T, s *Store, inv *invocation.Invocation) storedRecord {
	t.Helper()
	body, err := s.Body(inv.ID)
	require.NoError(t, err)
	result, err := s.Result(inv.ID)
	require.NoError(t, err)
	holder, err := s.FindByKey(&inv.Request, noon)
	require.NoError(t, err)
	record := storedRecord{
		ID:          inv.ID,
		Tenant:      inv.Tenant,
		Key:         inv.IdempotencyKey,
		Function:    inv.Function,
		Class:       inv.Class,
		State:       inv.State.String(),
		Outcome:     inv.Outcome.String(),
		Origin:      inv.RedriveOf,
		Heir:        inv.RedrivenAs,
		Body:        string(body),
		Result:      string(result),
		Fingerprint: inv.Fingerprint,
		Safe:        inv.Idempotent,
		Deferred:    inv.Deferred,
		MayHaveRun:  inv.MayHaveRun,
		Dead:        inv.DeadLetter,
		Urgency:     int(inv.Urgency),
		Runs:        inv.Runs,
		Bytes:       inv.Bytes,
		Patience:    int64(inv.RunTimeout),
		NotBefore:   inv.NotBefore.UTC(),
		Expires:     inv.Expires.UTC(),
		Created:     inv.CreatedAt.UTC(),
		Due:         inv.NextRunAt.UTC(),
		Ended:       inv.CompletedAt.UTC(),
		RetryAt:     inv.RetryAt.UTC(),
		History:     inv.History,
	}
	if holder != nil {
		record.KeyHolder = holder.ID
	}
	for i := range record.History {
		record.History[i].At = record.History[i].At.UTC()
	}
	return record
}

// Guards the stored format against changes of names in the code: a store that an earlier version wrote opens, and every
// field of every invocation has the same value.
func TestEarlierStoreReadsTheSame(t *testing.T) {
	s := openEarlierStore(t)
	data, err := os.ReadFile("testdata/format2.json")
	require.NoError(t, err)
	expected := []storedRecord{}
	require.NoError(t, json.Unmarshal(data, &expected))
	require.Len(t, expected, 13)
	invocations, err := s.List(Filter{})
	require.NoError(t, err)
	require.Len(t, invocations, len(expected))
	for i, inv := range invocations {
		assert.Equal(t, expected[i], readRecord(t, s, inv), inv.ID)
	}
}

// The stored numbers of states, outcomes and events must keep their meaning.
func TestEarlierStoreStatesAndOutcomes(t *testing.T) {
	s := openEarlierStore(t)
	expected := map[string]struct {
		state      invocation.State
		outcome    invocation.Outcome
		deadLetter bool
	}{
		"waiting":     {invocation.StateWaiting, invocation.OutcomeNone, false},
		"submitted":   {invocation.StateWaiting, invocation.OutcomeNone, false},
		"running":     {invocation.StateRunning, invocation.OutcomeNone, false},
		"retried":     {invocation.StateWaiting, invocation.OutcomeNone, false},
		"successor":   {invocation.StateWaiting, invocation.OutcomeNone, false},
		"synchronous": {invocation.StateRunning, invocation.OutcomeNone, false},
		"served":      {invocation.StateCompleted, invocation.OutcomeServed, false},
		"logged":      {invocation.StateCompleted, invocation.OutcomeServed, false},
		"rejected":    {invocation.StateCompleted, invocation.OutcomeRejected, true},
		"failed":      {invocation.StateCompleted, invocation.OutcomeFailed, true},
		"redriven":    {invocation.StateCompleted, invocation.OutcomeFailed, true},
		"late":        {invocation.StateCompleted, invocation.OutcomeDeadlineExceeded, true},
		"cancelled":   {invocation.StateCompleted, invocation.OutcomeCancelled, false},
	}
	for id, want := range expected {
		inv, err := s.Get(id)
		require.NoError(t, err, id)
		assert.Equal(t, want.state, inv.State, id)
		assert.Equal(t, want.outcome, inv.Outcome, id)
		assert.Equal(t, want.deadLetter, inv.DeadLetter, id)
	}
	served, err := s.Get("served")
	require.NoError(t, err)
	events := []invocation.Event{}
	for _, entry := range served.History {
		events = append(events, entry.Event)
	}
	assert.Equal(t, []invocation.Event{invocation.EventCreated, invocation.EventSubmit, invocation.EventStart,
		invocation.EventServed}, events)
}

// The names of the buckets and the keys of the indexes must not change.
func TestEarlierStoreIndexes(t *testing.T) {
	s := openEarlierStore(t)
	count, err := s.Verify()
	require.NoError(t, err)
	assert.Equal(t, 13, count)
	deadLetters, err := s.List(Filter{DeadLetters: true})
	require.NoError(t, err)
	assert.Len(t, deadLetters, 4)
	incomplete := []string{}
	require.NoError(t, s.ForEachIncomplete(func(inv *invocation.Invocation) error {
		incomplete = append(incomplete, inv.ID)
		return nil
	}))
	assert.Equal(t, []string{"retried", "running", "submitted", "successor", "waiting", "synchronous"}, incomplete)
	usage, err := s.Usage(allTenants)
	require.NoError(t, err)
	assert.Equal(t, Usage{Invocations: 13, Bytes: 13*4 + int64(len("booked")+len("booked late"))}, usage)
	purged, err := s.Get("purged")
	assert.ErrorIs(t, err, invocation.ErrExpired)
	assert.Equal(t, "a", purged.Tenant)
	latest, err := s.AdvanceClock(noon)
	require.NoError(t, err)
	assert.True(t, latest.Equal(noon.Add(20*time.Minute)), latest)
}

// An invocation must be encoded to the same bytes that the earlier version wrote.
func TestEarlierStoreEncoding(t *testing.T) {
	s := openEarlierStore(t)
	read := 0
	var errs error
	require.NoError(t, s.db.View(func(tx *durable.Tx) error {
		tx.Scan(invocationsBucket, nil, func(_, value []byte) bool {
			inv, err := decode(value)
			errs = errors.Join(errs, err)
			assert.Equal(t, value, encode(inv), "the encoding has changed")
			read++
			return true
		})
		return errs
	}))
	assert.Equal(t, 13, read)
}

// A store that the earlier version wrote can be changed: expired invocations are deleted.
func TestEarlierStoreTakesChanges(t *testing.T) {
	s := openEarlierStore(t)
	require.NoError(t, s.DeleteExpired(noon.Add(24*time.Hour)))
	count, err := s.Verify()
	require.NoError(t, err)
	assert.Equal(t, 6, count, "only the incomplete invocations are left")
	_, err = s.Get("served")
	assert.ErrorIs(t, err, invocation.ErrExpired)
}
