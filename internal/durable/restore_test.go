package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// newSnapshot returns the path of a snapshot with a number of pairs in bucket 1.
func newSnapshot(t *testing.T, pairs int) string {
	t.Helper()
	source := open(t, storePath(t), Options{})
	require.NoError(t, source.Update(func(tx *Tx) error {
		for i := range pairs {
			tx.Put(1, fmt.Append(nil, "old ", i), []byte("value"))
		}
		return nil
	}))
	snapshot := filepath.Join(t.TempDir(), "copy.db")
	require.NoError(t, source.Snapshot(snapshot))
	return snapshot
}

// Guards against a restore that takes the place of a store in use (review case 8): a store is opened at the path while the restore
// copies the snapshot. Either the restore fails, or the store that was opened is the restored one; nothing that it took is lost.
func TestRestoreDoesNotReplaceAStoreThatWasBegunMeanwhile(t *testing.T) {
	const pairs, plays, changes = 2000, 40, 256
	options := Options{SegmentBytes: 64 << 10, CheckpointBytes: 4 << 10, CheckpointInterval: time.Millisecond} // logs are soon removed
	snapshot := newSnapshot(t, pairs)
	results := map[string]int{}
	for play := range plays {
		path := storePath(t)
		restored := make(chan error, 1)
		go func() { restored <- Restore(snapshot, path, testFormat) }()
		time.Sleep(time.Duration(play) * 100 * time.Microsecond)
		db, err := Open(path, testFormat, testBuckets, options)
		require.NoError(t, err, "play %d", play)
		require.NoError(t, put(db, 1, "new", []byte("value")))
		restoreErr := <-restored
		for i := range changes {
			require.NoError(t, put(db, 1, fmt.Sprint("new ", i), make([]byte, 1<<10)))
		}
		require.NoError(t, db.Close())
		db, err = Open(path, testFormat, testBuckets, Options{VerifyOnOpen: true})
		require.NoError(t, err, "play %d", play)
		held := readAll(t, db, 1)
		require.NoError(t, db.Close())
		want := 1 + changes
		if restoreErr == nil {
			want += pairs
		}
		require.Len(t, held, want, "play %d: the restore returned %v", play, restoreErr)
		results[fmt.Sprint(restoreErr == nil)]++
		leftovers, err := filepath.Glob(path + ".*.tmp")
		require.NoError(t, err)
		assert.Empty(t, leftovers)
	}
	t.Logf("restored or not: %v", results)
}

// A store that comes into being after the copy of the snapshot, in use or left alone, is not replaced, and the same goes for its log.
func TestPublishStoreReplacesNothing(t *testing.T) {
	for name, create := range map[string]func(t *testing.T, path string){
		"store in use": func(t *testing.T, path string) {
			require.NoError(t, put(open(t, path, Options{}), 1, "key", []byte("value")))
		},
		"file": func(t *testing.T, path string) { require.NoError(t, os.WriteFile(path, nil, fileMode)) },
		"log":  func(t *testing.T, path string) { require.NoError(t, os.Mkdir(LogDir(path), logDirMode)) },
	} {
		t.Run(name, func(t *testing.T) {
			path := storePath(t)
			temporary := newSnapshot(t, 1)
			create(t, path)
			before, _ := os.Stat(path)
			require.Error(t, publishStore(temporary, path))
			after, _ := os.Stat(path)
			assert.True(t, before == nil && after == nil || os.SameFile(before, after))
		})
	}
	temporary := newSnapshot(t, 1)
	path := filepath.Join(filepath.Dir(temporary), "x.db")
	require.NoError(t, os.WriteFile(path, nil, fileMode))
	err := renameDurably(temporary, path, unix.RENAME_NOREPLACE)
	assert.True(t, errors.Is(err, os.ErrExist), "%v", err)
}
