package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

// Snapshot writes a copy of the store to a new file while the store is in use. The copy is a store without a log.
func (db *DB) Snapshot(path string) error {
	if exists(path) {
		return fmt.Errorf("%s already exists", path)
	}
	temporaryPath := path + ".tmp"
	defer os.Remove(temporaryPath)
	err := db.runMaintenance(func() error {
		if err := db.checkpointAll(); err != nil {
			return err
		}
		return copyFile(db.file, temporaryPath)
	})
	if err != nil {
		return err
	}
	if err := detachFromLog(temporaryPath); err != nil {
		return err
	}
	return renameDurably(temporaryPath, path)
}

// Restore creates the store at path from a snapshot. No file of that store may exist yet. Restore returns an error that
// wraps ErrDamaged or ErrFormat if the snapshot cannot be used.
func Restore(snapshot, path, format string) error {
	for _, file := range append(Files(path), LogDir(path)) {
		if exists(file) {
			return fmt.Errorf("%s already exists: move it away first", file)
		}
	}
	if exists(LogDir(snapshot)) {
		return fmt.Errorf("%s has a log directory next to it: it is a store, not a snapshot", snapshot)
	}
	db, err := Open(snapshot, format, nil, Options{ReadOnly: true, VerifyOnOpen: true})
	if err != nil {
		return err
	}
	temporaryPath := path + ".restore"
	defer os.Remove(temporaryPath)
	err = copyFile(db.file, temporaryPath)
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	return renameDurably(temporaryPath, path)
}

// checkpointAll writes all memory tables to the file. It must be called on the checkpointer's goroutine.
func (db *DB) checkpointAll() error {
	if err := db.checkpointFrozen(); err != nil {
		return err
	}
	db.freeze()
	return db.checkpointFrozen()
}

// detachFromLog removes the log sequence from a copy of the file, so that Open accepts the copy as a store without a log.
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

// exists reports whether a file exists at path. It also returns true if that cannot be determined.
func exists(path string) bool {
	_, err := os.Lstat(path)
	return !errors.Is(err, os.ErrNotExist)
}

// renameDurably gives a complete file its final name. When it returns nil, the content and the name are on the disk.
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
	return wal.OSFileSystem{}.SyncDir(filepath.Dir(to))
}
