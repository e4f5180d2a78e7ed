package durable

import (
	"log/slog"
	"time"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/failpoint"
)

const (
	// checkpointRetryDelay is the time from a failed checkpoint to the next attempt.
	checkpointRetryDelay = time.Second

	// maxCheckpointKeys is the maximum number of keys that a checkpoint writes in one bbolt transaction. A
	// transaction holds in memory a copy of every page that it changes.
	maxCheckpointKeys = 4096
)

// freeze passes the active memory table to the checkpointer and starts an empty one. It does nothing if the active table
// is empty or an earlier frozen table is not completely in the file yet.
func (db *DB) freeze() {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.frozen != nil || db.active.entries.Len() == 0 {
		return
	}
	db.frozen = db.active
	db.active = &memtable{lastSequence: db.frozen.lastSequence}
	signal(db.checkpointRequests)
}

// signal sends to a channel with a buffer of one, unless the buffer is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// changeCheckpointState changes what waitForBufferSpace waits for, and wakes it. All changes of the fields frozen, to nil, and
// checkpointFailed go through it.
func (db *DB) changeCheckpointState(change func()) {
	db.mu.Lock()
	defer db.mu.Unlock()
	change()
	close(db.checkpoints)
	db.checkpoints = make(chan struct{})
}

// runCheckpointer runs the checkpointer: until the store is closed, it writes frozen memory tables to the file, runs
// maintenance tasks and releases mapped pages. Whatever has woken it, it waits again only when no table is frozen.
func (db *DB) runCheckpointer() {
	releaseTicker := time.NewTicker(releaseInterval)
	defer releaseTicker.Stop()
	for {
		if !db.checkpointWithRetry() {
			return
		}
		select {
		case <-releaseTicker.C:
			db.releasePages()
		case <-db.checkpointRequests:
		case task := <-db.maintenanceTasks:
			task.done <- task.run()
		case <-db.closed:
			return
		}
	}
}

// checkpointWithRetry repeats the checkpoint of the frozen memory table, if there is one, until it succeeds. It returns false if the
// store is closed first.
func (db *DB) checkpointWithRetry() bool {
	for {
		err := db.checkpointFrozen()
		if err == nil {
			return true
		}
		slog.Error("store: checkpoint failed, it will be retried", "path", db.path, "err", err)
		select {
		case <-time.After(checkpointRetryDelay):
		case <-db.closed:
			return false
		}
	}
}

// checkpointFrozen writes the frozen memory table, if there is one, to the file.
func (db *DB) checkpointFrozen() error {
	db.mu.RLock()
	table := db.frozen
	db.mu.RUnlock()
	if table == nil {
		return nil
	}
	err := db.writeTable(table)
	db.changeCheckpointState(func() {
		db.checkpointFailed = err != nil
		if err == nil {
			db.frozen = nil
			db.appliedSequence = table.lastSequence
		}
	})
	return err
}

// writeTable writes a memory table to the file.
func (db *DB) writeTable(table *memtable) error {
	if db.injectedFault != nil {
		if err := db.injectedFault(); err != nil {
			return err
		}
	}
	failpoint.Hit("move-before")
	for startKey, done := "", false; !done; {
		nextKey, err := db.checkpointChunk(table, startKey)
		if err != nil {
			return err
		}
		startKey = nextKey
		done = nextKey == ""
	}
	failpoint.Hit("move-after")
	return nil
}

// checkpointChunk writes the entries of a table from startKey on to the file, up to maxCheckpointKeys, in one
// transaction. It returns the key of the next entry. An empty nextKey means that the file now holds the whole table; the
// transaction has then also stored the sequence of the last log record of the table.
//
// The file may safely hold only a part of a table: readers look up the memory table before the file, and the next Open
// replays the log records of the whole table.
func (db *DB) checkpointChunk(table *memtable, startKey string) (nextKey string, err error) {
	err = db.file.Update(func(tx *bolt.Tx) error {
		nextKey, err = db.writeEntries(tx, table, startKey)
		if err != nil || nextKey != "" {
			return err
		}
		return tx.Bucket(metaBucket).Put(appliedKey, encodeUint64(table.lastSequence))
	})
	return nextKey, err
}

func (db *DB) writeEntries(tx *bolt.Tx, table *memtable, startKey string) (nextKey string, err error) {
	written := 0
	table.entries.Ascend(startKey, func(entryKey string, value []byte) bool {
		if written == maxCheckpointKeys {
			nextKey = entryKey
			return false
		}
		written++
		number, key := splitTableKey(entryKey)
		bucket := tx.Bucket(db.buckets[number])
		if value == nil {
			err = bucket.Delete([]byte(key))
		} else {
			err = bucket.Put([]byte(key), addChecksum(key, value))
		}
		return err == nil
	})
	return nextKey, err
}
