package durable

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/wal"
)

var errWrite = errors.New("no space left on device")

// failingDisk is a disk on which writes fail while failing is set.
type failingDisk struct {
	wal.OSFileSystem
	failing atomic.Bool
}

func (d *failingDisk) Create(path string) (wal.File, error) {
	file, err := d.OSFileSystem.Create(path)
	if err != nil {
		return nil, err
	}
	return failingFile{file, d}, nil
}

type failingFile struct {
	wal.File
	disk *failingDisk
}

func (f failingFile) WriteAt(data []byte, offset int64) (int, error) {
	if f.disk.failing.Load() {
		return 0, errWrite
	}
	return f.File.WriteAt(data, offset)
}

// Guards against a change that is refused because of another one that is not kept, such as the outcome of a run because of a
// cancellation that could not be stored: both are in one group, whose write fails. Both must fail with the error of the write.
func TestChangeIsNotRefusedBecauseOfAChangeThatIsNotKept(t *testing.T) {
	disk := &failingDisk{}
	db := open(t, storePath(t), Options{FS: disk})
	require.NoError(t, put(db, 1, "other", []byte("value")))
	disk.failing.Store(true)
	begun, resume := make(chan bool), make(chan bool)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		first <- db.Update(func(tx *Tx) error {
			close(begun)
			<-resume
			tx.Put(1, []byte("key"), []byte("value"))
			return nil
		})
	}()
	<-begun
	errExists := errors.New("the key exists")
	go func() {
		second <- db.Update(func(tx *Tx) error {
			if tx.Get(1, []byte("key")) != nil {
				return errExists
			}
			return nil
		})
	}()
	require.Eventually(t, func() bool { return len(db.updates) == 1 }, hangTimeout, time.Millisecond)
	close(resume)
	assert.ErrorIs(t, <-first, errWrite)
	err := <-second
	assert.ErrorIs(t, err, errWrite)
	assert.NotErrorIs(t, err, errExists)
}
