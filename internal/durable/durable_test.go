package durable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/wal"
)

const testFormat = "test 1"

var testBuckets = []string{"a", "b"}

func storePath(t testing.TB) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "x.db")
}

func open(t testing.TB, path string, o Options) *DB {
	t.Helper()
	db, err := Open(path, testFormat, testBuckets, o)
	require.NoError(t, err)
	t.Cleanup(func() { db.Close() })
	return db
}

func put(db *DB, bucket int, key string, value []byte) error {
	return db.Update(func(tx *Tx) error {
		tx.Put(bucket, []byte(key), value)
		return nil
	})
}

func remove(db *DB, bucket int, key string) error {
	return db.Update(func(tx *Tx) error {
		tx.Delete(bucket, []byte(key))
		return nil
	})
}

// readAll returns the pairs of a bucket. It fails the test if they are not in the order of their keys.
func readAll(t *testing.T, db *DB, bucket int) map[string]string {
	t.Helper()
	pairs := map[string]string{}
	last := ""
	require.NoError(t, db.View(func(tx *Tx) error {
		tx.Scan(bucket, nil, func(key, value []byte) bool {
			require.Greater(t, string(key), last)
			last = string(key)
			pairs[last] = string(value)
			return true
		})
		return nil
	}))
	return pairs
}

// After random changes, with checkpoints, restarts, compactions and snapshots between them, the store holds the same pairs
// as a map with the same changes.
func TestRandomChangesMatchAMap(t *testing.T) {
	path := storePath(t)
	options := Options{SegmentBytes: 64 << 10, CheckpointBytes: 2 << 10, CheckpointInterval: time.Millisecond}
	db := open(t, path, options)
	want := map[string]string{}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		key := fmt.Sprintf("key %d", random.IntN(400))
		value := fmt.Sprintf("value %d", i)
		if random.IntN(3) == 0 {
			require.NoError(t, remove(db, 1, key))
			delete(want, key)
		} else {
			require.NoError(t, put(db, 1, key, []byte(value)))
			want[key] = value
		}
		require.Error(t, db.Update(func(tx *Tx) error { // the writes of a failed update must not be kept
			tx.Put(1, []byte(key), []byte("wrong"))
			tx.Delete(1, []byte("key 1"))
			return errors.New("failed")
		}))
		switch random.IntN(300) {
		case 0:
			require.NoError(t, db.Close())
			db = open(t, path, options)
		case 1:
			_, _, err := db.Compact()
			require.NoError(t, err)
		case 2:
			requireSnapshotHas(t, db, want)
		}
		if i%100 == 0 {
			require.Equal(t, want, readAll(t, db, 1))
		}
	}
	require.Empty(t, readAll(t, db, 0))
	require.NoError(t, db.Verify())
}

// requireSnapshotHas fails the test unless a store restored from a snapshot of db has exactly these pairs in bucket 1.
func requireSnapshotHas(t *testing.T, db *DB, want map[string]string) {
	t.Helper()
	snapshot := filepath.Join(t.TempDir(), "copy.db")
	require.NoError(t, db.Snapshot(snapshot))
	require.Error(t, db.Snapshot(snapshot), "a snapshot must not overwrite a file")
	restored := filepath.Join(t.TempDir(), "back.db")
	require.NoError(t, Restore(snapshot, restored, testFormat))
	require.Equal(t, want, readAll(t, open(t, restored, Options{}), 1))
}

// Each of many concurrent updates sees all earlier ones, and updates for which Update has returned are still there after
// a restart.
func TestConcurrentUpdatesAreSerializedAndDurable(t *testing.T) {
	path := storePath(t)
	db := open(t, path, Options{CheckpointBytes: 4 << 10})
	counter := []byte("n")
	var updaters sync.WaitGroup
	for range 32 {
		updaters.Go(func() {
			for range 50 {
				assert.NoError(t, db.Update(func(tx *Tx) error {
					count := decodeUint64(tx.Get(0, counter))
					tx.Put(0, counter, encodeUint64(count+1))
					return nil
				}))
			}
		})
	}
	updaters.Wait()
	require.NoError(t, db.Close())
	assert.ErrorIs(t, db.Update(func(*Tx) error { return nil }), ErrClosed)
	db = open(t, path, Options{})
	require.NoError(t, db.View(func(tx *Tx) error {
		assert.Equal(t, uint64(32*50), decodeUint64(tx.Get(0, counter)))
		return nil
	}))
}

func TestMemoryBucketsAreEmptyAfterReopening(t *testing.T) {
	path := storePath(t)
	options := Options{MemoryBuckets: []string{"now"}}
	const memoryBucket = 2
	db := open(t, path, options)
	get := func(tx *Tx) string { return string(tx.Get(memoryBucket, []byte("k"))) }
	require.NoError(t, put(db, memoryBucket, "k", []byte("v")))
	require.NoError(t, db.Update(func(tx *Tx) error { assert.Equal(t, "v", get(tx)); return nil }))
	require.NoError(t, db.Close())
	db = open(t, path, options)
	require.NoError(t, db.View(func(tx *Tx) error { assert.Empty(t, get(tx)); return nil }))
}

// fullDisk is a disk on which no segment can be created while full is set.
type fullDisk struct {
	wal.OSFileSystem
	mu   sync.Mutex
	full bool
}

func (d *fullDisk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return nil, errors.New("no space left on device")
	}
	return d.OSFileSystem.Create(path)
}

func (d *fullDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// On a full disk, updates fail. After a restart the store holds the updates that succeeded and none that failed.
func TestFullDiskFailsUpdatesUntilThereIsRoom(t *testing.T) {
	path := storePath(t)
	disk := &fullDisk{}
	db := open(t, path, Options{FS: disk, SegmentBytes: 8 << 10})
	putNumber := func(i int) error { return put(db, 0, fmt.Sprintf("%04d", i), make([]byte, 500)) }
	disk.setFull(true)
	stored := map[int]bool{}
	failures := 0
	for i := range 60 {
		if putNumber(i) == nil {
			stored[i] = true
		} else {
			failures++
		}
	}
	assert.NotZero(t, failures)
	disk.setFull(false)
	for i := 60; i < 80; i++ {
		require.NoError(t, putNumber(i))
		stored[i] = true
	}
	require.NoError(t, db.Close())
	assert.Len(t, readAll(t, open(t, path, Options{}), 0), len(stored))
}

func BenchmarkGroupCommit(b *testing.B) {
	db := open(b, storePath(b), Options{})
	value := make([]byte, 400)
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := encodeUint64(rand.Uint64())
			if err := put(db, 0, string(key), value); err != nil {
				b.Error(err)
			}
		}
	})
}
