// Package executor accepts requests, has the dispatcher run them and keeps their outcomes. It decides nothing by
// itself: package invocation rules what an invocation may do next, package schedule which one runs next.
//
// A deferred call is stored when it is accepted. A synchronous one is submitted to the dispatcher at once and is stored
// only when something could otherwise be lost: a call that is not idempotent just before its first byte is written to
// a worker, a call with an Idempotency-Key before its outcome is told, and an idempotent call without a key never.
package executor

import (
	"context"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
	"kitefall/internal/schedule"
)

// storeRetryDelay is the pause before an operation that the store has failed is tried again.
const storeRetryDelay = time.Second

// Core runs calls. It is implemented by dispatch.Core.
type Core interface {
	Submit(*call.Call) (*dispatch.Handle, error)
}

// Function describes an entry of the catalogue to the scheduler.
type Function struct {
	Key  string  // the function's name at the workers
	Cost float64 // cost of a run relative to other functions
}

// Catalog is the operator's catalogue of functions. It is safe for concurrent use.
type Catalog interface {
	// Describe returns a function by its name and reports whether the catalogue has it.
	Describe(function string) (Function, bool)

	// Call returns the call for a run of a request. The executor sets its ID and deadline.
	Call(request *invocation.Request) (*call.Call, error)
}

// View is an invocation as it stands, with its result if it was served.
type View struct {
	*invocation.Invocation
	Result  []byte
	Durable bool // the invocation is stored: it can be asked for by its ID
}

// Executor accepts requests and keeps their outcomes. It is safe for concurrent use. Its zero value is not usable: see
// New.
type Executor struct {
	store     *store.Store
	core      Core
	catalogue Catalog
	clock     *monotonic.Clock
	feeder    *feeder

	foreground   foregroundSet
	reservations keyReservations
	waiters      waiterSet
	runs         runSet

	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns an executor that runs what the store holds, under the scheduler's settings. It starts with Recover. New
// fails if the settings are invalid.
func New(
	s *store.Store, core Core, catalogue Catalog, config schedule.Config, clock *monotonic.Clock,
) (*Executor, error) {
	scheduler, err := schedule.New(config, mathrand.Uint64(), clock.Now())
	if err != nil {
		return nil, err
	}
	e := &Executor{
		store:        s,
		core:         core,
		catalogue:    catalogue,
		clock:        clock,
		foreground:   foregroundSet{byID: map[string]*foregroundInvocation{}},
		reservations: keyReservations{byKey: map[string]*keyReservation{}},
		waiters:      waiterSet{byID: map[string]*waiter{}},
		runs:         runSet{byID: map[string]*submission{}},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.feeder = newFeeder(e, scheduler)
	return e, nil
}

// Clock returns the clock of the times that invocations bear. Times of other clocks must not be compared with them.
func (e *Executor) Clock() *monotonic.Clock { return e.clock }

// Close waits for the executor's goroutines and closes the store. Invocations that have not completed stay in the
// store for the next start of the program.
func (e *Executor) Close() error {
	e.cancel()
	e.goroutines.Wait()
	return e.store.Close()
}

// waitToRetryStore waits before the store is tried again. It returns false at once if the executor is closed.
func (e *Executor) waitToRetryStore() bool {
	select {
	case <-time.After(storeRetryDelay):
		return true
	case <-e.ctx.Done():
		return false
	}
}

// retryLater calls retry after storeRetryDelay on a goroutine of its own, unless the executor is closed before.
func (e *Executor) retryLater(retry func()) {
	e.goroutines.Go(func() {
		if e.waitToRetryStore() {
			retry()
		}
	})
}
