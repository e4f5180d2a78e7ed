package durable

import (
	"bytes"
	"errors"

	"github.com/tidwall/btree"
	bolt "go.etcd.io/bbolt"
)

// scanPageSize is how many pairs Scan reads at a time.
const scanPageSize = 256

type pair struct {
	key   []byte
	value []byte
}

// Scan calls visit for the pairs of a bucket in the order of their keys, beginning at the key from, until visit returns
// false. It sees what the present group of updates has written. The bucket must not be a memory bucket. The function
// may read and write by the Tx; of what it writes, Scan sees a part only.
func (tx *Tx) Scan(bucket int, from []byte, visit func(key, value []byte) bool) {
	for {
		page, err := tx.scanPage(bucket, from)
		if err != nil {
			tx.failed = errors.Join(tx.failed, err)
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
		from = append(last, 0) // the least key after it
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

// sortedWrites returns what the group has written to a bucket, in order.
func (tx *Tx) sortedWrites(bucket int) *btree.Map[string, []byte] {
	sorted := &btree.Map[string, []byte]{}
	for joined, value := range tx.writes {
		if number, _ := splitTableKey(joined); number == bucket {
			sorted.Set(joined, value)
		}
	}
	return sorted
}

// tableCursor walks the entries of one bucket in a table.
type tableCursor struct {
	iterator btree.MapIter[string, []byte]
	bucket   int
	valid    bool // it stands on an entry
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

// mergeScan walks tables and the file together. Of a key that several have, the value of the first table counts, and
// that of the file last; a nil value hides the key.
func mergeScan(bucket int, from []byte, tables []*btree.Map[string, []byte], file *bolt.Cursor,
	visit func(key, value []byte) bool) error {
	cursors := make([]*tableCursor, len(tables))
	for i, entries := range tables {
		cursors[i] = newTableCursor(entries, bucket, from)
	}
	fileKey, sealed := file.Seek(from)
	for {
		key, found := leastKey(cursors)
		if fileKey != nil && (!found || string(fileKey) < key) {
			value, err := unseal(fileKey, sealed)
			if err != nil || !visit(bytes.Clone(fileKey), value) {
				return err
			}
			fileKey, sealed = file.Next()
			continue
		}
		if !found {
			return nil
		}
		value := takeValue(cursors, key)
		if fileKey != nil && string(fileKey) == key {
			fileKey, sealed = file.Next()
		}
		if value != nil && !visit([]byte(key), value) {
			return nil
		}
	}
}

func leastKey(cursors []*tableCursor) (least string, found bool) {
	for _, c := range cursors {
		if c.valid && (!found || c.key() < least) {
			least = c.key()
			found = true
		}
	}
	return least, found
}

// takeValue returns the value that the first cursor has for a key, and moves all cursors behind that key.
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
