package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"kitefall/internal/wal"
)

// Snapshot writes a copy of the store to a new file while the store is in use. The copy is a store without a log.
func (db *DB) Snapshot(path string) error {
	if exists(path) {
		return fmt.Errorf("%s already exists", path)
	}
	temporaryPath, err := reserveTemporary(path)
	if err != nil {
		return err
	}
	defer os.Remove(temporaryPath)
	err = db.runMaintenance(func() error {
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
	return renameDurably(temporaryPath, path, unix.RENAME_NOREPLACE)
}

// Restore creates the store at path from a snapshot. No file of that store may exist yet, nor come into being meanwhile. Another process
// that opens the store at its path waits until it is whole and on the disk. Restore returns an error that wraps ErrDamaged or
// ErrFormat if the snapshot cannot be used.
func Restore(snapshot, path, format string) error {
	if err := requireNoStore(path); err != nil { // before the work; asked again after it
		return err
	}
	if exists(LogDir(snapshot)) {
		return fmt.Errorf("%s has a log directory next to it: it is a store, not a snapshot", snapshot)
	}
	db, err := Open(snapshot, format, nil, Options{ReadOnly: true, VerifyOnOpen: true})
	if err != nil {
		return err
	}
	temporaryPath, err := reserveTemporary(path)
	if err != nil {
		return errors.Join(err, db.Close())
	}
	defer os.Remove(temporaryPath)
	err = copyFile(db.file, temporaryPath)
	if err = errors.Join(err, db.Close()); err != nil {
		return err
	}
	return publishStore(temporaryPath, path)
}

// requireNoStore returns an error if a file of a store at path exists.
func requireNoStore(path string) error {
	for _, file := range append(Files(path), LogDir(path)) {
		if exists(file) {
			return fmt.Errorf("%s already exists: move it away first", file)
		}
	}
	return nil
}

// publishStore makes the file at temporaryPath the store at path, unless a file of a store at path exists. It holds the lock of the file
// until the name is on the disk. A process that creates a store creates its file before its log, so that one of the two fails.
func publishStore(temporaryPath, path string) error {
	locked, err := openNewFile(temporaryPath)
	if err != nil {
		return err
	}
	err = requireNoStore(path)
	if err == nil {
		err = renameDurably(temporaryPath, path, unix.RENAME_NOREPLACE)
	}
	return errors.Join(err, locked.Close())
}

// reserveTemporary creates an empty file next to path, with a name of its own, and returns its path.
func reserveTemporary(path string) (string, error) {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.tmp")
	if err != nil {
		return "", err
	}
	return file.Name(), file.Close()
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

// renameDurably gives a complete file its final name. When it returns nil, the content and the name are on the disk. With the flag
// RENAME_NOREPLACE it fails if a file of that name exists, with 0 it replaces that file (source: rename(2)).
func renameDurably(from, to string, flags uint) error {
	file, err := os.OpenFile(from, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := unix.Renameat2(unix.AT_FDCWD, from, unix.AT_FDCWD, to, flags); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return wal.OSFileSystem{}.SyncDir(filepath.Dir(to))
}
