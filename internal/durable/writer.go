package durable

import (
	"errors"
	"log/slog"
	"time"
)

// update is a change that waits for the writer.
type update struct {
	change func(*Tx) error
	done   chan error // takes the result; it has room for it
}

// runWriter is the writer. It ends when the store is closed.
func (db *DB) runWriter() {
	defer close(db.writerDone)
	ticker := time.NewTicker(db.options.CheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case u := <-db.updates:
			db.waitForCheckpoint()
			db.commitGroup(u)
		case <-ticker.C:
			db.freeze()
			db.releaseLog()
		case <-db.closed:
			return
		}
		if db.activeBytes() >= db.options.CheckpointBytes {
			db.freeze()
		}
	}
}

// releaseLog removes the segments of the log whose records are all in the file.
func (db *DB) releaseLog() {
	db.mu.RLock()
	applied := db.appliedSequence
	db.mu.RUnlock()
	if err := db.log.Release(applied); err != nil {
		slog.Warn("store: a log segment could not be removed", "err", err)
	}
}

func (db *DB) activeBytes() int64 {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return db.active.bytes
}

// commitGroup carries out an update and those that wait behind it, with one record of the log.
func (db *DB) commitGroup(first *update) {
	tx := &Tx{db: db, writes: map[string][]byte{}}
	var applied []*update
	for u := first; u != nil; u = db.nextOfGroup(tx, len(applied)) {
		if err := db.apply(tx, u); err != nil {
			u.done <- err
			continue
		}
		applied = append(applied, u)
	}
	err := db.publish(tx.writes)
	if err != nil && db.options.OnRollback != nil {
		db.options.OnRollback()
	}
	for _, u := range applied {
		u.done <- err
	}
}

// nextOfGroup returns the next update that joins a group; nil: the group is complete.
func (db *DB) nextOfGroup(tx *Tx, applied int) *update {
	maxBytes := int(db.options.SegmentBytes) / 4
	if applied >= db.options.MaxBatch || tx.bytes >= maxBytes {
		return nil
	}
	select {
	case u := <-db.updates:
		return u
	default:
		return nil
	}
}

// apply lets an update write to the group's transaction. If it fails, it leaves nothing behind.
func (db *DB) apply(tx *Tx, u *update) error {
	tx.beginUpdate()
	if err := db.checkBuffered(); err != nil {
		return err
	}
	err := u.change(tx)
	err = errors.Join(err, tx.failed)
	if err != nil {
		tx.rollback()
	}
	return err
}

// publish writes the changes of a group to the log and then lets readers see them.
func (db *DB) publish(writes map[string][]byte) error {
	if len(writes) == 0 {
		return nil
	}
	db.record = appendGroup(db.record[:0], writes, len(db.buckets))
	logged := len(db.record) > 0
	if logged {
		if err := db.log.Append(db.record); err != nil {
			return err
		}
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	for key, value := range writes {
		bucket, _ := splitTableKey(key)
		switch {
		case !db.isVolatile(bucket):
			db.active.set(key, value)
		case value == nil:
			db.volatile.entries.Delete(key)
		default:
			db.volatile.entries.Set(key, value)
		}
	}
	if logged {
		db.active.lastSequence = db.log.Next() - 1
	}
	return nil
}

// waitForCheckpoint waits for a checkpoint while too much is in memory. It does not wait once checkpoints fail.
func (db *DB) waitForCheckpoint() {
	for db.checkBuffered() != nil {
		db.freeze()
		db.mu.RLock()
		failed := db.checkpointFailed
		db.mu.RUnlock()
		if failed {
			return
		}
		select {
		case <-db.checkpointDone:
		case <-db.closed:
			return
		}
	}
}

// checkBuffered returns ErrCheckpointBehind while too much is in memory.
func (db *DB) checkBuffered() error {
	db.mu.RLock()
	defer db.mu.RUnlock()
	buffered := db.active.bytes
	if db.frozen != nil {
		buffered += db.frozen.bytes
	}
	if buffered > db.options.MaxBufferedBytes {
		return ErrCheckpointBehind
	}
	return nil
}
