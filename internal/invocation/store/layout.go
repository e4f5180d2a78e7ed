package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// format is the name of the present format in the file.
const format = "tickets 2"

// The buckets. IDs and tenants are text; times are 8 bytes, big-endian nanoseconds of Unix time; 0 is a zero byte.
const (
	invocationsBucket  = iota // ID -> invocation in CBOR
	bodiesBucket              // ID -> body
	resultsBucket             // ID -> result
	keysBucket                // tenant 0 Idempotency-Key -> ID
	incompleteBucket          // tenant 0 ID -> empty; all that a start of the program reads
	retentionBucket           // end of retention, ID -> empty; completed invocations
	deadLettersBucket         // time of completion, ID -> empty
	expiredBucket             // ID -> end of this record, tenant; the bare fact that there was an invocation
	expiredUntilBucket        // end of the record in expiredBucket, ID -> empty
	usageBucket               // 0 tenant -> number of invocations, bytes (8 bytes each); all tenants under the empty name
	clockBucket               // latestTimeKey -> latest time known; startKey -> start of the last run
	submittedBucket           // ID -> time of submission; in memory only, for runs whose start is not stored
)

// buckets are the stored names of the buckets, in the order of their numbers. They must not change.
var buckets = []string{
	"tickets", "bodies", "results", "keys", "open", "ends", "dead", "expired", "gone", "usage", "clock",
}

// memoryBuckets follow the stored ones in number.
var memoryBuckets = []string{"offered"}

const (
	timeLength  = 8
	usageLength = 16
	startLength = 16 // of a run's start without the identity of the boot
)

// Keys of the clock's bucket.
var (
	latestTimeKey = []byte("latest")
	startKey      = []byte("start")
)

func idempotencyKey(request *invocation.Request) []byte {
	return []byte(request.Tenant + "\x00" + request.IdempotencyKey)
}

func incompleteKey(inv *invocation.Invocation) []byte { return []byte(inv.Tenant + "\x00" + inv.ID) }

// idOfIncompleteKey returns what follows the last zero byte.
func idOfIncompleteKey(key []byte) string { return string(key[bytes.LastIndexByte(key, 0)+1:]) }

func usageKey(tenant string) []byte { return []byte("\x00" + tenant) }

// timeKey returns a key that sorts by time.
func timeKey(at time.Time, id string) []byte { return append(encodeTime(at), id...) }

func idOfTimeKey(key []byte) string { return string(key[timeLength:]) }

func encodeTime(at time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()))
}

// decodeTime reads a time from the front of data, which must be long enough.
func decodeTime(data []byte) time.Time {
	return time.Unix(0, int64(binary.BigEndian.Uint64(data)))
}

// encodeExpired returns the record that an invocation of a tenant has expired.
func encodeExpired(until time.Time, tenant string) []byte {
	return append(encodeTime(until), tenant...)
}

// encoder writes times exact to the nanosecond: they are parts of the indexes' keys, which are made again from the
// stored invocation.
var encoder = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(inv *invocation.Invocation) []byte {
	data, err := encoder.Marshal(inv)
	if err != nil { // every invocation can be encoded
		panic(err)
	}
	return data
}

func decode(data []byte) (*invocation.Invocation, error) {
	inv := &invocation.Invocation{}
	if err := cbor.Unmarshal(data, inv); err != nil {
		return nil, fmt.Errorf("%w: decode ticket: %v", durable.ErrDamaged, err)
	}
	return inv, nil
}
