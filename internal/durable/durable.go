// Package durable is a small ordered store of keys and values that survives the process: a write-ahead log for the
// last moments, bbolt for all before. A change is on the disk once Do returns; changes that arrive together share one
// sync, and none waits for company.
//
// One goroutine, the writer, carries out changes one after another, so that each sees those before it. What the log
// has and bbolt has not is held in memory, and moves there in the background.
package durable

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/tidwall/btree"
	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

// Errors of a DB.
var (
	ErrClosed           = errors.New("the store is closed")
	ErrCheckpointBehind = errors.New("the store cannot move its log to the file")
	ErrFormat           = errors.New("the file is of another format")
	ErrDamaged          = errors.New("the file is damaged")
	ErrLocked           = errors.New("another process holds the file")
)

// Options say how a DB is kept. Zero values stand for the usual ones.
type Options struct {
	FS                 wal.FS        // of the log
	SegmentBytes       uint32        // bytes of a segment of the log
	CheckpointBytes    int64         // bytes that may wait in memory before they move to the file
	CheckpointInterval time.Duration // and the longest that they wait
	MaxBufferedBytes   int64         // bytes in memory at which changes wait for a move to end, or are refused if moves fail
	MaxBatch           int           // changes that share a sync at most
	LockDeadline       time.Time     // how long another process may hold the file
	ReadOnly           bool          // for a look at a file that no dispatcher holds; nothing is written
	VerifyOnOpen       bool          // look through all pages of the file first
	OnRollback         func()        // called by the writer when a group of changes came to nothing on the disk
	MemoryBuckets      []string      // buckets, after the others, that end with the process and need no disk
}

func (o *Options) defaults() {
	if o.FS == nil {
		o.FS = wal.Disk{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = wal.DefaultSegment
	}
	if o.CheckpointBytes == 0 {
		o.CheckpointBytes = 4 << 20
	}
	if o.CheckpointInterval == 0 {
		o.CheckpointInterval = time.Second
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = 16 << 20
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = 512
	}
	if o.LockDeadline.IsZero() {
		o.LockDeadline = time.Now().Add(time.Second)
	}
}

// The bucket of the DB's own, and its keys.
var (
	meta       = []byte("kitefall")
	formatKey  = []byte("format")
	appliedKey = []byte("applied") // sequence of the last record of the log that the file holds
)

// layer is a set of changes; a value of nil stands for a key that is gone.
type layer struct {
	keys btree.Map[string, []byte] // bucket byte, then key
	size int64
	last uint64 // sequence of its last record
}

func (l *layer) set(k string, v []byte) {
	old, had := l.keys.Set(k, v)
	if l.size += int64(len(v) - len(old)); !had {
		l.size += int64(len(k)) + perKey
	}
}

// perKey is roughly what an entry of a layer costs beside its bytes.
const perKey = 64

// DB is an open store. Its zero value is not usable: see Open.
type DB struct {
	path    string
	format  string
	buckets [][]byte // by the byte that stands for each; those from here on are volatile
	options Options

	ops    chan *op
	move   chan struct{} // a layer is frozen
	tried  chan struct{} // a move has ended, well or not
	tasks  chan *task    // for the mover, between moves
	closed chan struct{}
	ended  chan struct{} // the writer has ended
	ending sync.Once
	work   sync.WaitGroup

	mu      sync.RWMutex // guards what follows; who reads the file holds it too
	file    *bolt.DB
	active  *layer // the writer's
	frozen  *layer // on its way to the file; nil: none
	applied uint64 // sequence of the last record that the file holds
	failing bool   // the last move failed
	passing layer  // of the volatile buckets

	log    *wal.Log // the writer's
	record []byte   // the writer's: room for one
}

type op struct {
	do   func(*Tx) error
	done chan error
}

type task struct {
	do   func() error
	done chan error
}

// LogDir is where the log of the store at path lies.
func LogDir(path string) string { return path + ".log" }

// Open opens or makes the store at path, with the named buckets, at most 250. What does not check out is refused
// and left as it is. The format names what the buckets hold: a file of another one is refused.
func Open(path, format string, buckets []string, o Options) (db *DB, err error) {
	defer func() { // bbolt panics on some broken files
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("%w: %s: %v", ErrDamaged, path, p)
		}
	}()
	o.defaults()
	db = &DB{path: path, format: format, options: o, ops: make(chan *op, 4096), move: make(chan struct{}, 1),
		tried: make(chan struct{}, 1), tasks: make(chan *task), closed: make(chan struct{}), ended: make(chan struct{}), active: &layer{}}
	for _, b := range buckets {
		db.buckets = append(db.buckets, []byte(b))
	}
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		return nil, fmt.Errorf("%w: %s is empty", ErrDamaged, path)
	}
	if err := db.complete(); err != nil {
		return nil, err
	}
	// Read-only, bbolt would load its list of free pages in the middle of the check, while trimOften looks at the same file.
	db.file, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Until(o.LockDeadline), ReadOnly: o.ReadOnly,
		FreelistType: bolt.FreelistMapType, PreLoadFreelist: true})
	if errors.Is(err, bolt.ErrTimeout) {
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	} else if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	fail := func(err error) (*DB, error) {
		db.file.Close()
		return nil, err
	}
	stop := db.trimOften() // a look at every page must not hold them all
	db.applied, err = db.begin()
	if stop(); err != nil {
		return fail(err)
	}
	applied := db.applied
	dir := LogDir(path)
	if segments, err := wal.Segments(dir); err == nil && len(segments) == 0 && applied > 0 {
		return fail(fmt.Errorf("%w: the log in %s is missing", ErrDamaged, dir))
	}
	next, end, err := wal.Replay(dir, applied, func(sequence uint64, payload []byte) error {
		db.active.last = sequence
		return decodeGroup(payload, len(db.buckets), func(k string, v []byte) { db.active.set(k, v) })
	})
	if err != nil {
		return fail(err)
	}
	if next <= applied { // the log ends before the file does: it is not this file's
		return fail(fmt.Errorf("%w: the log in %s ends at record %d, the file holds %d", ErrDamaged, dir, next-1, applied))
	}
	if db.active.last == 0 {
		db.active.last = applied
	}
	if o.ReadOnly {
		return db, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fail(err)
	}
	if db.log, err = wal.Open(o.FS, dir, o.SegmentBytes, next, end); err != nil {
		return fail(err)
	}
	db.freeze()
	db.trim()
	db.work.Go(db.write)
	db.work.Go(db.moveAll)
	return db, nil
}

// complete tells whether the file has all its pages. One that was cut short would be mapped all the same, and the
// first look at a page that is not there would end the process.
func (db *DB) complete() error {
	info, err := os.Stat(db.path)
	if errors.Is(err, os.ErrNotExist) && !db.options.ReadOnly {
		return nil
	} else if err != nil {
		return err
	}
	f, err := bolt.Open(db.path, 0o600, &bolt.Options{Timeout: time.Until(db.options.LockDeadline), ReadOnly: true})
	if errors.Is(err, bolt.ErrTimeout) {
		return fmt.Errorf("%w: %s", ErrLocked, db.path)
	} else if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrDamaged, db.path, err)
	}
	defer f.Close()
	return f.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: %s has %d bytes of %d", ErrDamaged, db.path, info.Size(), tx.Size())
		}
		return nil
	})
}

// begin checks the file, makes what is missing in a new one, and returns what it holds of the log.
func (db *DB) begin() (applied uint64, err error) {
	look := func(tx *bolt.Tx) error {
		m := tx.Bucket(meta)
		if m == nil {
			return fmt.Errorf("%w: %s is none of this program's", ErrFormat, db.path)
		}
		if f := string(m.Get(formatKey)); f != db.format {
			return fmt.Errorf("%w: %s holds %q, this program reads %q", ErrFormat, db.path, f, db.format)
		}
		applied = number(m.Get(appliedKey))
		return nil
	}
	err = db.file.View(func(tx *bolt.Tx) error {
		if name, _ := tx.Cursor().First(); name == nil && !db.options.ReadOnly {
			return nil // new
		}
		if err := look(tx); err != nil || !db.options.VerifyOnOpen {
			return err
		}
		return db.check(tx)
	})
	if err != nil || db.options.ReadOnly {
		return applied, err
	}
	return applied, db.file.Update(func(tx *bolt.Tx) error {
		for _, b := range append(db.buckets, meta) {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return tx.Bucket(meta).Put(formatKey, []byte(db.format))
	})
}

// Do carries out a change: do reads and writes by the Tx, on the writer's goroutine, and must not wait for anything.
// When Do returns nil, what it wrote is on the disk. An error of do itself takes back all that it wrote.
func (db *DB) Update(do func(*Tx) error) error {
	o := &op{do: do, done: make(chan error, 1)}
	select {
	case db.ops <- o:
	case <-db.closed:
		return ErrClosed
	}
	select {
	case err := <-o.done:
		return err
	case <-db.ended: // whatever the writer did with it, it has done by now
		select {
		case err := <-o.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// write is the writer.
func (db *DB) write() {
	defer close(db.ended)
	tick := time.NewTicker(db.options.CheckpointInterval)
	defer tick.Stop()
	for {
		select {
		case o := <-db.ops:
			db.await()
			db.group(o)
		case <-tick.C:
			db.freeze()
			db.mu.RLock()
			applied := db.applied
			db.mu.RUnlock()
			if err := db.log.Release(applied); err != nil {
				slog.Warn("store: a segment of the log stays", "err", err)
			}
		case <-db.closed:
			return
		}
		db.mu.RLock()
		full := db.active.size >= db.options.CheckpointBytes
		db.mu.RUnlock()
		if full {
			db.freeze()
		}
	}
}

// group carries out what waits, with one record of the log.
func (db *DB) group(first *op) {
	tx := &Tx{db: db, writes: map[string][]byte{}}
	var done []*op
	for o := first; o != nil; {
		tx.mark()
		if err := db.room(); err != nil {
			o.done <- err
		} else if err := errors.Join(o.do(tx), tx.failed); err != nil {
			tx.rollback()
			o.done <- err
		} else {
			done = append(done, o)
		}
		o = nil
		if len(done) < db.options.MaxBatch && tx.bytes < int(db.options.SegmentBytes)/4 {
			select {
			case o = <-db.ops:
			default:
			}
		}
	}
	err := db.publish(tx.writes)
	if err != nil && db.options.OnRollback != nil {
		db.options.OnRollback()
	}
	for _, o := range done {
		o.done <- err
	}
}

// publish puts a group's changes on the disk and then before all readers.
func (db *DB) publish(writes map[string][]byte) error {
	if len(writes) == 0 {
		return nil
	}
	db.record = encodeGroup(db.record[:0], writes, len(db.buckets))
	record := db.record
	if len(record) > 0 {
		if err := db.log.Append(record); err != nil {
			return err
		}
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	for k, v := range writes {
		switch {
		case int(k[0]) < len(db.buckets):
			db.active.set(k, v)
		case v == nil:
			db.passing.keys.Delete(k)
		default:
			db.passing.keys.Set(k, v)
		}
	}
	if len(record) > 0 {
		db.active.last = db.log.Next() - 1
	}
	return nil
}

// await waits, while too much is in memory, for the move that is on its way. It does not wait for one that fails.
func (db *DB) await() {
	for db.room() != nil {
		db.freeze()
		db.mu.RLock()
		failing := db.failing
		db.mu.RUnlock()
		if failing {
			return
		}
		select {
		case <-db.tried:
		case <-db.closed:
			return
		}
	}
}

// room refuses changes while too much waits in memory for a file that cannot be written.
func (db *DB) room() error {
	db.mu.RLock()
	defer db.mu.RUnlock()
	held := db.active.size
	if db.frozen != nil {
		held += db.frozen.size
	}
	if held > db.options.MaxBufferedBytes {
		return ErrCheckpointBehind
	}
	return nil
}

// Close stops the writer. What is on the disk stays there; the log is replayed at the next start.
func (db *DB) Close() error {
	var err error
	db.ending.Do(func() {
		close(db.closed)
		db.work.Wait()
		if db.log != nil {
			err = db.log.Close()
		}
		err = errors.Join(err, db.file.Close())
	})
	return err
}

// Files are the paths that belong to the store at path.
func Files(path string) []string {
	found := []string{path}
	segments, _ := filepath.Glob(filepath.Join(LogDir(path), "*.log"))
	return append(found, segments...)
}
