// Package executor accepts requests as invocations, runs them through the dispatcher and keeps their outcomes. Package
// invocation defines the state transitions of an invocation, and package schedule decides which deferred invocation
// runs next.
//
// A deferred invocation is stored when it is accepted. A foreground invocation, which the invoke API calls synchronous
// because a client waits for it, is submitted to the dispatcher at once and is stored only where information could
// otherwise be lost:
//
//   - An invocation that is not idempotent is stored just before its first byte is written to a worker.
//   - An invocation with an Idempotency-Key is stored before its outcome is returned to a client, and before a client is told
//     that it is in progress.
//   - An idempotent invocation without a key is never stored.
//
// A foreground invocation that no client waits for any more is given up, unless a client was told its ID (see departure.go).
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

// storeRetryDelay is the time from a failed store operation to its next attempt.
const storeRetryDelay = time.Second

// Core runs calls at workers. It is implemented by dispatch.Core.
type Core interface {
	Submit(*call.Call) (*dispatch.Handle, error)
}

// Function holds the properties of a catalog entry that the scheduler needs.
type Function struct {
	Key  string  // the function's name at the workers
	Cost float64 // cost of one run, relative to the runs of other functions
}

// Catalog is the operator's catalog of functions. It is safe for concurrent use.
type Catalog interface {
	// Describe returns the function of the given name and reports whether the catalog contains it.
	Describe(function string) (Function, bool)

	// Call returns the call that runs a request once. The executor sets the call's ID and deadline. Call fails if
	// the catalog does not contain the request's function.
	Call(request *invocation.Request) (*call.Call, error)
}

// View is a snapshot of an invocation, with its result if it was served.
type View struct {
	*invocation.Invocation
	Result  []byte
	Durable bool // the invocation is stored, so clients can look it up by its ID
}

// Recorded is an invocation that is stored. A client may be told to look it up by its ID. Only View.Recorded returns one.
type Recorded struct{ inv *invocation.Invocation }

// Invocation returns the invocation as it was in the view.
func (r Recorded) Invocation() *invocation.Invocation { return r.inv }

// Recorded returns the invocation if it is stored.
func (v View) Recorded() (Recorded, bool) { return Recorded{v.Invocation}, v.Durable }

// Executor accepts requests and keeps their outcomes. It is safe for concurrent use. Its zero value is not usable; use
// New.
type Executor struct {
	store   *store.Store
	core    Core
	catalog Catalog
	clock   *monotonic.Clock
	feeder  *feeder

	foreground   foregroundSet
	reservations keyReservations
	waiters      waiterSet
	runs         runSet

	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	closing    sync.RWMutex // held for writing while Close cancels ctx, and for reading by spawn
}

// New returns an executor that runs the invocations of a store, with the given configuration of the scheduler. Recover
// starts the executor. New fails if the configuration is invalid.
func New(
	s *store.Store, core Core, catalog Catalog, config schedule.Config, clock *monotonic.Clock,
) (*Executor, error) {
	scheduler, err := schedule.New(config, mathrand.Uint64(), clock.Now())
	if err != nil {
		return nil, err
	}
	e := &Executor{
		store:        s,
		core:         core,
		catalog:      catalog,
		clock:        clock,
		foreground:   foregroundSet{byID: map[string]*foregroundInvocation{}},
		reservations: keyReservations{byKey: map[string]*keyReservation{}},
		waiters:      waiterSet{byID: map[string]*waiter{}},
		runs:         runSet{byID: map[string]*submission{}, active: map[*submission]struct{}{}},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.feeder = newFeeder(e, scheduler)
	return e, nil
}

// Clock returns the clock from which all times in invocations are taken. Times of other clocks must not be compared with
// them.
func (e *Executor) Clock() *monotonic.Clock { return e.clock }

// StopScheduling starts no further runs of deferred invocations, for the rest of the program's run. They stay in the store, and the
// next start of the program takes them up. Runs in flight go on, and foreground invocations are not affected.
func (e *Executor) StopScheduling() { e.runs.stop() }

// InProgress returns the number of runs and foreground invocations that have begun and whose outcome is not stored yet.
func (e *Executor) InProgress() int { return e.runs.activeCount() + e.foreground.count() }

// Close stops the executor's goroutines, waits until they have returned and closes the store. Stored invocations that
// have not completed are recovered at the next start of the program.
func (e *Executor) Close() error {
	e.closing.Lock()
	e.cancel()
	e.closing.Unlock()
	e.goroutines.Wait()
	return e.store.Close()
}

// spawn runs a function on a new goroutine, unless the executor is closed. Unlike goroutines.Go, it may be called while or after
// Close is called.
func (e *Executor) spawn(run func()) {
	e.closing.RLock()
	defer e.closing.RUnlock()
	if e.ctx.Err() == nil {
		e.goroutines.Go(run)
	}
}

// waitToRetryStore waits for storeRetryDelay and returns true. If the executor is closed first, it returns false at
// once.
func (e *Executor) waitToRetryStore() bool {
	select {
	case <-time.After(storeRetryDelay):
		return true
	case <-e.ctx.Done():
		return false
	}
}

// retryLater calls retry after storeRetryDelay on a new goroutine, unless the executor is closed first.
func (e *Executor) retryLater(retry func()) {
	e.goroutines.Go(func() {
		if e.waitToRetryStore() {
			retry()
		}
	})
}
