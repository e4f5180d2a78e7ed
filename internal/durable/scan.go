package durable

import (
	"bytes"
	"errors"

	"github.com/tidwall/btree"
	bolt "go.etcd.io/bbolt"
)

// scanPageSize is the number of key-value pairs that Scan reads at a time.
const scanPageSize = 256

type pair struct {
	key   []byte
	value []byte
}

// Scan calls visit for the pairs of a bucket in the order of their keys, beginning at the key from, until visit returns
// false. The pairs include what the current group of updates has written. The bucket must not be a memory bucket. visit
// may read and write through the Tx. Scan reads up to scanPageSize pairs in advance, so visit sees only a part of its own
// writes.
func (tx *Tx) Scan(bucket int, from []byte, visit func(key, value []byte) bool) {
	for {
		page, err := tx.scanPage(bucket, from)
		if err != nil {
			tx.err = errors.Join(tx.err, err)
			return
		}
		for _, p := range page {
			if !visit(p.key, p.value) {
				return
			}
		}
		if len(page) < scanPageSize {
			return
		}
		last := page[len(page)-1].key
		from = append(last, 0) // the smallest key greater than last
	}
}

func (tx *Tx) scanPage(bucket int, from []byte) ([]pair, error) {
	var page []pair
	tx.db.mu.RLock()
	defer tx.db.mu.RUnlock()
	entries := []*btree.Map[string, []byte]{tx.sortedWrites(bucket)}
	for _, table := range tx.db.memtables() {
		entries = append(entries, &table.entries)
	}
	err := tx.db.file.View(func(file *bolt.Tx) error {
		cursor := file.Bucket(tx.db.buckets[bucket]).Cursor()
		return mergeScan(bucket, from, entries, cursor, func(key, value []byte) bool {
			page = append(page, pair{key, value})
			return len(page) < scanPageSize
		})
	})
	return page, err
}

// sortedWrites returns what the current group of updates has written to a bucket, in the order of the keys.
func (tx *Tx) sortedWrites(bucket int) *btree.Map[string, []byte] {
	sorted := &btree.Map[string, []byte]{}
	for entryKey, value := range tx.writes {
		if number, _ := splitTableKey(entryKey); number == bucket {
			sorted.Set(entryKey, value)
		}
	}
	return sorted
}

// tableCursor iterates over the entries of one bucket in a memory table.
type tableCursor struct {
	iterator btree.MapIter[string, []byte]
	bucket   int
	valid    bool // the iterator is at an entry of the bucket
}

func newTableCursor(entries *btree.Map[string, []byte], bucket int, from []byte) *tableCursor {
	c := &tableCursor{iterator: entries.Iter(), bucket: bucket}
	c.valid = c.iterator.Seek(tableKey(bucket, from)) && c.inBucket()
	return c
}

func (c *tableCursor) inBucket() bool {
	number, _ := splitTableKey(c.iterator.Key())
	return number == c.bucket
}

func (c *tableCursor) key() string {
	_, key := splitTableKey(c.iterator.Key())
	return key
}

func (c *tableCursor) next() { c.valid = c.iterator.Next() && c.inBucket() }

// mergeScan merges the entries of the tables and of the file in the order of their keys. If several tables have a key,
// the value of the first of them is used; the value in the file is used only if no table has the key. A nil value in a
// table hides the key.
func mergeScan(bucket int, from []byte, tables []*btree.Map[string, []byte], file *bolt.Cursor,
	visit func(key, value []byte) bool) error {
	cursors := make([]*tableCursor, len(tables))
	for i, entries := range tables {
		cursors[i] = newTableCursor(entries, bucket, from)
	}
	fileKey, stored := file.Seek(from)
	for {
		key, found := smallestKey(cursors)
		if fileKey != nil && (!found || string(fileKey) < key) {
			value, err := verifyChecksum(fileKey, stored)
			if err != nil || !visit(bytes.Clone(fileKey), value) {
				return err
			}
			fileKey, stored = file.Next()
			continue
		}
		if !found {
			return nil
		}
		value := takeValue(cursors, key)
		if fileKey != nil && string(fileKey) == key {
			fileKey, stored = file.Next()
		}
		if value != nil && !visit([]byte(key), value) {
			return nil
		}
	}
}

func smallestKey(cursors []*tableCursor) (smallest string, found bool) {
	for _, c := range cursors {
		if c.valid && (!found || c.key() < smallest) {
			smallest = c.key()
			found = true
		}
	}
	return smallest, found
}

// takeValue returns the value of a key from the first cursor that has it, and advances all cursors past that key.
func takeValue(cursors []*tableCursor, key string) []byte {
	var value []byte
	taken := false
	for _, c := range cursors {
		if !c.valid || c.key() != key {
			continue
		}
		if !taken {
			value = c.iterator.Value()
			taken = true
		}
		c.next()
	}
	return value
}
