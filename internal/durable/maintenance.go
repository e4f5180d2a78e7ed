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
	// newFileLockTimeout is how long to wait for the lock of a file that was just made.
	newFileLockTimeout = time.Second

	// compactTxBytes is about how much Compact copies in one transaction of bbolt.
	compactTxBytes = 1 << 20
)

// maintenanceTask is work on the file that the checkpointer runs between two checkpoints.
type maintenanceTask struct {
	run  func() error
	done chan error // takes the result; it has room for it
}

// runMaintenance has the checkpointer run a function between two checkpoints, and waits for its end.
func (db *DB) runMaintenance(run func() error) error {
	task := &maintenanceTask{run: run, done: make(chan error, 1)}
	select {
	case db.maintenance <- task:
		return <-task.done
	case <-db.closed:
		return ErrClosed
	}
}

// Verify checks all pages and values of the file while the store is in use. It returns ErrDamaged, wrapped, if one is
// damaged.
//
// No checkpoint may be under way: bbolt counts the pages that a later transaction has freed against those of the state
// that it checks.
func (db *DB) Verify() error {
	return db.runMaintenance(func() error { return db.file.View(db.check) })
}

// check checks all pages of the file and all values in it.
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
	if bytes.Equal(name, metaBucket) { // its values have no checksum
		return nil
	}
	return bucket.ForEach(func(key, sealed []byte) error {
		_, err := unseal(key, sealed)
		return err
	})
}

// Compact writes the file anew, without the space of deleted keys, while the store is in use. It returns the sizes
// before and after, in bytes. Changes go on meanwhile; they wait in memory and in the log.
func (db *DB) Compact() (before, after int64, err error) {
	err = db.runMaintenance(func() error {
		before, after, err = db.compactFile()
		return err
	})
	return before, after, err
}

func (db *DB) compactFile() (before, after int64, err error) {
	info, err := os.Stat(db.path)
	if err != nil {
		return 0, 0, err
	}
	before = info.Size()
	temporary := db.path + ".compact"
	os.Remove(temporary)
	defer os.Remove(temporary)
	compacted, err := openNewFile(temporary)
	if err != nil {
		return before, 0, err
	}
	// The lock of the new file is held from here on: no other process can get it between the two names.
	err = bolt.Compact(compacted, db.file, compactTxBytes)
	if err == nil {
		err = renameDurably(temporary, db.path)
	}
	if err != nil {
		compacted.Close()
		return before, 0, err
	}
	db.mu.Lock()
	replaced := db.file
	db.file = compacted
	db.mu.Unlock()
	info, err = os.Stat(db.path)
	if err == nil {
		after = info.Size()
	}
	return before, after, errors.Join(err, replaced.Close())
}

func openNewFile(path string) (*bolt.DB, error) {
	return bolt.Open(path, fileMode, &bolt.Options{Timeout: newFileLockTimeout, FreelistType: bolt.FreelistMapType})
}
