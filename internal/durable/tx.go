package durable

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/tidwall/btree"
	bolt "go.etcd.io/bbolt"
)

// Tx is a change under way, or (in View) a look at the store. It is valid only inside the function that got it.
type Tx struct {
	db     *DB
	writes map[string][]byte // of the group
	bytes  int
	undo   []undo // of the present change
	failed error  // what was read is damaged
}

type undo struct {
	key string
	old []byte
	had bool
}

func (tx *Tx) mark() { tx.undo, tx.failed = tx.undo[:0], nil }

func (tx *Tx) rollback() {
	for i := len(tx.undo) - 1; i >= 0; i-- {
		if u := tx.undo[i]; u.had {
			tx.writes[u.key] = u.old
		} else {
			delete(tx.writes, u.key)
		}
	}
	tx.undo = tx.undo[:0]
}

func join(bucket int, key []byte) string {
	return string(append(append(make([]byte, 0, len(key)+1), byte(bucket)), key...))
}

var errKey = errors.New("a key is empty or too long")

// Put sets a key. The value must not be changed afterwards.
func (tx *Tx) Put(bucket int, key, value []byte) {
	if value == nil {
		value = []byte{}
	}
	tx.set(bucket, key, value)
}

// Delete removes a key, if it is there.
func (tx *Tx) Delete(bucket int, key []byte) { tx.set(bucket, key, nil) }

func (tx *Tx) set(bucket int, key, value []byte) {
	if len(key) == 0 || len(key) > bolt.MaxKeySize { // the file would not take it, and all after it would wait for ever
		tx.failed = errors.Join(tx.failed, errKey)
		return
	}
	k := join(bucket, key)
	old, had := tx.writes[k]
	tx.writes[k] = value
	tx.undo = append(tx.undo, undo{k, old, had})
	tx.bytes += len(k) + len(value)
}

// Get reads a key; nil: there is none. The value must not be changed, and stays valid. If it is damaged on the disk,
// Get returns nil and the Tx comes to nothing.
func (tx *Tx) Get(bucket int, key []byte) []byte {
	k := join(bucket, key)
	if v, ok := tx.writes[k]; ok {
		return v
	}
	tx.db.mu.RLock()
	defer tx.db.mu.RUnlock()
	if bucket >= len(tx.db.buckets) {
		v, _ := tx.db.passing.keys.Get(k)
		return v
	}
	if v, ok := tx.db.active.keys.Get(k); ok {
		return v
	}
	if tx.db.frozen != nil {
		if v, ok := tx.db.frozen.keys.Get(k); ok {
			return v
		}
	}
	var v []byte
	err := tx.db.file.View(func(file *bolt.Tx) (err error) {
		v, err = unseal(key, file.Bucket(tx.db.buckets[bucket]).Get(key))
		return err
	})
	tx.failed = errors.Join(tx.failed, err)
	return v
}

// page is how many keys Scan takes in hand at a time.
const page = 256

// Scan calls each for the keys of a bucket, none of the volatile ones, from a key on, in order, until it returns
// false. What the present group
// of changes has written is seen too; each may read and write.
func (tx *Tx) Scan(bucket int, from []byte, each func(key, value []byte) bool) {
	type pair struct{ k, v []byte }
	for {
		var some []pair
		tx.db.mu.RLock()
		layers := []*btree.Map[string, []byte]{tx.sorted(bucket), &tx.db.active.keys}
		if tx.db.frozen != nil {
			layers = append(layers, &tx.db.frozen.keys)
		}
		err := tx.db.file.View(func(file *bolt.Tx) error {
			return merge(bucket, from, layers, file.Bucket(tx.db.buckets[bucket]).Cursor(), func(k, v []byte) bool {
				some = append(some, pair{k, v})
				return len(some) < page
			})
		})
		tx.db.mu.RUnlock()
		if err != nil {
			tx.failed = errors.Join(tx.failed, err)
			return
		}
		for _, p := range some {
			if !each(p.k, p.v) {
				return
			}
		}
		if len(some) < page {
			return
		}
		from = append(some[page-1].k, 0)
	}
}

// sorted is what the group has written to a bucket, in order.
func (tx *Tx) sorted(bucket int) *btree.Map[string, []byte] {
	m := &btree.Map[string, []byte]{}
	for k, v := range tx.writes {
		if int(k[0]) == bucket {
			m.Set(k, v)
		}
	}
	return m
}

// merge walks layers and file together; of one key, the first layer that has it counts.
func merge(bucket int, from []byte, layers []*btree.Map[string, []byte], c *bolt.Cursor,
	each func(k, v []byte) bool) error {
	type head struct {
		iter btree.MapIter[string, []byte]
		ok   bool
	}
	heads := make([]head, len(layers))
	start := join(bucket, from)
	for i, l := range layers {
		heads[i].iter = l.Iter()
		heads[i].ok = heads[i].iter.Seek(start) && heads[i].iter.Key()[0] == byte(bucket)
	}
	k, v := c.Seek(from)
	for {
		var least string
		found := false
		for i := range heads {
			if h := &heads[i]; h.ok && (!found || h.iter.Key()[1:] < least) {
				least, found = h.iter.Key()[1:], true
			}
		}
		if k != nil && (!found || string(k) < least) {
			value, err := unseal(k, v)
			if err != nil || !each(bytes.Clone(k), value) {
				return err
			}
			k, v = c.Next()
			continue
		}
		if !found {
			return nil
		}
		var value []byte
		taken := false
		for i := range heads {
			h := &heads[i]
			if !h.ok || h.iter.Key()[1:] != least {
				continue
			}
			if !taken {
				value, taken = h.iter.Value(), true
			}
			h.ok = h.iter.Next() && h.iter.Key()[0] == byte(bucket)
		}
		if k != nil && string(k) == least {
			k, v = c.Next()
		}
		if value != nil && !each([]byte(least), value) {
			return nil
		}
	}
}

// View looks at the store as it stands, beside the writer.
func (db *DB) View(look func(*Tx) error) error {
	select {
	case <-db.closed:
		return ErrClosed
	default:
		tx := &Tx{db: db}
		return errors.Join(look(tx), tx.failed)
	}
}

// In the file each value bears a check of itself and its key: bbolt has none for its pages.
func seal(key string, v []byte) []byte {
	sum := crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, v)
	return binary.BigEndian.AppendUint32(bytes.Clone(v), sum)
}

func unseal(key, v []byte) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	n := len(v) - 4
	if n < 0 || crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, v[:n]) != binary.BigEndian.Uint32(v[n:]) {
		return nil, fmt.Errorf("%w: the value of %q does not bear its check", ErrDamaged, key)
	}
	return append([]byte{}, v[:n]...), nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A group is: for each change its bucket, the key's length and the value's length plus one (0: the key is gone),
// the lengths as unsigned varints, then both.
func encodeGroup(out []byte, writes map[string][]byte, buckets int) []byte {
	for k, v := range writes {
		if int(k[0]) >= buckets {
			continue
		}
		out = append(out, k[0])
		out = binary.AppendUvarint(out, uint64(len(k)-1))
		if v == nil {
			out = binary.AppendUvarint(out, 0)
		} else {
			out = binary.AppendUvarint(out, uint64(len(v))+1)
		}
		out = append(append(out, k[1:]...), v...)
	}
	return out
}

func decodeGroup(p []byte, buckets int, set func(k string, v []byte)) error {
	bad := fmt.Errorf("%w: a record of the log holds no changes", ErrDamaged)
	for len(p) > 0 {
		bucket := p[0]
		keyLen, n := binary.Uvarint(p[1:])
		if n <= 0 || int(bucket) >= buckets {
			return bad
		}
		p = p[1+n:]
		valueLen, n := binary.Uvarint(p)
		if n <= 0 {
			return bad
		}
		p = p[n:]
		size := uint64(0)
		if valueLen > 0 {
			size = valueLen - 1
		}
		if keyLen > uint64(len(p)) || size > uint64(len(p))-keyLen {
			return bad
		}
		key := join(int(bucket), p[:keyLen])
		var value []byte
		if valueLen > 0 {
			value = append([]byte{}, p[keyLen:keyLen+size]...)
		}
		p = p[keyLen+size:]
		set(key, value)
	}
	return nil
}

func number(p []byte) uint64 {
	if len(p) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(p)
}

func bytesOf(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
