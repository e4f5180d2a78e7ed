package store

import (
	"encoding/json"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// The buckets of the first format, which stored invocations as JSON in a bbolt file.
var (
	v1Invocations = []byte("tickets")
	v1Keys        = []byte("keys")
	v1Ends        = []byte("ends")
	v1Expired     = []byte("expired")

	// laterFormatBucket exists in every file in a later format, and in no file in the first.
	laterFormatBucket = []byte("kitefall")
)

const (
	// v1Retention is the retention of migrated completed invocations, because the first format did not store one.
	v1Retention = 24 * time.Hour

	// noLimit is a MaxInvocations that is never reached.
	noLimit = 1 << 62
)

// v1Outcomes maps the outcome names of the first format to outcomes.
var v1Outcomes = map[string]invocation.Outcome{
	"":         invocation.OutcomeNone,
	"served":   invocation.OutcomeServed,
	"refused":  invocation.OutcomeRejected,
	"failed":   invocation.OutcomeFailed,
	"late":     invocation.OutcomeDeadlineExceeded,
	"given up": invocation.OutcomeCancelled,
}

// v1Invocation is an invocation as the first format stored it, under the JSON names below.
type v1Invocation struct {
	ID             string    `json:"ID"`
	Tenant         string    `json:"Tenant"`
	IdempotencyKey string    `json:"Key"`
	Function       string    `json:"Name"`
	Fingerprint    []byte    `json:"Fingerprint"`
	Body           []byte    `json:"Body"`
	Expires        time.Time `json:"Deadline"`
	CreatedAt      time.Time `json:"Created"`
	Started        bool      `json:"MayRun"`
	Outcome        string    `json:"End"`
	CompletedAt    time.Time `json:"Ended"`
	MayHaveRun     bool      `json:"MayHaveRun"`
	Result         []byte    `json:"Result"`
	RetryAt        time.Time `json:"RetryAt"`
}

func hasV1Buckets(tx *bolt.Tx) bool {
	return tx.Bucket(laterFormatBucket) == nil && tx.Bucket(v1Invocations) != nil && tx.Bucket(v1Ends) != nil
}

// importV1 imports all invocations and records of expired ones from a file in the first format. It returns the number of
// invocations read.
func (s *Store) importV1(tx *bolt.Tx, path string) (imported int, err error) {
	err = tx.Bucket(v1Invocations).ForEach(func(_, data []byte) error {
		old := &v1Invocation{}
		if err := json.Unmarshal(data, old); err != nil {
			return fmt.Errorf("%w: %s: %v", durable.ErrDamaged, path, err)
		}
		imported++
		holder := tx.Bucket(v1Keys).Get([]byte(old.Tenant + "\x00" + old.IdempotencyKey))
		return s.importV1Invocation(old, string(holder) == old.ID)
	})
	if err != nil {
		return imported, err
	}
	if expired := tx.Bucket(v1Expired); expired != nil {
		err = expired.ForEach(func(id, record []byte) error { return s.importV1Expired(string(id), record) })
	}
	return imported, err
}

// importV1Invocation stores an invocation of the first format. If holdsKey is false, a later invocation holds its
// Idempotency-Key, and the key is dropped from this one.
func (s *Store) importV1Invocation(old *v1Invocation, holdsKey bool) error {
	inv, err := old.convert()
	if err != nil {
		return err
	}
	if !holdsKey {
		inv.IdempotencyKey = ""
	}
	return s.update(func(tx *durable.Tx) error { return s.insert(tx, inv, old.Result) })
}

// convert returns the invocation in the current format. The first format did not store the class, so the invocation
// counts as not idempotent and does not run again if it may have run.
func (old *v1Invocation) convert() (*invocation.Invocation, error) {
	outcome, known := v1Outcomes[old.Outcome]
	if !known {
		return nil, fmt.Errorf("%w: ticket %s has the unknown outcome %q", durable.ErrDamaged, old.ID, old.Outcome)
	}
	inv := &invocation.Invocation{
		ID: old.ID,
		Request: invocation.Request{
			Tenant:         old.Tenant,
			IdempotencyKey: old.IdempotencyKey,
			Fingerprint:    old.Fingerprint,
			Function:       old.Function,
			Deferred:       true,
			Urgency:        invocation.DefaultUrgency,
			Expires:        old.Expires,
			RunTimeout:     old.Expires.Sub(old.CreatedAt),
			Body:           old.Body,
		},
		CreatedAt:   old.CreatedAt,
		State:       invocation.StateWaiting,
		NextRunAt:   old.CreatedAt,
		Bytes:       int64(len(old.Body) + len(old.Result)),
		Outcome:     outcome,
		CompletedAt: old.CompletedAt,
		MayHaveRun:  old.MayHaveRun,
		RetryAt:     old.RetryAt,
	}
	switch {
	case outcome != invocation.OutcomeNone:
		inv.State = invocation.StateCompleted
	case old.Started:
		inv.State = invocation.StateRunning
		inv.Runs = 1
	}
	return inv, nil
}

// importV1Expired stores the record of an expired invocation. Both formats encode this record in the same way.
func (s *Store) importV1Expired(id string, record []byte) error {
	if len(record) < timeLength {
		return fmt.Errorf("%w: the record of expired ticket %s is too short", durable.ErrDamaged, id)
	}
	until := decodeTime(record)
	record = append([]byte{}, record...) // bbolt's memory is valid only during its transaction
	return s.update(func(tx *durable.Tx) error {
		tx.Put(expiredBucket, []byte(id), record)
		tx.Put(expiredUntilBucket, timeKey(until, id), nil)
		return nil
	})
}
