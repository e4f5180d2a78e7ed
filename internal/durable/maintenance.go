package durable

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	// newFileLockTimeout is how long openNewFile waits at most for the lock of a file that it has just created.
	newFileLockTimeout = time.Second

	// compactTxBytes is the approximate number of bytes that Compact copies in one bbolt transaction.
	compactTxBytes = 1 << 20
)

// maintenanceTask is work on the file that the checkpointer runs between two checkpoints.
type maintenanceTask struct {
	run  func() error
	done chan error // receives the result; buffered, so the checkpointer never blocks on it
}

// runMaintenance has the checkpointer call run between two checkpoints, and returns the result.
func (db *DB) runMaintenance(run func() error) error {
	task := &maintenanceTask{run: run, done: make(chan error, 1)}
	select {
	case db.maintenanceTasks <- task:
		return <-task.done
	case <-db.closed:
		return ErrClosed
	}
}

// Verify checks all pages and values of the file while the store is in use. It returns an error that wraps ErrDamaged if
// a page or a value is damaged.
//
// Verify runs between two checkpoints: bbolt compares the pages of the state that it checks with the current free list,
// so pages that a concurrent checkpoint frees would be reported as damaged.
func (db *DB) Verify() error {
	return db.runMaintenance(func() error { return db.file.View(db.check) })
}

// check checks all pages of the file and the checksums of all values in it.
func (db *DB) check(tx *bolt.Tx) error {
	var err error
	for problem := range tx.Check() {
		err = errors.Join(err, problem)
	}
	if err == nil {
		err = tx.ForEach(checkValues)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrDamaged, db.path, err)
	}
	return nil
}

func checkValues(name []byte, bucket *bolt.Bucket) error {
	if bytes.Equal(name, metaBucket) { // values of the meta bucket have no checksum
		return nil
	}
	return bucket.ForEach(func(key, stored []byte) error {
		_, err := verifyChecksum(key, stored)
		return err
	})
}

// Compact rewrites the file without the space of deleted keys, while the store is in use. It returns the size of the
// file before and after, in bytes. Updates continue during the rewrite; their changes stay in memory and in the log
// until it is done.
func (db *DB) Compact() (sizeBefore, sizeAfter int64, err error) {
	err = db.runMaintenance(func() error {
		sizeBefore, sizeAfter, err = db.compactFile()
		return err
	})
	return sizeBefore, sizeAfter, err
}

func (db *DB) compactFile() (sizeBefore, sizeAfter int64, err error) {
	info, err := os.Stat(db.path)
	if err != nil {
		return 0, 0, err
	}
	sizeBefore = info.Size()
	temporaryPath := db.path + ".compact"
	os.Remove(temporaryPath)
	defer os.Remove(temporaryPath)
	compacted, err := openNewFile(temporaryPath)
	if err != nil {
		return sizeBefore, 0, err
	}
	// This process holds the lock of the new file from here on, so no other process can open the file as the store
	// after the rename.
	err = bolt.Compact(compacted, db.file, compactTxBytes)
	if err == nil {
		err = renameDurably(temporaryPath, db.path, 0)
	}
	if err != nil {
		compacted.Close()
		return sizeBefore, 0, err
	}
	db.mu.Lock()
	oldFile := db.file
	db.file = compacted
	db.mu.Unlock()
	info, err = os.Stat(db.path)
	if err == nil {
		sizeAfter = info.Size()
	}
	return sizeBefore, sizeAfter, errors.Join(err, oldFile.Close())
}

func openNewFile(path string) (*bolt.DB, error) {
	return bolt.Open(path, fileMode, &bolt.Options{Timeout: newFileLockTimeout, FreelistType: bolt.FreelistMapType})
}
