package control

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
)

// RedriveFunc submits the request of a dead letter again, as Operations.Redrive does.
type RedriveFunc func(id string, confirmed bool, reason string) (*invocation.Invocation, error)

// OpenFile opens the store in an existing file, which no dispatcher may have open. The caller must call the returned function
// to close the store. If readOnly is set, nothing is written, and operations that write fail. Errors of opening the file wrap
// invocation.ErrStorage.
func OpenFile(path string, options store.Options, readOnly bool) (Operations, func() error, error) {
	if _, err := os.Stat(path); err != nil { // store.Open would create a missing file
		return nil, nil, fmt.Errorf("%w: %w", invocation.ErrStorage, err)
	}
	options.Durable.ReadOnly = readOnly
	s, err := store.Open(path, options)
	if err != nil {
		return nil, nil, err
	}
	var clock *monotonic.Clock // operations that only read need no clock
	if !readOnly {
		if clock, err = s.StartClock(time.Now(), monotonic.ReadUptime()); err != nil {
			return nil, nil, errors.Join(err, s.Close())
		}
	}
	return ForStore(s, clock, nil), s.Close, nil
}

// ForStore returns the operations on an open store, which the caller has to close; clock is the clock of the store's times. A
// running dispatcher passes the clock and the redrive function of its executor, because the executor has to schedule the new
// invocation. If redrive is nil, a redrive changes only the store.
func ForStore(s *store.Store, clock *monotonic.Clock, redrive RedriveFunc) Operations {
	if redrive == nil {
		redrive = func(id string, confirmed bool, reason string) (*invocation.Invocation, error) {
			return s.Redrive(id, rand.Text(), confirmed, reason, clock.Now())
		}
	}
	return &storeOperations{store: s, clock: clock, redrive: redrive}
}

// storeOperations implements Operations on an open store.
type storeOperations struct {
	store   *store.Store
	clock   *monotonic.Clock
	redrive RedriveFunc
}

func (o *storeOperations) List(filter store.Filter) ([]Invocation, error) {
	found, err := o.store.List(filter)
	listed := make([]Invocation, 0, len(found))
	for _, stored := range found {
		listed = append(listed, newInvocation(stored))
	}
	return listed, err
}

func (o *storeOperations) Show(id string) (Invocation, error) {
	stored, err := o.store.Get(id)
	if err != nil {
		return Invocation{}, err
	}
	return newInvocation(stored), nil
}

func (o *storeOperations) Redrive(id string, confirmed bool, reason string) (Invocation, error) {
	created, err := o.redrive(id, confirmed, reason)
	if err != nil {
		return Invocation{}, err
	}
	return newInvocation(created), nil
}

func (o *storeOperations) Purge(ids []string, minAge time.Duration) (int, error) {
	return o.store.Purge(ids, minAge, o.clock.Now())
}

func (o *storeOperations) Snapshot(path string) error { return o.store.Snapshot(path) }

func (o *storeOperations) Verify() (int, error) { return o.store.Verify() }

func (o *storeOperations) Compact() (before, after int64, err error) { return o.store.Compact() }
