package store

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// writeV1Store writes a store in the first format, with three invocations and the record of an expired one.
func writeV1Store(t *testing.T, path string) {
	t.Helper()
	const common = `"Tenant":"a","Name":"book","Body":"c2xvdA==",` +
		`"Deadline":"2026-03-02T13:00:00Z","Created":"2026-03-02T12:00:00Z"`
	documents := map[string]string{
		"open": `{"ID":"open","Key":"open",` + common + `}`,
		"ran":  `{"ID":"ran","Key":"ran","MayRun":true,` + common + `}`,
		"done": `{"ID":"done","Key":"done","End":"served","Ended":"2026-03-02T12:00:01Z","Result":"b2s=",` + common + `}`,
	}
	db, err := bolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(func(tx *bolt.Tx) error {
		created := map[string]*bolt.Bucket{}
		for _, name := range []string{"tickets", "keys", "ends", "expired"} {
			created[name], err = tx.CreateBucket([]byte(name))
			require.NoError(t, err)
		}
		for id, document := range documents {
			require.True(t, json.Valid([]byte(document)), document)
			require.NoError(t, created["tickets"].Put([]byte(id), []byte(document)))
			require.NoError(t, created["keys"].Put([]byte("a\x00"+id), []byte(id)))
		}
		return created["expired"].Put([]byte("old"), encodeExpired(noon.Add(time.Hour), "a"))
	}))
	require.NoError(t, db.Close())
}

// A file in the first format is migrated: an incomplete invocation is waiting, one that may have run is running (so that
// recovery does not run it again), and a completed one keeps its result. The old file is kept beside the new one.
func TestMigrationFromV1(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tickets.db")
	writeV1Store(t, path)
	original, err := os.ReadFile(path)
	require.NoError(t, err)
	for range 2 { // the second Open has nothing to migrate
		requireMigrated(t, path)
	}
	kept, err := os.ReadFile(path + ".v1")
	require.NoError(t, err)
	assert.Equal(t, original, kept)

	// The state after an interruption between the two renames of the migration.
	require.NoError(t, os.Rename(path, path+".v2"))
	require.NoError(t, os.RemoveAll(durable.LogDir(path)))
	s, err := Open(path, Options{})
	require.NoError(t, err)
	defer s.Close()
	usage, err := s.Usage("a")
	require.NoError(t, err)
	assert.Equal(t, int64(3), usage.Invocations)
}

// requireMigrated opens the store and checks the migrated invocations.
func requireMigrated(t *testing.T, path string) {
	t.Helper()
	s, err := Open(path, Options{Retention: time.Hour})
	require.NoError(t, err)
	expected := map[string]invocation.State{"open": invocation.StateWaiting, "ran": invocation.StateRunning}
	assert.Equal(t, expected, incompleteStates(t, s))
	done, err := s.FindByKey(&invocation.Request{Tenant: "a", IdempotencyKey: "done"}, noon)
	require.NoError(t, err)
	assert.Equal(t, invocation.OutcomeServed, done.Outcome)
	result, err := s.Result("done")
	require.NoError(t, err)
	assert.Equal(t, "ok", string(result))
	_, err = s.Get("old")
	assert.ErrorIs(t, err, invocation.ErrExpired)
	_, err = s.Verify()
	assert.NoError(t, err)
	require.NoError(t, s.Close())
}

// If the original cannot be moved to its backup path, the migration must fail and leave it in place: the second rename
// would overwrite it.
func TestMigrationDoesNotOverwriteTheOriginal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tickets.db")
	writeV1Store(t, path)
	original, err := os.ReadFile(path)
	require.NoError(t, err)
	m := &migration{
		path:         path,
		original:     filepath.Join(path+".missing", "tickets.db.v1"), // in a directory that does not exist
		converted:    path + ".v2",
		temporary:    path + ".migrating",
		lockDeadline: time.Now().Add(time.Second),
	}
	require.ErrorIs(t, m.run(), os.ErrNotExist)
	kept, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, original, kept)
}
