package durable

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
)

// A process waits for the lock of a store with the file open, and the holder compacts the store: it renames a new file to the path
// and closes the old one. The waiting process must not take up the store by the lock of the old file: it would write to the log of
// a store that another process serves from (review case 1).
func TestLockOfAReplacedFileOpensNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	holder, err := Open(path, "test", []string{"a"}, Options{})
	require.NoError(t, err)
	t.Cleanup(func() { holder.Close() })

	opened := make(chan struct{})
	var once sync.Once
	result := make(chan error, 1)
	go func() {
		o := &bolt.Options{}
		o.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			file, err := os.OpenFile(name, flag, mode)
			once.Do(func() { close(opened) })
			return file, err
		}
		file, err := openFile(path, time.Now().Add(2*time.Second), o)
		if file != nil {
			err = errors.Join(err, file.Close(), errOpened)
		}
		result <- err
	}()
	<-opened
	_, _, err = holder.Compact()
	require.NoError(t, err)
	err = <-result
	assert.ErrorIs(t, err, ErrLocked)
	assert.NotErrorIs(t, err, errOpened)
}

var errOpened = errors.New("the file was opened beside its holder")
