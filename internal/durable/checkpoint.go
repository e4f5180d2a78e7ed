package durable

import (
	"log/slog"
	"time"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/failpoint"
)

const (
	// checkpointRetryDelay is the pause after a failed checkpoint.
	checkpointRetryDelay = time.Second

	// maxCheckpointKeys is how many keys are written in one transaction of bbolt, which holds a copy of every page
	// that it changes.
	maxCheckpointKeys = 4096
)

// freeze hands the active memory table to the checkpointer, unless one is on its way or the table is empty.
func (db *DB) freeze() {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.frozen != nil || db.active.entries.Len() == 0 {
		return
	}
	db.frozen = db.active
	db.active = &memtable{lastSequence: db.frozen.lastSequence}
	signal(db.checkpoint)
}

// signal sends to a channel with room for one, unless a signal waits there already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runCheckpointer is the checkpointer. It ends when the store is closed.
func (db *DB) runCheckpointer() {
	releaseTicker := time.NewTicker(releaseInterval)
	defer releaseTicker.Stop()
	for {
		select {
		case <-releaseTicker.C:
			db.releasePages()
		case <-db.checkpoint:
			if !db.checkpointWithRetry() {
				return
			}
		case task := <-db.maintenance:
			task.done <- task.run()
		case <-db.closed:
			return
		}
	}
}

// checkpointWithRetry repeats the checkpoint until it succeeds. It returns false if the store is closed before.
func (db *DB) checkpointWithRetry() bool {
	for {
		err := db.checkpointFrozen()
		db.mu.Lock()
		db.checkpointFailed = err != nil
		db.mu.Unlock()
		signal(db.checkpointDone)
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
	failpoint.Hit("move-before")
	for from, done := "", false; !done; {
		next, err := db.checkpointPart(table, from)
		if err != nil {
			return err
		}
		from = next
		done = next == ""
	}
	failpoint.Hit("move-after")
	db.mu.Lock()
	db.frozen = nil
	db.appliedSequence = table.lastSequence
	db.mu.Unlock()
	return nil
}

// checkpointPart writes entries from a key on to the file, in one transaction. It returns the key to go on with;
// empty: the table is complete, and the file says so.
//
// It does no harm that the file holds a part of a table: readers look at the table first, and the next start replays
// all of it.
func (db *DB) checkpointPart(table *memtable, from string) (next string, err error) {
	err = db.file.Update(func(tx *bolt.Tx) error {
		next, err = db.writeEntries(tx, table, from)
		if err != nil || next != "" {
			return err
		}
		return tx.Bucket(metaBucket).Put(appliedKey, encodeUint64(table.lastSequence))
	})
	return next, err
}

func (db *DB) writeEntries(tx *bolt.Tx, table *memtable, from string) (next string, err error) {
	written := 0
	table.entries.Ascend(from, func(joined string, value []byte) bool {
		if written == maxCheckpointKeys {
			next = joined
			return false
		}
		written++
		number, key := splitTableKey(joined)
		bucket := tx.Bucket(db.buckets[number])
		if value == nil {
			err = bucket.Delete([]byte(key))
		} else {
			err = bucket.Put([]byte(key), seal(key, value))
		}
		return err == nil
	})
	return next, err
}
