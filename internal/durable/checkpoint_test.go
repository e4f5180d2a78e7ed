package durable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hangTimeout is how long a test waits for a change before it counts as hanging.
const hangTimeout = 10 * time.Second

// smallBuffer are options with which a few changes fill the buffer. Changes wait for a checkpoint for as long as a test does.
var smallBuffer = Options{
	CheckpointBytes: 1 << 10, CheckpointInterval: time.Millisecond, MaxBufferedBytes: 4 << 10, MaxBufferWait: 2 * hangTimeout,
}

// openWithFault opens a store whose checkpoints fail while faulty is set.
func openWithFault(t *testing.T, o Options, faulty *atomic.Bool) *DB {
	t.Helper()
	db := open(t, storePath(t), o)
	require.NoError(t, db.runMaintenance(func() error { // on the checkpointer's goroutine, which reads the field
		db.injectedFault = func() error {
			if faulty.Load() {
				return errors.New("injected")
			}
			return nil
		}
		return nil
	}))
	return db
}

// fill makes changes in the background until the writer waits for buffer space. The channel gets the error of each change.
func fill(t *testing.T, db *DB) (errs <-chan error) {
	t.Helper()
	const changes, waiting = 32, 4
	results := make(chan error, changes+waiting)
	change := func(i int) { results <- put(db, 1, fmt.Sprint("key ", i), make([]byte, 512)) }
	for i := range changes {
		go change(i)
	}
	require.Eventually(t, func() bool { return db.checkBufferedBytes() != nil }, hangTimeout, time.Millisecond)
	for i := range waiting {
		go change(changes + i)
	}
	time.Sleep(50 * time.Millisecond) // the writer has taken one of them
	return results
}

// requireChanges requires that all changes of fill have ended, and that the store takes another one.
func requireChanges(t *testing.T, db *DB, errs <-chan error) {
	t.Helper()
	last := make(chan error, 1)
	go func() { last <- put(db, 1, "last", []byte("value")) }()
	for range cap(errs) {
		select {
		case err := <-errs:
			require.NoError(t, err)
		case <-time.After(hangTimeout):
			require.FailNow(t, "a change hangs")
		}
	}
	select {
	case err := <-last:
		require.NoError(t, err)
	case <-time.After(hangTimeout):
		require.FailNow(t, "the last change hangs")
	}
}

// Guards against a store that takes no change any more (review case 7): the writer waits for buffer space while a maintenance task
// holds the checkpointer, and the task itself writes the frozen table, as a snapshot does.
func TestChangesGoOnAfterAMaintenanceTaskHasCheckpointed(t *testing.T) {
	db := open(t, storePath(t), smallBuffer)
	var errs <-chan error
	require.NoError(t, db.runMaintenance(func() error {
		errs = fill(t, db)
		return db.checkpointAll()
	}))
	requireChanges(t, db, errs)
}

// Guards against a frozen table that nobody writes: the checkpoint of a snapshot fails. Only a full buffer and snapshots freeze tables
// here.
func TestChangesGoOnAfterTheCheckpointOfASnapshotFailed(t *testing.T) {
	faulty := &atomic.Bool{}
	options := smallBuffer
	options.CheckpointBytes, options.CheckpointInterval = 1<<20, time.Hour
	db := openWithFault(t, options, faulty)
	require.NoError(t, put(db, 1, "key", []byte("value")))
	faulty.Store(true)
	require.Error(t, db.Snapshot(filepath.Join(t.TempDir(), "copy.db")))
	faulty.Store(false)
	require.Eventually(t, func() bool {
		db.mu.RLock()
		defer db.mu.RUnlock()
		return db.frozen == nil
	}, hangTimeout, time.Millisecond, "the table is not written")
	requireChanges(t, db, fill(t, db))
}

// A change that waits for a long maintenance task is refused in time, and later ones are taken again.
func TestChangesAreRefusedWhileAMaintenanceTaskIsLong(t *testing.T) {
	options := smallBuffer
	options.MaxBufferWait = 50 * time.Millisecond
	db := open(t, storePath(t), options)
	require.NoError(t, db.runMaintenance(func() error {
		fill(t, db)
		refused := make(chan error, 1)
		go func() { refused <- put(db, 1, "refused", []byte("value")) }()
		select {
		case err := <-refused:
			assert.ErrorIs(t, err, ErrCheckpointBehind)
		case <-time.After(hangTimeout):
			assert.Fail(t, "the change hangs")
		}
		return nil
	}))
	require.Eventually(t, func() bool { return put(db, 1, "taken", []byte("value")) == nil }, hangTimeout, time.Millisecond)
}

// Maintenance commands, checkpoints that fail for a time, and changes, in random orders of a few steps: no change hangs, and the store
// holds what was taken.
func TestRandomMaintenanceBesideChanges(t *testing.T) {
	for seed := range uint64(20) {
		faulty := &atomic.Bool{}
		options := smallBuffer
		options.MaxBufferWait = 50 * time.Millisecond
		db := openWithFault(t, options, faulty)
		random := rand.New(rand.NewPCG(seed, 0))
		directory := t.TempDir()
		var commands, changes sync.WaitGroup
		var mu sync.Mutex
		taken := map[string]string{}
		for step := range 12 {
			faulty.Store(random.IntN(4) == 0)
			switch random.IntN(4) {
			case 0:
				commands.Go(func() { db.Verify() })
			case 1:
				commands.Go(func() { db.Snapshot(filepath.Join(directory, fmt.Sprint(step))) })
			case 2:
				commands.Go(func() { db.Compact() })
			}
			for i := range random.IntN(24) {
				changes.Go(func() {
					key := fmt.Sprint(step, "-", i)
					if err := put(db, 1, key, make([]byte, 512)); err == nil {
						mu.Lock()
						defer mu.Unlock()
						taken[key] = string(make([]byte, 512))
					}
				})
			}
			time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
		}
		ended := make(chan bool)
		go func() { changes.Wait(); close(ended) }()
		select {
		case <-ended:
		case <-time.After(hangTimeout):
			require.FailNow(t, "a change hangs", "seed %d", seed)
		}
		faulty.Store(false)
		commands.Wait()
		require.Eventually(t, func() bool { return put(db, 0, "last", nil) == nil }, hangTimeout, time.Millisecond, "seed %d", seed)
		require.Equal(t, taken, readAll(t, db, 1), "seed %d", seed)
		require.NoError(t, db.Close())
	}
}
