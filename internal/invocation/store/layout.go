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

// format identifies the current format. It is stored in the file.
const format = "tickets 2"

// The buckets, each with key -> value. IDs and tenants are text. A time is 8 bytes: nanoseconds of Unix time, big-endian.
// In keys, 0 is a zero byte.
const (
	invocationsBucket  = iota // ID -> invocation in CBOR
	bodiesBucket              // ID -> body
	resultsBucket             // ID -> result
	keysBucket                // tenant 0 Idempotency-Key -> ID
	incompleteBucket          // tenant 0 ID -> empty; incomplete invocations, which the program reads at its start
	retentionBucket           // end of retention, ID -> empty; every completed invocation
	deadLettersBucket         // time of completion, ID -> empty
	expiredBucket             // ID -> end of this record, tenant; record of a deleted invocation
	expiredUntilBucket        // end of the record in expiredBucket, ID -> empty
	usageBucket               // 0 tenant -> number of invocations, their bytes (8 bytes each); tenant empty: total of all
	clockBucket               // latestTimeKey -> latest known time; startKey -> start of the latest run of the program
	submittedBucket           // ID -> time of submission; in memory only; invocations in StateSubmitted
)

// buckets are the names under which the buckets are stored, in the order of the constants. They must not change.
var buckets = []string{
	"tickets", "bodies", "results", "keys", "open", "ends", "dead", "expired", "gone", "usage", "clock",
}

// memoryBuckets are the names of the buckets in memory. Their numbers follow those of the stored buckets.
var memoryBuckets = []string{"offered"}

const (
	timeLength  = 8
	usageLength = 16
	startLength = 16 // of the record of a start of the program, without the boot ID
)

// Keys in clockBucket.
var (
	latestTimeKey = []byte("latest")
	startKey      = []byte("start")
)

func idempotencyKey(request *invocation.Request) []byte {
	return []byte(request.Tenant + "\x00" + request.IdempotencyKey)
}

func incompleteKey(inv *invocation.Invocation) []byte { return []byte(inv.Tenant + "\x00" + inv.ID) }

// idOfIncompleteKey returns the ID, which follows the last zero byte.
func idOfIncompleteKey(key []byte) string { return string(key[bytes.LastIndexByte(key, 0)+1:]) }

func usageKey(tenant string) []byte { return []byte("\x00" + tenant) }

// timeKey returns a key that sorts by time, and then by ID.
func timeKey(at time.Time, id string) []byte { return append(encodeTime(at), id...) }

func idOfTimeKey(key []byte) string { return string(key[timeLength:]) }

func encodeTime(at time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()))
}

// decodeTime decodes a time from the first timeLength bytes of data, which must not be shorter.
func decodeTime(data []byte) time.Time {
	return time.Unix(0, int64(binary.BigEndian.Uint64(data)))
}

// encodeExpired returns the record of a deleted invocation for expiredBucket.
func encodeExpired(until time.Time, tenant string) []byte {
	return append(encodeTime(until), tenant...)
}

// encoder encodes times with nanosecond precision. Index keys contain these times and are computed again from the stored
// invocation.
var encoder = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(inv *invocation.Invocation) []byte {
	data, err := encoder.Marshal(inv)
	if err != nil { // not reached: every invocation can be encoded
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
