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

// metaBucket holds the state of the store itself, under formatKey and appliedKey.
var (
	metaBucket = []byte("kitefall")
	formatKey  = []byte("format")
	appliedKey = []byte("applied") // sequence of the last log record whose changes are all in the file
)

// Open opens the store at path, or creates it, with the named buckets, of which there may be at most 250. The format
// names what the buckets hold.
//
// Open returns an error that wraps ErrLocked if another process holds the store, ErrFormat if the store has another
// format, and ErrDamaged or an error of package wal if the file or the log is damaged or the two do not belong together.
// It leaves the files as they are in these cases.
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
		// Without this option, bbolt would load the free list of a read-only file during check, while pages are released.
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

// openFile opens a bbolt file with the options, of which it sets the timeout. It waits for the lock of the file until
// lockDeadline. A process that
// held the lock meanwhile may have renamed another file to the path (Compact). openFile then begins again with that file: the lock
// of the old one protects nothing any more.
func openFile(path string, lockDeadline time.Time, o *bolt.Options) (*bolt.DB, error) {
	for {
		file, current, err := openOnce(path, lockDeadline, *o)
		if err != nil || current {
			return file, err
		}
		if err := file.Close(); err != nil {
			return nil, err
		}
	}
}

// openOnce opens a bbolt file, as openFile does, and reports whether the path still names the file once it is locked.
func openOnce(path string, lockDeadline time.Time, o bolt.Options) (file *bolt.DB, current bool, err error) {
	open := o.OpenFile
	if open == nil {
		open = os.OpenFile
	}
	var locked os.FileInfo
	o.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		opened, err := open(name, flag, mode)
		if err != nil {
			return nil, err
		}
		if locked, err = opened.Stat(); err != nil {
			opened.Close()
			return nil, err
		}
		return opened, nil
	}
	o.Timeout = max(time.Until(lockDeadline), time.Nanosecond) // zero would wait for ever
	file, err = bolt.Open(path, fileMode, &o)
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, false, fmt.Errorf("%w: %s", ErrLocked, path)
	case err != nil:
		return nil, false, fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	named, err := os.Stat(path)
	return file, err == nil && os.SameFile(locked, named), nil
}

// checkFileSize returns an error if the file is too short for its pages. bbolt would map a truncated file without an
// error, and the first access to a missing page would kill the process.
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
			return fmt.Errorf("%w: %s is truncated: it has %d of %d bytes", ErrDamaged, db.path, info.Size(), tx.Size())
		}
		return nil
	})
}

// recoverState loads the state from the file and the log. Unless the store is read-only, it also starts the goroutines
// of the store.
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

// loadFile checks the file, creates the missing buckets, and reads the sequence of the last log record whose changes are
// all in the file.
func (db *DB) loadFile() error {
	stop := db.releasePagesRepeatedly() // a check reads every page, and the pages must not all stay in memory
	defer stop()
	err := db.file.View(func(tx *bolt.Tx) error {
		if first, _ := tx.Cursor().First(); first == nil && !db.options.ReadOnly {
			return nil // the file is new
		}
		if err := db.loadMeta(tx); err != nil || !db.options.VerifyOnOpen {
			return err
		}
		return db.check(tx)
	})
	if err != nil || db.options.ReadOnly {
		return err
	}
	return db.file.Update(db.initializeFile)
}

func (db *DB) loadMeta(tx *bolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return fmt.Errorf("%w: %s is not a kitefall store", ErrFormat, db.path)
	}
	if format := string(meta.Get(formatKey)); format != db.format {
		return fmt.Errorf("%w: %s has format %q, this program reads %q", ErrFormat, db.path, format, db.format)
	}
	db.appliedSequence = decodeUint64(meta.Get(appliedKey))
	return nil
}

func (db *DB) initializeFile(tx *bolt.Tx) error {
	for _, name := range append(db.buckets, metaBucket) {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(formatKey, []byte(db.format))
}

// replayLog reads the log records that the file does not hold into the active memory table. It returns the sequence of
// the next record and the offset at which the records of the last segment end.
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
		return 0, 0, fmt.Errorf("%w: the log in %s ends at record %d, but the file holds records up to %d",
			ErrDamaged, dir, last, applied)
	}
	return nextSequence, logEnd, nil
}

// start opens the log for writing and starts the goroutines of the store, which Close stops.
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
