package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

// Snapshot writes a copy of the store to a new file, while the store is in use. The copy is a store without a log.
func (db *DB) Snapshot(path string) error {
	if exists(path) {
		return fmt.Errorf("%s is there already", path)
	}
	temporary := path + ".tmp"
	defer os.Remove(temporary)
	err := db.runMaintenance(func() error {
		if err := db.checkpointAll(); err != nil {
			return err
		}
		return copyFile(db.file, temporary)
	})
	if err != nil {
		return err
	}
	if err := detachFromLog(temporary); err != nil {
		return err
	}
	return renameDurably(temporary, path)
}

// Restore puts a snapshot in the place of a store, of which no file may exist. It returns ErrDamaged or ErrFormat,
// wrapped, if the snapshot cannot be used.
func Restore(snapshot, path, format string) error {
	for _, file := range append(Files(path), LogDir(path)) {
		if exists(file) {
			return fmt.Errorf("%s is there: move it away first", file)
		}
	}
	if exists(LogDir(snapshot)) {
		return fmt.Errorf("%s has a log beside it: it is a store in use, not a snapshot", snapshot)
	}
	db, err := Open(snapshot, format, nil, Options{ReadOnly: true, VerifyOnOpen: true})
	if err != nil {
		return err
	}
	temporary := path + ".restore"
	defer os.Remove(temporary)
	err = copyFile(db.file, temporary)
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	return renameDurably(temporary, path)
}

// checkpointAll writes all that is in memory to the file. It runs on the checkpointer's goroutine.
func (db *DB) checkpointAll() error {
	if err := db.checkpointFrozen(); err != nil {
		return err
	}
	db.freeze()
	select {
	case <-db.checkpoint: // it is done here
	default:
	}
	return db.checkpointFrozen()
}

// detachFromLog makes a copy of the file a store without a log.
func detachFromLog(path string) error {
	file, err := openNewFile(path)
	if err != nil {
		return err
	}
	err = file.Update(func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Delete(appliedKey) })
	return errors.Join(err, file.Close())
}

func copyFile(from *bolt.DB, to string) error {
	return from.View(func(tx *bolt.Tx) error { return tx.CopyFile(to, fileMode) })
}

// exists reports whether there may be something at path.
func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, os.ErrNotExist)
}

// renameDurably gives a complete file its final name. When it returns, both are on the disk.
func renameDurably(from, to string) error {
	file, err := os.OpenFile(from, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(from, to); err != nil {
		return err
	}
	return wal.Disk{}.SyncDir(filepath.Dir(to))
}
