package durable

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/wal"
)

func TestOpenRejectsStoresThatAreLockedOrDoNotMatch(t *testing.T) {
	path := storePath(t)
	db := open(t, path, Options{SegmentBytes: 8 << 10})
	writeNumbers(t, db)
	_, err := Open(path, testFormat, nil, Options{LockDeadline: time.Now().Add(50 * time.Millisecond)})
	assert.ErrorIs(t, err, ErrLocked)
	require.NoError(t, db.Snapshot(path+".copy")) // includes a checkpoint, after which Open requires the log
	require.NoError(t, db.Close())
	_, err = Open(path, "test 2", testBuckets, Options{})
	assert.ErrorIs(t, err, ErrFormat)
	segments, err := wal.Segments(LogDir(path))
	require.NoError(t, err)
	require.NoError(t, os.Rename(LogDir(path), LogDir(path)+".away"))
	_, err = Open(path, testFormat, testBuckets, Options{})
	assert.ErrorIs(t, err, ErrDamaged, "the log of %d segments was moved away", len(segments))
}

// Open returns an error for damaged files and does not change them.
func TestOpenRejectsDamagedFilesWithoutChangingThem(t *testing.T) {
	path := storePath(t)
	db := open(t, path, Options{SegmentBytes: 8 << 10})
	writeNumbers(t, db)
	require.NoError(t, db.Snapshot(path+".copy"))
	intact, err := os.ReadFile(path + ".copy")
	require.NoError(t, err)
	for _, size := range []int{0, 100, 4096, len(intact) / 2, len(intact) - 4096} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			assertRejected(t, bytes.Clone(intact[:size]))
		})
	}
	t.Run("only zeros", func(t *testing.T) {
		assertRejected(t, make([]byte, len(intact)))
	})
	t.Run("a flipped bit in a key", func(t *testing.T) {
		flipped := bytes.Clone(intact)
		for i := range flipped { // several pages may contain the key, but only one of them is in use
			if bytes.HasPrefix(flipped[i:], []byte("299")) {
				flipped[i+2] ^= 1
			}
		}
		assertRejected(t, flipped)
	})
}

// writeNumbers puts the keys 000 to 299.
func writeNumbers(t *testing.T, db *DB) {
	t.Helper()
	for i := range 300 {
		require.NoError(t, put(db, 0, fmt.Sprintf("%03d", i), make([]byte, 200)))
	}
}

// assertRejected checks that Open returns an error for a file with this content and does not change the file.
func assertRejected(t *testing.T, content []byte) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "broken.db")
	require.NoError(t, os.WriteFile(path, content, 0o600))
	_, err := Open(path, testFormat, testBuckets, Options{VerifyOnOpen: true, ReadOnly: true})
	assert.Error(t, err)
	_, err = Open(path, testFormat, testBuckets, Options{VerifyOnOpen: true})
	assert.Error(t, err)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, content, after)
}
