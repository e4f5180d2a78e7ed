package durable

import (
	"errors"
	"log/slog"
	"time"
)

// update is a change that is queued for the writer.
type update struct {
	change func(*Tx) error
	err    error      // of change; used only by the writer
	done   chan error // receives the result; buffered, so the writer never blocks on it
}

// runWriter runs the writer: until the store is closed, it carries out updates, freezes the active memory table for
// checkpoints, and removes log segments that are no longer needed.
func (db *DB) runWriter() {
	defer close(db.writerDone)
	ticker := time.NewTicker(db.options.CheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case u := <-db.updates:
			db.waitForBufferSpace()
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

// releaseLog removes the log segments whose records are all in the file.
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

// commitGroup carries out an update and those queued behind it as one group, and writes one log record for the group. An update that
// fails gets its error once the group is written: it may have failed because of a write of the group. If the group is not written,
// all its updates fail with that error.
func (db *DB) commitGroup(first *update) {
	tx := &Tx{db: db, writes: map[string][]byte{}}
	var applied, failed []*update
	for u := first; u != nil; u = db.nextInGroup(tx, len(applied)) {
		if u.err = db.applyUpdate(tx, u); u.err != nil {
			failed = append(failed, u)
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
	for _, u := range failed {
		if err != nil {
			u.err = err
		}
		u.done <- u.err
	}
}

// nextInGroup returns the next update of a group to which applied updates belong so far. It returns nil if the group is
// complete: it has reached its maximum size, or no update is queued.
func (db *DB) nextInGroup(tx *Tx, applied int) *update {
	maxBytes := int(db.options.SegmentBytes) / 4
	if applied >= db.options.MaxGroupUpdates || tx.bytes >= maxBytes {
		return nil
	}
	select {
	case u := <-db.updates:
		return u
	default:
		return nil
	}
}

// applyUpdate carries out an update in the transaction of its group. If the update fails, its writes are rolled back.
func (db *DB) applyUpdate(tx *Tx, u *update) error {
	tx.beginUpdate()
	if err := db.checkBufferedBytes(); err != nil {
		return err
	}
	err := u.change(tx)
	err = errors.Join(err, tx.err)
	if err != nil {
		tx.rollback()
	}
	return err
}

// publish writes the changes of a group to the log and then makes them visible to readers.
func (db *DB) publish(writes map[string][]byte) error {
	if len(writes) == 0 {
		return nil
	}
	db.recordBuffer = appendGroup(db.recordBuffer[:0], writes, len(db.buckets))
	logged := len(db.recordBuffer) > 0
	if logged {
		if err := db.log.Append(db.recordBuffer); err != nil {
			return err
		}
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	for key, value := range writes {
		bucket, _ := splitTableKey(key)
		switch {
		case !db.isMemoryBucket(bucket):
			db.active.set(key, value)
		case value == nil:
			db.memoryBuckets.entries.Delete(key)
		default:
			db.memoryBuckets.entries.Set(key, value)
		}
	}
	if logged {
		db.active.lastSequence = db.log.NextSequence() - 1
	}
	return nil
}

// waitForBufferSpace waits for checkpoints while the changes in memory exceed MaxBufferedBytes, for MaxBufferWait at most: the
// checkpointer may be busy with a maintenance task for long. It stops waiting if the latest checkpoint failed.
func (db *DB) waitForBufferSpace() {
	timeout := time.NewTimer(db.options.MaxBufferWait)
	defer timeout.Stop()
	for {
		failed, changed := db.checkpointState() // before the buffer is checked, so that no change is missed
		if db.checkBufferedBytes() == nil || failed {
			return
		}
		db.freeze()
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-db.closed:
			return
		}
	}
}

// checkpointState reports whether the latest checkpoint failed. The channel is closed when the state of the checkpoints changes.
func (db *DB) checkpointState() (failed bool, changed <-chan struct{}) {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return db.checkpointFailed, db.checkpoints
}

// checkBufferedBytes returns ErrCheckpointBehind if the changes in memory exceed MaxBufferedBytes.
func (db *DB) checkBufferedBytes() error {
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
