package durable

import (
	"errors"
	"fmt"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"kitefall/internal/wal"
)

const (
	fileMode   = 0o600
	logDirMode = 0o700
)

// The bucket with the state of the store itself, and its keys.
var (
	metaBucket = []byte("kitefall")
	formatKey  = []byte("format")
	appliedKey = []byte("applied") // sequence of the last record of the log that the file holds
)

// Open opens the store at path, or makes it, with the named buckets, of which there are at most 250. The format names
// what the buckets hold.
//
// It returns ErrLocked, ErrFormat, ErrDamaged or an error of package wal, wrapped, and leaves the files as they are, if
// another process holds the store, if it has another format, or if its file and log are damaged or do not belong
// together.
func Open(path, format string, buckets []string, o Options) (db *DB, err error) {
	defer func() { // bbolt panics on some damaged files
		if p := recover(); p != nil {
			db = nil
			err = fmt.Errorf("%w: %s: %v", ErrDamaged, path, p)
		}
	}()
	o.setDefaults()
	db = newDB(path, format, buckets, o)
	if err := db.checkFileSize(); err != nil {
		return nil, err
	}
	db.file, err = openFile(path, o.LockDeadline, &bolt.Options{
		ReadOnly:     o.ReadOnly,
		FreelistType: bolt.FreelistMapType,
		// If read-only, bbolt would load the free list in the middle of the check, while the pages are released.
		PreLoadFreelist: true,
	})
	if err != nil {
		return nil, err
	}
	if err := db.recoverState(); err != nil {
		db.file.Close()
		return nil, err
	}
	return db, nil
}

// openFile opens a bbolt file. It sets the timeout of the options.
func openFile(path string, lockDeadline time.Time, o *bolt.Options) (*bolt.DB, error) {
	o.Timeout = time.Until(lockDeadline)
	file, err := bolt.Open(path, fileMode, o)
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	case err != nil:
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	return file, nil
}

// checkFileSize returns an error if the file lacks pages. bbolt would map a truncated file all the same, and the first
// access to a missing page would end the process.
func (db *DB) checkFileSize() error {
	info, err := os.Stat(db.path)
	if errors.Is(err, os.ErrNotExist) && !db.options.ReadOnly {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return fmt.Errorf("%w: %s is empty", ErrDamaged, db.path)
	}
	file, err := openFile(db.path, db.options.LockDeadline, &bolt.Options{ReadOnly: true})
	if err != nil {
		return err
	}
	defer file.Close()
	return file.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: %s has %d bytes of %d", ErrDamaged, db.path, info.Size(), tx.Size())
		}
		return nil
	})
}

// recoverState reads the state of the file and of the log and, unless the store is read-only, starts its goroutines.
func (db *DB) recoverState() error {
	if err := db.loadFile(); err != nil {
		return err
	}
	nextSequence, logEnd, err := db.replayLog()
	if err != nil || db.options.ReadOnly {
		return err
	}
	return db.start(nextSequence, logEnd)
}

// loadFile checks the file, makes what is missing in a new one, and reads what it holds of the log.
func (db *DB) loadFile() error {
	stop := db.releasePagesRepeatedly() // a check reads every page, and they must not all stay in memory
	defer stop()
	err := db.file.View(func(tx *bolt.Tx) error {
		if first, _ := tx.Cursor().First(); first == nil && !db.options.ReadOnly {
			return nil // a new file
		}
		if err := db.loadMeta(tx); err != nil || !db.options.VerifyOnOpen {
			return err
		}
		return db.check(tx)
	})
	if err != nil || db.options.ReadOnly {
		return err
	}
	return db.file.Update(db.initialize)
}

func (db *DB) loadMeta(tx *bolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return fmt.Errorf("%w: %s is not a store of this program", ErrFormat, db.path)
	}
	if format := string(meta.Get(formatKey)); format != db.format {
		return fmt.Errorf("%w: %s holds %q, this program reads %q", ErrFormat, db.path, format, db.format)
	}
	db.appliedSequence = decodeUint64(meta.Get(appliedKey))
	return nil
}

func (db *DB) initialize(tx *bolt.Tx) error {
	for _, name := range append(db.buckets, metaBucket) {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(formatKey, []byte(db.format))
}

// replayLog reads the records of the log that the file does not hold into memory. It returns the sequence of the next
// record and where the last segment ends.
func (db *DB) replayLog() (nextSequence uint64, logEnd int64, err error) {
	dir := LogDir(db.path)
	applied := db.appliedSequence
	if segments, err := wal.Segments(dir); err == nil && len(segments) == 0 && applied > 0 {
		return 0, 0, fmt.Errorf("%w: the log in %s is missing", ErrDamaged, dir)
	}
	db.active.lastSequence = applied
	nextSequence, logEnd, err = wal.Replay(dir, applied, func(sequence uint64, payload []byte) error {
		db.active.lastSequence = sequence
		return decodeGroup(payload, len(db.buckets), db.active.set)
	})
	if err != nil {
		return 0, 0, err
	}
	if nextSequence <= applied {
		last := nextSequence - 1
		return 0, 0, fmt.Errorf("%w: the log in %s ends at record %d, the file holds %d", ErrDamaged, dir, last, applied)
	}
	return nextSequence, logEnd, nil
}

// start opens the log for writing and starts the goroutines of the store. Close ends them.
func (db *DB) start(nextSequence uint64, logEnd int64) error {
	dir := LogDir(db.path)
	if err := os.MkdirAll(dir, logDirMode); err != nil {
		return err
	}
	log, err := wal.Open(db.options.FS, dir, db.options.SegmentBytes, nextSequence, logEnd)
	if err != nil {
		return err
	}
	db.log = log
	db.freeze()
	db.releasePages()
	db.goroutines.Go(db.runWriter)
	db.goroutines.Go(db.runCheckpointer)
	return nil
}
