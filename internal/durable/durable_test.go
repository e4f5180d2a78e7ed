package durable

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

func open(t testing.TB, path string, o Options) *DB {
	db, err := Open(path, "test 1", []string{"a", "b"}, o)
	require.NoError(t, err)
	t.Cleanup(func() { db.Close() })
	return db
}

func all(t *testing.T, db *DB, bucket int) map[string]string {
	m, last := map[string]string{}, ""
	require.NoError(t, db.View(func(tx *Tx) error {
		tx.Scan(bucket, nil, func(k, v []byte) bool {
			require.Greater(t, string(k), last)
			m[string(k)], last = string(v), string(k)
			return true
		})
		return nil
	}))
	return m
}

// Random changes, with moves to the file, restarts, compactions and snapshots between them, beside a plain map.
func TestAgainstAMap(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	small := Options{SegmentBytes: 64 << 10, CheckpointBytes: 2 << 10, CheckpointInterval: time.Millisecond}
	db, want, r := open(t, path, small), map[string]string{}, rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		k, v := fmt.Sprintf("key %d", r.IntN(400)), fmt.Sprintf("value %d", i)
		if r.IntN(3) == 0 {
			require.NoError(t, db.Update(func(tx *Tx) error { tx.Delete(1, []byte(k)); return nil }))
			delete(want, k)
		} else {
			require.NoError(t, db.Update(func(tx *Tx) error { tx.Put(1, []byte(k), []byte(v)); return nil }))
			want[k] = v
		}
		require.Error(t, db.Update(func(tx *Tx) error { // what fails leaves nothing behind
			tx.Put(1, []byte(k), []byte("wrong"))
			tx.Delete(1, []byte("key 1"))
			return errors.New("no")
		}))
		switch r.IntN(300) {
		case 0:
			require.NoError(t, db.Close())
			db = open(t, path, small)
		case 1:
			_, _, err := db.Compact()
			require.NoError(t, err)
		case 2:
			copied := filepath.Join(t.TempDir(), "copy.db")
			require.NoError(t, db.Snapshot(copied))
			require.Error(t, db.Snapshot(copied), "nothing is overwritten")
			back := filepath.Join(t.TempDir(), "back.db")
			require.NoError(t, Restore(copied, back, "test 1"))
			require.Equal(t, want, all(t, open(t, back, Options{}), 1))
		}
		if i%100 == 0 {
			require.Equal(t, want, all(t, db, 1))
		}
	}
	require.Empty(t, all(t, db, 0))
	require.NoError(t, db.Verify())
}

// Many at once: each change sees those before it, and what Do has returned for is there after a restart.
func TestChangesAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	db := open(t, path, Options{CheckpointBytes: 4 << 10})
	var work sync.WaitGroup
	for range 32 {
		work.Go(func() {
			for range 50 {
				assert.NoError(t, db.Update(func(tx *Tx) error {
					tx.Put(0, []byte("n"), bytesOf(number(tx.Get(0, []byte("n")))+1))
					return nil
				}))
			}
		})
	}
	work.Wait()
	require.NoError(t, db.Close())
	assert.ErrorIs(t, db.Update(func(*Tx) error { return nil }), ErrClosed)
	db = open(t, path, Options{})
	require.NoError(t, db.View(func(tx *Tx) error {
		assert.Equal(t, uint64(32*50), number(tx.Get(0, []byte("n"))))
		return nil
	}))
}

func TestVolatileBucketsEndWithTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	db := open(t, path, Options{MemoryBuckets: []string{"now"}})
	get := func(tx *Tx) string { return string(tx.Get(2, []byte("k"))) }
	require.NoError(t, db.Update(func(tx *Tx) error { tx.Put(2, []byte("k"), []byte("v")); return nil }))
	require.NoError(t, db.Update(func(tx *Tx) error { assert.Equal(t, "v", get(tx)); return nil }))
	require.NoError(t, db.Close())
	db = open(t, path, Options{MemoryBuckets: []string{"now"}})
	require.NoError(t, db.View(func(tx *Tx) error { assert.Empty(t, get(tx)); return nil }))
}

// What does not check out is refused with a plain message, and left as it was.
func TestBrokenStoresAreRefusedAndLeftAlone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	db := open(t, path, Options{SegmentBytes: 8 << 10})
	for i := range 300 {
		require.NoError(t, db.Update(func(tx *Tx) error { tx.Put(0, fmt.Appendf(nil, "%03d", i), make([]byte, 200)); return nil }))
	}
	_, err := Open(path, "test 1", nil, Options{LockDeadline: time.Now().Add(50 * time.Millisecond)})
	assert.ErrorIs(t, err, ErrLocked)
	require.NoError(t, db.Snapshot(path+".copy"))
	require.NoError(t, db.Close())
	_, err = Open(path, "test 2", []string{"a", "b"}, Options{})
	assert.ErrorIs(t, err, ErrFormat)
	good, err := os.ReadFile(path + ".copy")
	require.NoError(t, err)
	try := func(what string, bad []byte) {
		broken := filepath.Join(t.TempDir(), "broken.db")
		require.NoError(t, os.WriteFile(broken, bad, 0o600))
		_, err := Open(broken, "test 1", []string{"a", "b"}, Options{VerifyOnOpen: true, ReadOnly: true})
		assert.Error(t, err, what)
		_, err = Open(broken, "test 1", []string{"a", "b"}, Options{VerifyOnOpen: true})
		assert.Error(t, err, what)
		after, err := os.ReadFile(broken)
		require.NoError(t, err)
		assert.Equal(t, bad, after, what)
	}
	for _, size := range []int{0, 100, 4096, len(good) / 2, len(good) - 4096} {
		try(fmt.Sprintf("%d bytes", size), append([]byte{}, good[:size]...))
	}
	try("no database", make([]byte, len(good)))
	flipped := append([]byte{}, good...)
	for at := range flipped { // in every page that has the key, of which one is in use
		if bytes.HasPrefix(flipped[at:], []byte("299")) {
			flipped[at+2] ^= 1
		}
	}
	try("a flipped byte", flipped)
	segments, err := wal.Segments(LogDir(path))
	require.NoError(t, err)
	require.NoError(t, os.Rename(LogDir(path), LogDir(path)+".away"))
	_, err = Open(path, "test 1", []string{"a", "b"}, Options{})
	assert.ErrorIs(t, err, ErrDamaged, "the log of %d segments is missing", len(segments))
}

// fullDisk has no room for new segments while it is full.
type fullDisk struct {
	wal.Disk
	mu   sync.Mutex
	full bool
}

func (d *fullDisk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return nil, errors.New("no space left on device")
	}
	return d.Disk.Create(path)
}

func (d *fullDisk) set(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

func TestFullDiskRefusesAndMends(t *testing.T) {
	path, disk := filepath.Join(t.TempDir(), "x.db"), &fullDisk{}
	db := open(t, path, Options{FS: disk, SegmentBytes: 8 << 10})
	put := func(i int) error {
		return db.Update(func(tx *Tx) error { tx.Put(0, fmt.Appendf(nil, "%04d", i), make([]byte, 500)); return nil })
	}
	disk.set(true)
	kept, refused := map[int]bool{}, 0
	for i := range 60 {
		if put(i) == nil {
			kept[i] = true
		} else {
			refused++
		}
	}
	assert.NotZero(t, refused)
	disk.set(false)
	for i := 60; i < 80; i++ {
		require.NoError(t, put(i))
		kept[i] = true
	}
	require.NoError(t, db.Close())
	assert.Len(t, all(t, open(t, path, Options{}), 0), len(kept), "what was refused is not there, what was taken is")
}

// Pages are given back while the file grows and is mapped anew. The advice must never reach past the mapping, behind
// which the program's own memory lies: bbolt makes the file longer than that.
func TestTrimKeepsToTheMapping(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	db := open(t, path, Options{CheckpointBytes: 1 << 20})
	for i := range 230 {
		require.NoError(t, db.Update(func(tx *Tx) error { tx.Put(0, fmt.Appendf(nil, "%06d", i), make([]byte, 300_000)); return nil }))
		require.NoError(t, db.between(func() error {
			db.trim()
			return db.file.View(func(tx *bolt.Tx) error {
				maps, err := os.ReadFile("/proc/self/maps")
				require.NoError(t, err)
				at, size := db.mapped(tx)
				for line := range strings.Lines(string(maps)) {
					var from, to uintptr
					fmt.Sscanf(line, "%x-%x", &from, &to)
					if from == at {
						require.LessOrEqual(t, at+size, to)
						require.Contains(t, line, path)
						return nil
					}
				}
				return errors.New("the file is not mapped")
			})
		}))
	}
	require.NoError(t, db.Verify())
	require.Len(t, all(t, db, 0), 230)
}

func BenchmarkGroupCommit(b *testing.B) {
	db := open(b, filepath.Join(b.TempDir(), "x.db"), Options{})
	value := make([]byte, 400)
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := bytesOf(rand.Uint64())
			if err := db.Update(func(tx *Tx) error { tx.Put(0, k, value); return nil }); err != nil {
				b.Error(err)
			}
		}
	})
}
