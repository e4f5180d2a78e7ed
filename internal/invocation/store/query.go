package store

import (
	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// Get reads an invocation without its body. It fails with ErrExpired while a record of the invocation's deletion is kept, and
// otherwise with ErrNotFound. Together with ErrExpired it returns an invocation with only the ID and tenant set.
func (s *Store) Get(id string) (inv *invocation.Invocation, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		inv, err = load(tx, id)
		return err
	})
	return inv, storageError(err)
}

// Body reads the body of an invocation's request. It returns nil if there is none.
func (s *Store) Body(id string) ([]byte, error) { return s.read(bodiesBucket, id) }

// Result reads the result of a served invocation. It returns nil if there is none.
func (s *Store) Result(id string) ([]byte, error) { return s.read(resultsBucket, id) }

func (s *Store) read(bucket int, id string) (value []byte, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		value = tx.Get(bucket, []byte(id))
		return nil
	})
	return value, storageError(err)
}

// ForEachIncomplete calls visit for every invocation that has not completed, ordered by tenant and ID. It stops at the
// first error and returns it.
func (s *Store) ForEachIncomplete(visit func(*invocation.Invocation) error) error {
	return storageError(s.db.View(func(tx *durable.Tx) (err error) {
		tx.Scan(incompleteBucket, nil, func(key, _ []byte) bool {
			var inv *invocation.Invocation
			if inv, err = load(tx, idOfIncompleteKey(key)); err == nil {
				err = visit(inv)
			}
			return err == nil
		})
		return err
	}))
}

// Filter selects the invocations that List returns. The zero value selects all. The JSON names belong to the protocol of
// the control socket and must not change.
type Filter struct {
	Tenant      string `json:"Tenant"`
	DeadLetters bool   `json:"Dead"` // dead letters only, in the order of completion
	Incomplete  bool   `json:"Open"` // incomplete invocations only
	Limit       int    `json:"Most"` // maximum number of results; 0: no limit
}

// List returns the invocations that a filter selects.
func (s *Store) List(filter Filter) (found []*invocation.Invocation, err error) {
	bucket, idOf := filter.index()
	err = s.db.View(func(tx *durable.Tx) (err error) {
		tx.Scan(bucket, nil, func(key, _ []byte) bool {
			var inv *invocation.Invocation
			if inv, err = load(tx, idOf(key)); err != nil {
				return false
			}
			if filter.Tenant == "" || inv.Tenant == filter.Tenant {
				found = append(found, inv)
			}
			return filter.Limit == 0 || len(found) < filter.Limit
		})
		return err
	})
	return found, storageError(err)
}

// index returns the bucket whose keys List scans, and the function that extracts the ID from such a key.
func (f Filter) index() (bucket int, idOf func(key []byte) string) {
	switch {
	case f.DeadLetters:
		return deadLettersBucket, idOfTimeKey
	case f.Incomplete:
		return incompleteBucket, idOfIncompleteKey
	default:
		return invocationsBucket, func(key []byte) string { return string(key) }
	}
}

// load reads an invocation. See Get for its errors.
func load(tx *durable.Tx, id string) (*invocation.Invocation, error) {
	data := tx.Get(invocationsBucket, []byte(id))
	if data == nil {
		return loadExpired(tx, id)
	}
	inv, err := decode(data)
	if err != nil {
		return nil, err
	}
	// StateSubmitted is not stored with the invocation, so the submission in submittedBucket is applied to it again.
	if at := tx.Get(submittedBucket, []byte(id)); len(at) == timeLength {
		_, _, err = invocation.Step(inv, invocation.Input{Event: invocation.EventSubmit}, decodeTime(at))
	}
	return inv, err
}

// loadExpired returns the error for an invocation that is not stored: ErrExpired with its ID and tenant, or ErrNotFound.
func loadExpired(tx *durable.Tx, id string) (*invocation.Invocation, error) {
	record := tx.Get(expiredBucket, []byte(id))
	if len(record) < timeLength {
		return nil, invocation.ErrNotFound
	}
	tenant := string(record[timeLength:])
	return &invocation.Invocation{ID: id, Request: invocation.Request{Tenant: tenant}}, invocation.ErrExpired
}

// loadCached returns an invocation from the cache, or else reads it like load. Only the writer goroutine may call it.
func (s *Store) loadCached(tx *durable.Tx, id string) (*invocation.Invocation, error) {
	if inv := s.cache.get(id); inv != nil {
		return inv, nil
	}
	return load(tx, id)
}
