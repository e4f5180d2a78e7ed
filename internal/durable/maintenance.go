package durable

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

// check looks through all pages of the file and all values in it.
func (db *DB) check(tx *bolt.Tx) (err error) {
	for bad := range tx.Check() {
		err = errors.Join(err, bad)
	}
	if err == nil {
		err = tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			if bytes.Equal(name, meta) {
				return nil
			}
			return b.ForEach(func(k, v []byte) error {
				_, err := unseal(k, v)
				return err
			})
		})
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrDamaged, db.path, err)
	}
	return nil
}

// Verify looks through the whole file while the store is in use. No move may be under way: bbolt counts the pages that
// a later change has freed against those of the state that is looked at.
func (db *DB) Verify() error {
	return db.between(func() error { return db.file.View(db.check) })
}

// trimEvery is how often pages of the file that were looked at are given back.
const trimEvery = 50 * time.Millisecond

// trim gives the pages of the file that the process has looked at back to the system: bbolt maps the file, and each
// page once read would count as the process's memory until somebody needs it. Reading one again maps it again.
func (db *DB) trim() {
	db.file.View(func(tx *bolt.Tx) error { // bbolt does not map the file anew during a transaction
		if at, size := db.mapped(tx); size > 0 {
			// It only advises: where the system does not take it, the pages stay.
			syscall.Syscall(syscall.SYS_MADVISE, at, size, syscall.MADV_DONTNEED)
		}
		return nil
	})
}

// mapped is where the pages that are in use are mapped. The file may be longer than its mapping, by as much as bbolt
// makes it grow at a time; what lies behind the mapping is the program's own memory.
func (db *DB) mapped(tx *bolt.Tx) (at, size uintptr) {
	return db.file.Info().Data, uintptr(tx.Size())
}

// trimOften trims while a start looks at the whole file, until stop.
func (db *DB) trimOften() (stop func()) {
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				db.mu.RLock()
				if db.file != nil {
					db.trim()
				}
				db.mu.RUnlock()
			case <-done:
				return
			}
		}
	})
	return func() { close(done); work.Wait() }
}

// between has the mover do something between two moves, when no layer is on its way, and waits for its end.
func (db *DB) between(do func() error) error {
	t := &task{do: do, done: make(chan error, 1)}
	select {
	case db.tasks <- t:
		return <-t.done
	case <-db.closed:
		return ErrClosed
	}
}

// flush has the mover write all that is in memory to the file.
func (db *DB) flush() error {
	if err := db.moveOne(); err != nil {
		return err
	}
	db.freeze()
	select {
	case <-db.move:
	default:
	}
	return db.moveOne()
}

// Snapshot writes a copy of the store as it stands to a new file, while it is in use. The copy is a store by itself.
func (db *DB) Snapshot(to string) error {
	if _, err := os.Lstat(to); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s is there already", to)
	}
	tmp := to + ".tmp"
	defer os.Remove(tmp)
	err := db.between(func() error {
		if err := db.flush(); err != nil {
			return err
		}
		return db.file.View(func(tx *bolt.Tx) error { return tx.CopyFile(tmp, 0o600) })
	})
	if err != nil {
		return err
	}
	if err := alone(tmp); err != nil {
		return err
	}
	return place(tmp, to)
}

// alone makes a copy of the file a store of its own: one without a log.
func alone(path string) error {
	f, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return err
	}
	err = f.Update(func(tx *bolt.Tx) error { return tx.Bucket(meta).Delete(appliedKey) })
	return errors.Join(err, f.Close())
}

// place gives a finished file its name, and has both reach the disk.
func place(from, to string) error {
	f, err := os.OpenFile(from, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(from, to); err != nil {
		return err
	}
	return wal.Disk{}.SyncDir(filepath.Dir(to))
}

// Compact writes the file anew, without the room that deleted keys have left, while the store is in use. It returns
// the sizes before and after, in bytes. Changes go on meanwhile: they wait in memory and in the log.
func (db *DB) Compact() (before, after int64, err error) {
	err = db.between(func() error {
		info, err := os.Stat(db.path)
		if err != nil {
			return err
		}
		before = info.Size()
		tmp := db.path + ".compact"
		os.Remove(tmp)
		defer os.Remove(tmp)
		next, err := bolt.Open(tmp, 0o600, &bolt.Options{Timeout: time.Second, FreelistType: bolt.FreelistMapType})
		if err != nil {
			return err
		}
		// The lock on the new file is held from here on: no other process can slip in between the two names.
		if err = bolt.Compact(next, db.file, 1<<20); err == nil {
			err = place(tmp, db.path)
		}
		if err != nil {
			next.Close()
			return err
		}
		db.mu.Lock()
		old := db.file
		db.file = next
		db.mu.Unlock()
		if info, err = os.Stat(db.path); err == nil {
			after = info.Size()
		}
		return errors.Join(err, old.Close())
	})
	return before, after, err
}

// Restore puts a snapshot in the place of a store that is not there.
func Restore(snapshot, path, format string) error {
	for _, f := range append(Files(path), LogDir(path)) {
		if _, err := os.Lstat(f); !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("%s is there: move it away first", f)
		}
	}
	if _, err := os.Lstat(LogDir(snapshot)); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s has a log beside it: it is a store in use, not a snapshot", snapshot)
	}
	db, err := Open(snapshot, format, nil, Options{ReadOnly: true, VerifyOnOpen: true})
	if err != nil {
		return err
	}
	tmp := path + ".restore"
	defer os.Remove(tmp)
	err = db.file.View(func(tx *bolt.Tx) error { return tx.CopyFile(tmp, 0o600) })
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	return place(tmp, path)
}
