// Package durable is a small ordered key-value store: a write-ahead log for the latest changes, and a bbolt file for
// all others. A change is on the disk when Update returns. Changes that arrive together share one sync of the log;
// none waits for others to arrive.
//
// One goroutine, the writer, carries out changes one after another, so each sees all those before it. Changes that are
// in the log but not yet in the file are held in memory tables. Another goroutine, the checkpointer, writes those
// tables to the file.
package durable

import (
	"errors"
	"path/filepath"
	"sync"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/wal"
)

// Errors of a DB.
var (
	ErrClosed           = errors.New("the store is closed")
	ErrCheckpointBehind = errors.New("too many changes wait for a checkpoint of the store")
	ErrFormat           = errors.New("the file is of another format")
	ErrDamaged          = errors.New("the file is damaged")
	ErrLocked           = errors.New("another process holds the file")
)

// DB is an open store; Open returns one. Its methods are safe for concurrent use.
type DB struct {
	path    string
	format  string
	buckets [][]byte // names by number; a bucket of a greater number is kept in memory alone
	options Options

	updates        chan *update
	checkpoint     chan struct{}         // a memory table was frozen
	checkpointDone chan struct{}         // a checkpoint has ended, with success or not
	maintenance    chan *maintenanceTask // to be run by the checkpointer, between two checkpoints
	closed         chan struct{}
	writerDone     chan struct{}
	closeOnce      sync.Once
	goroutines     sync.WaitGroup

	mu               sync.RWMutex // guards the fields below; who reads the file holds it too
	file             *bolt.DB
	active           *memtable // takes the changes of the writer
	frozen           *memtable // on its way to the file; nil: none
	volatile         memtable  // of the buckets that are kept in memory alone
	appliedSequence  uint64    // of the last record of the log that the file holds
	checkpointFailed bool      // the last one did

	log    *wal.Log // used by the writer alone; nil: read-only
	record []byte   // buffer of the writer
}

const maxQueuedUpdates = 4096

func newDB(path, format string, buckets []string, o Options) *DB {
	db := &DB{
		path:           path,
		format:         format,
		options:        o,
		updates:        make(chan *update, maxQueuedUpdates),
		checkpoint:     make(chan struct{}, 1),
		checkpointDone: make(chan struct{}, 1),
		maintenance:    make(chan *maintenanceTask),
		closed:         make(chan struct{}),
		writerDone:     make(chan struct{}),
		active:         &memtable{},
	}
	for _, name := range buckets {
		db.buckets = append(db.buckets, []byte(name))
	}
	return db
}

// Update carries out a change. The function reads and writes by the Tx; it runs on the writer's goroutine and must not
// wait for anything. When Update returns nil, all that it wrote is on the disk. If the function returns an error,
// nothing that it wrote is kept, and Update returns that error.
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

// View lets a function read the store while the writer goes on. It must not write by the Tx.
func (db *DB) View(read func(*Tx) error) error {
	select {
	case <-db.closed:
		return ErrClosed
	default:
	}
	tx := &Tx{db: db}
	err := read(tx)
	return errors.Join(err, tx.failed)
}

// Close ends the goroutines of the store and closes its files. Changes that are in the log alone are replayed by the
// next Open. Only the first call does something.
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

func (db *DB) isVolatile(bucket int) bool { return bucket >= len(db.buckets) }

// LogDir returns the directory of the log of the store at path.
func LogDir(path string) string { return path + ".log" }

// Files returns the paths of the file and of the log segments of the store at path.
func Files(path string) []string {
	files := []string{path}
	segments, _ := filepath.Glob(filepath.Join(LogDir(path), "*.log"))
	return append(files, segments...)
}
