package durable

import (
	"errors"

	bolt "go.etcd.io/bbolt"
)

// Tx is a change in progress (in Update) or a read of the store (in View). It is valid only until the function that
// receives it returns, and is not safe for concurrent use. Buckets are identified by numbers: first those passed to Open,
// in that order, then the memory buckets.
type Tx struct {
	db     *DB
	writes map[string][]byte // writes of the whole group, by tableKey; nil value: deleted
	bytes  int               // size of the keys and values that the group has written, including those rolled back
	undo   []undoEntry       // what rollback restores for the current update
	err    error             // why the current update or view fails: it read a damaged value or wrote an invalid key
}

// undoEntry is what the group had written to a key before a write of the current update.
type undoEntry struct {
	key     string
	value   []byte
	written bool // whether the group had written to the key
}

var errInvalidKey = errors.New("a key is empty or too long")

func (tx *Tx) beginUpdate() {
	tx.undo = tx.undo[:0]
	tx.err = nil
}

// rollback undoes all writes of the current update.
func (tx *Tx) rollback() {
	for i := len(tx.undo) - 1; i >= 0; i-- {
		previous := tx.undo[i]
		if previous.written {
			tx.writes[previous.key] = previous.value
		} else {
			delete(tx.writes, previous.key)
		}
	}
	tx.undo = tx.undo[:0]
}

// Put sets the value of a key. The caller must not change the value afterwards. The update fails if the key is empty or
// longer than bbolt allows.
func (tx *Tx) Put(bucket int, key, value []byte) {
	if value == nil {
		value = []byte{}
	}
	tx.set(bucket, key, value)
}

// Delete removes a key, if it exists.
func (tx *Tx) Delete(bucket int, key []byte) { tx.set(bucket, key, nil) }

func (tx *Tx) set(bucket int, key, value []byte) {
	if len(key) == 0 || len(key) > bolt.MaxKeySize { // every checkpoint with such a key would fail
		tx.err = errors.Join(tx.err, errInvalidKey)
		return
	}
	entryKey := tableKey(bucket, key)
	previous, written := tx.writes[entryKey]
	tx.undo = append(tx.undo, undoEntry{key: entryKey, value: previous, written: written})
	tx.writes[entryKey] = value
	tx.bytes += len(entryKey) + len(value)
}

// Get returns the value of a key, or nil if the key does not exist. The caller must not change the value, which stays
// valid after the Tx. If the value is damaged in the file, Get returns nil, and the Update or View returns an error that
// wraps ErrDamaged.
func (tx *Tx) Get(bucket int, key []byte) []byte {
	entryKey := tableKey(bucket, key)
	if value, ok := tx.writes[entryKey]; ok {
		return value
	}
	tx.db.mu.RLock()
	defer tx.db.mu.RUnlock()
	if tx.db.isMemoryBucket(bucket) {
		value, _ := tx.db.memoryBuckets.entries.Get(entryKey)
		return value
	}
	for _, table := range tx.db.memtables() {
		if value, ok := table.entries.Get(entryKey); ok {
			return value
		}
	}
	value, err := tx.db.readFile(bucket, key)
	tx.err = errors.Join(tx.err, err)
	return value
}

// memtables returns the memory tables of the buckets in the file, the newest first. The caller holds db.mu.
func (db *DB) memtables() []*memtable {
	if db.frozen == nil {
		return []*memtable{db.active}
	}
	return []*memtable{db.active, db.frozen}
}

// readFile reads a value from the file. It returns nil if the key does not exist. The caller holds db.mu.
func (db *DB) readFile(bucket int, key []byte) (value []byte, err error) {
	err = db.file.View(func(tx *bolt.Tx) error {
		value, err = verifyChecksum(key, tx.Bucket(db.buckets[bucket]).Get(key))
		return err
	})
	return value, err
}
