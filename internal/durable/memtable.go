package durable

import "github.com/tidwall/btree"

// memtable holds changes in memory, ordered by bucket and key. A nil value marks a deleted key.
type memtable struct {
	entries      btree.Map[string, []byte] // by tableKey
	bytes        int64                     // approximate size in memory
	lastSequence uint64                    // sequence of the last log record in this table or in those before it
}

// entryOverhead is the approximate memory of an entry, in bytes, apart from its key and value.
const entryOverhead = 64

func (m *memtable) set(key string, value []byte) {
	old, replaced := m.entries.Set(key, value)
	m.bytes += int64(len(value) - len(old))
	if !replaced {
		m.bytes += int64(len(key)) + entryOverhead
	}
}

// tableKey returns the key of an entry in a memory table: one byte for the bucket number, then the key in that bucket.
func tableKey(bucket int, key []byte) string {
	entryKey := make([]byte, 0, len(key)+1)
	entryKey = append(entryKey, byte(bucket))
	return string(append(entryKey, key...))
}

func splitTableKey(entryKey string) (bucket int, key string) {
	return int(entryKey[0]), entryKey[1:]
}
