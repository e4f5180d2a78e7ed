// Package durable is a small ordered key-value store. It consists of a write-ahead log, which holds the latest changes,
// and a bbolt file, which holds all earlier ones. A change is on the disk when Update returns. Changes that are queued at
// the same time form a group, which shares one sync of the log; no change is delayed to wait for others.
//
// One goroutine, the writer, carries out changes one after another, so each change sees all earlier ones. Changes that
// are in the log but not yet in the file are held in memory tables. Another goroutine, the checkpointer, writes those
// tables to the file.
package durable

import (
	"errors"
	"path/filepath"
	"sync"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

// Errors that functions of this package and methods of a DB return, in some cases wrapped.
var (
	ErrClosed           = errors.New("the store is closed")
	ErrCheckpointBehind = errors.New("too many changes are waiting for a checkpoint of the store")
	ErrFormat           = errors.New("the format of the file is not supported")
	ErrDamaged          = errors.New("the file is damaged")
	ErrLocked           = errors.New("another process holds the file")
)

// DB is an open store; Open returns one. Its methods are safe for concurrent use.
type DB struct {
	path    string
	format  string
	buckets [][]byte // names of the buckets in the file, by number; higher numbers are memory buckets
	options Options

	updates            chan *update
	checkpointRequests chan struct{}         // wakes the checkpointer: a memory table was frozen
	maintenanceTasks   chan *maintenanceTask // run by the checkpointer between two checkpoints
	closed             chan struct{}         // closed by Close
	writerDone         chan struct{}         // closed when the writer has ended
	closeOnce          sync.Once
	goroutines         sync.WaitGroup

	mu               sync.RWMutex // guards the fields up to checkpoints; Get and Scan also hold it while they read the file
	file             *bolt.DB
	active           *memtable     // receives the changes that the writer carries out
	frozen           *memtable     // is being written to the file; nil: none
	memoryBuckets    memtable      // entries of the buckets that are kept only in memory
	appliedSequence  uint64        // sequence of the last log record whose changes are all in the file
	checkpointFailed bool          // the latest checkpoint failed
	checkpoints      chan struct{} // closed, and replaced, when frozen becomes nil or checkpointFailed changes

	injectedFault func() error // set by tests, on the checkpointer's goroutine: its error fails a checkpoint; nil: none

	log          *wal.Log // used only by the writer, until Close; nil: the store is read-only
	recordBuffer []byte   // reused by the writer to encode log records
}

const maxQueuedUpdates = 4096

func newDB(path, format string, buckets []string, o Options) *DB {
	db := &DB{
		path:               path,
		format:             format,
		options:            o,
		updates:            make(chan *update, maxQueuedUpdates),
		checkpointRequests: make(chan struct{}, 1),
		maintenanceTasks:   make(chan *maintenanceTask),
		closed:             make(chan struct{}),
		writerDone:         make(chan struct{}),
		active:             &memtable{},
		checkpoints:        make(chan struct{}),
	}
	for _, name := range buckets {
		db.buckets = append(db.buckets, []byte(name))
	}
	return db
}

// Update carries out a change. The function change reads and writes through the Tx; it runs on the writer's goroutine and
// must not block. When Update returns nil, everything that change wrote is on the disk, except for writes to memory
// buckets. If change returns an error, none of its writes is kept, and Update returns that error.
func (db *DB) Update(change func(*Tx) error) error {
	u := &update{change: change, done: make(chan error, 1)}
	select {
	case db.updates <- u:
	case <-db.closed:
		return ErrClosed
	}
	select {
	case err := <-u.done:
		return err
	case <-db.writerDone: // the writer may have carried out the change before it ended
		select {
		case err := <-u.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// View calls read, which reads the store through the Tx while the writer continues. The function must not write through
// the Tx.
func (db *DB) View(read func(*Tx) error) error {
	select {
	case <-db.closed:
		return ErrClosed
	default:
	}
	tx := &Tx{db: db}
	err := read(tx)
	return errors.Join(err, tx.err)
}

// Close stops the goroutines of the store and closes its files. The next Open replays the changes that are only in the
// log. Calls after the first do nothing and return nil.
func (db *DB) Close() error {
	var err error
	db.closeOnce.Do(func() {
		close(db.closed)
		db.goroutines.Wait()
		if db.log != nil {
			err = db.log.Close()
		}
		err = errors.Join(err, db.file.Close())
	})
	return err
}

func (db *DB) isMemoryBucket(bucket int) bool { return bucket >= len(db.buckets) }

// LogDir returns the directory that holds the log of the store at path.
func LogDir(path string) string { return path + ".log" }

// Files returns the paths of the bbolt file and of the log segments of the store at path.
func Files(path string) []string {
	files := []string{path}
	segments, _ := filepath.Glob(filepath.Join(LogDir(path), "*.log"))
	return append(files, segments...)
}
