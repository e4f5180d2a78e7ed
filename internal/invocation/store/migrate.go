package store

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"kitefall/internal/durable"
)

// migration holds the paths and the lock deadline of a migration from the first format.
type migration struct {
	path         string    // the store
	original     string    // where the file in the first format is kept
	converted    string    // the complete new file, until it is renamed to path
	temporary    string    // the new store, while it is being written
	lockDeadline time.Time // deadline for the wait for another process to release the file
}

// migrate converts a store in the first format to the current one and keeps the old file as PATH.v1. After an interruption
// the next call finishes or repeats the migration: the new file is renamed to path only when it is complete.
func migrate(path string, lockDeadline time.Time) error {
	m := &migration{
		path:         path,
		original:     path + ".v1",
		converted:    path + ".v2",
		temporary:    path + ".migrating",
		lockDeadline: lockDeadline,
	}
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return m.resume()
	}
	if err != nil || info.Size() == 0 {
		return err // an empty file is left to durable.Open
	}
	needed, err := m.isV1()
	if err != nil || !needed {
		return err
	}
	return m.run()
}

// resume finishes a migration that was interrupted between its two renames.
func (m *migration) resume() error {
	if _, err := os.Stat(m.converted); err == nil {
		return os.Rename(m.converted, m.path)
	}
	return nil
}

func (m *migration) run() error {
	if _, err := os.Lstat(m.original); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s is in the first format, but %s already exists: move one away", m.path, m.original)
	}
	m.removeTemporary() // left by an interrupted migration
	os.Remove(m.converted)
	migrated, err := m.convert()
	m.removeTemporary()
	if err != nil {
		return err
	}
	if err := m.replaceOriginal(); err != nil {
		return err
	}
	slog.Info("tickets: migrated from the first format", "tickets", migrated, "old", m.original)
	return nil
}

// replaceOriginal moves the original to its backup path and then renames the new file to the store's path. If the first
// rename fails, the second must not follow, because it would overwrite the original.
func (m *migration) replaceOriginal() error {
	if err := os.Rename(m.path, m.original); err != nil {
		return err
	}
	return os.Rename(m.converted, m.path)
}

func (m *migration) removeTemporary() {
	for _, file := range append(durable.Files(m.temporary), durable.LogDir(m.temporary)) {
		os.Remove(file)
	}
}

// isV1 reports whether the file is a store in the first format. For a damaged file it returns false; Open then rejects the
// file.
func (m *migration) isV1() (matches bool, err error) {
	defer func() {
		if recover() != nil { // bbolt panics on some damaged files
			matches = false
			err = nil
		}
	}()
	db, err := m.openOriginal()
	if errors.Is(err, bolterrors.ErrTimeout) {
		return false, fmt.Errorf("%w: %s", durable.ErrLocked, m.path)
	}
	if err != nil {
		return false, nil
	}
	defer db.Close()
	err = db.View(func(tx *bolt.Tx) error {
		info, err := os.Stat(m.path)
		if err != nil || tx.Size() > info.Size() {
			return err
		}
		matches = hasV1Buckets(tx)
		return nil
	})
	return matches, err
}

func (m *migration) openOriginal() (*bolt.DB, error) {
	return bolt.Open(m.path, 0o600, &bolt.Options{Timeout: time.Until(m.lockDeadline), ReadOnly: true})
}

// convert writes the file m.converted in the current format and returns the number of migrated invocations.
func (m *migration) convert() (migrated int, err error) {
	original, err := m.openOriginal()
	if err != nil {
		return 0, err
	}
	defer original.Close()
	options := durable.Options{LockDeadline: m.lockDeadline, MemoryBuckets: memoryBuckets}
	db, err := durable.Open(m.temporary, format, buckets, options)
	if err != nil {
		return 0, err
	}
	defer db.Close()
	target := &Store{
		db:      db,
		cache:   newInvocationCache(),
		options: Options{MaxInvocations: noLimit, Retention: v1Retention},
	}
	err = original.View(func(tx *bolt.Tx) error {
		if err := checkPages(tx, m.path); err != nil {
			return err
		}
		migrated, err = target.importV1(tx, m.path)
		return err
	})
	if err != nil {
		return migrated, err
	}
	return migrated, db.Snapshot(m.converted)
}

// checkPages checks all pages of the file. The error for a damaged page wraps durable.ErrDamaged.
func checkPages(tx *bolt.Tx, path string) error {
	var damage error
	for err := range tx.Check() {
		damage = errors.Join(damage, err)
	}
	if damage != nil {
		return fmt.Errorf("%w: %s: %v", durable.ErrDamaged, path, damage)
	}
	return nil
}
