package durable

import "github.com/tidwall/btree"

// memtable holds changes in memory, in order. A nil value stands for a deleted key.
type memtable struct {
	entries      btree.Map[string, []byte] // by tableKey
	bytes        int64                     // rough size in memory
	lastSequence uint64                    // of the last record of the log that it holds
}

// entryOverhead is roughly what an entry takes in memory beside the bytes of its key and value.
const entryOverhead = 64

func (m *memtable) set(key string, value []byte) {
	old, replaced := m.entries.Set(key, value)
	m.bytes += int64(len(value) - len(old))
	if !replaced {
		m.bytes += int64(len(key)) + entryOverhead
	}
}

// tableKey returns the key of an entry: a byte for the bucket, then the key in that bucket.
func tableKey(bucket int, key []byte) string {
	joined := make([]byte, 0, len(key)+1)
	joined = append(joined, byte(bucket))
	return string(append(joined, key...))
}

func splitTableKey(joined string) (bucket int, key string) {
	return int(joined[0]), joined[1:]
}
