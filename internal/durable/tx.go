package durable

import (
	"errors"

	bolt "go.etcd.io/bbolt"
)

// Tx is a change under way (in Update) or a read of the store (in View). It is valid only inside the function that got
// it, and is used by one goroutine. Buckets are named by their numbers: those that Open names come first, then the
// memory buckets.
type Tx struct {
	db     *DB
	writes map[string][]byte // of the whole group, by tableKey; nil value: deleted
	bytes  int               // keys and values that the group has written
	undo   []undoEntry       // of the present update
	failed error             // a value that the present update has read or written cannot be used
}

// undoEntry is what the group had written to a key before the present update.
type undoEntry struct {
	key     string
	value   []byte
	written bool
}

var errInvalidKey = errors.New("a key is empty or too long")

func (tx *Tx) beginUpdate() {
	tx.undo = tx.undo[:0]
	tx.failed = nil
}

// rollback takes back all that the present update has written.
func (tx *Tx) rollback() {
	for i := len(tx.undo) - 1; i >= 0; i-- {
		before := tx.undo[i]
		if before.written {
			tx.writes[before.key] = before.value
		} else {
			delete(tx.writes, before.key)
		}
	}
	tx.undo = tx.undo[:0]
}

// Put sets the value of a key. The value must not be changed afterwards. A key that is empty or longer than bbolt
// allows makes the update fail.
func (tx *Tx) Put(bucket int, key, value []byte) {
	if value == nil {
		value = []byte{}
	}
	tx.set(bucket, key, value)
}

// Delete removes a key, if it is there.
func (tx *Tx) Delete(bucket int, key []byte) { tx.set(bucket, key, nil) }

func (tx *Tx) set(bucket int, key, value []byte) {
	if len(key) == 0 || len(key) > bolt.MaxKeySize { // no checkpoint would ever succeed with such a key
		tx.failed = errors.Join(tx.failed, errInvalidKey)
		return
	}
	joined := tableKey(bucket, key)
	before, written := tx.writes[joined]
	tx.undo = append(tx.undo, undoEntry{key: joined, value: before, written: written})
	tx.writes[joined] = value
	tx.bytes += len(joined) + len(value)
}

// Get returns the value of a key, or nil if there is none. The value must not be changed, and stays valid after the Tx.
// If it is damaged in the file, Get returns nil, and the Update or View returns ErrDamaged, wrapped.
func (tx *Tx) Get(bucket int, key []byte) []byte {
	joined := tableKey(bucket, key)
	if value, ok := tx.writes[joined]; ok {
		return value
	}
	tx.db.mu.RLock()
	defer tx.db.mu.RUnlock()
	if tx.db.isVolatile(bucket) {
		value, _ := tx.db.volatile.entries.Get(joined)
		return value
	}
	for _, table := range tx.db.memtables() {
		if value, ok := table.entries.Get(joined); ok {
			return value
		}
	}
	value, err := tx.db.readFile(bucket, key)
	tx.failed = errors.Join(tx.failed, err)
	return value
}

// memtables returns the memory tables of the buckets in the file, the newest first. The caller holds the lock.
func (db *DB) memtables() []*memtable {
	if db.frozen == nil {
		return []*memtable{db.active}
	}
	return []*memtable{db.active, db.frozen}
}

// readFile reads a value from the file; nil: there is none. The caller holds the lock.
func (db *DB) readFile(bucket int, key []byte) (value []byte, err error) {
	err = db.file.View(func(tx *bolt.Tx) error {
		value, err = unseal(key, tx.Bucket(db.buckets[bucket]).Get(key))
		return err
	})
	return value, err
}
