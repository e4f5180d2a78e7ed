package executor

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/call"
	"kitefall/internal/failpoint"
	"kitefall/internal/invocation"
)

// foregroundInvocation is an invocation that is not deferred: a client waits for its outcome. It is held in memory only
// until it has to be stored; some foreground invocations are never stored (see the package comment).
type foregroundInvocation struct {
	id          string
	tenant      string
	idempotent  bool
	keyed       bool // the request has an Idempotency-Key
	reservation *keyReservation
	completed   chan struct{} // closed once the outcome may be returned to clients
	submission  submission
	clients     foregroundClients
	cancelling  atomic.Bool // its owner has cancelled it, and this may not be stored yet

	mu         sync.Mutex // guards the following; held during store writes, so that transitions are serialized
	invocation *invocation.Invocation
	stored     bool
	discarded  bool // completed because its clients have left, without an outcome of use to anybody
	result     []byte
	err        error // set if the outcome could not be stored and there is no result to return in its place
}

// newForeground returns a foreground invocation with one waiting client.
func newForeground(inv *invocation.Invocation, reservation *keyReservation) *foregroundInvocation {
	return &foregroundInvocation{
		id:          inv.ID,
		tenant:      inv.Tenant,
		idempotent:  inv.Idempotent,
		keyed:       inv.IdempotencyKey != "",
		clients:     foregroundClients{waiting: 1},
		reservation: reservation,
		completed:   make(chan struct{}),
		invocation:  inv,
	}
}

// view returns a snapshot of the invocation.
func (fg *foregroundInvocation) view() View {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	return fg.viewLocked()
}

// viewLocked returns a snapshot of the invocation. The caller holds fg.mu.
func (fg *foregroundInvocation) viewLocked() View {
	return View{Invocation: new(*fg.invocation), Result: fg.result, Durable: fg.stored}
}

// wait returns the invocation once it has completed, or in its current state when ctx is done. It fails if the
// invocation was not served and its outcome could not be stored.
func (fg *foregroundInvocation) wait(ctx context.Context) (View, error) {
	select {
	case <-fg.completed:
	case <-ctx.Done():
	}
	if err := fg.failure(); err != nil {
		return View{}, err
	}
	return fg.view(), nil
}

// isCompleted reports whether clients may get the outcome.
func (fg *foregroundInvocation) isCompleted() bool {
	select {
	case <-fg.completed:
		return true
	default:
		return false
	}
}

// wasDiscarded reports whether the invocation was completed because its clients had left.
func (fg *foregroundInvocation) wasDiscarded() bool {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	return fg.discarded
}

func (fg *foregroundInvocation) failure() error {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	return fg.err
}

func (fg *foregroundInvocation) fail(err error) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	fg.err = err
}

func (fg *foregroundInvocation) isStored() bool {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	return fg.stored
}

// setInvocation replaces the invocation and sets the result of a served one. The caller holds fg.mu. Both change
// together, since a reader must not see a served invocation without its result.
func (fg *foregroundInvocation) setInvocation(inv *invocation.Invocation, result []byte) {
	fg.invocation = inv
	if inv.Outcome == invocation.OutcomeServed {
		fg.result = result
	}
}

// stepForeground applies an input to a foreground invocation. The state is changed in memory until the invocation has to
// be stored, and in the store from then on.
func (e *Executor) stepForeground(fg *foregroundInvocation, input invocation.Input, result []byte) error {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	now := e.clock.Now()
	if fg.stored {
		return e.stepStored(fg, input, result, now)
	}
	inv := new(*fg.invocation)
	_, effects, err := invocation.Step(inv, input, now)
	if err != nil {
		return err
	}
	if effects.Has(invocation.EffectPersist) && isRetrievable(inv) {
		if err := e.createStored(fg, inv, result, now); err != nil {
			return err
		}
	}
	fg.setInvocation(inv, result)
	return nil
}

// createStored stores a foreground invocation for the first time, as inv, with its result if it was served. The caller holds
// fg.mu.
func (e *Executor) createStored(
	fg *foregroundInvocation, inv *invocation.Invocation, result []byte, now time.Time,
) error {
	existing, err := e.store.Create(inv, result, now)
	if err != nil {
		return err
	}
	if existing != nil { // the reservation keeps other requests from using the key, but not an operator's redrive
		return invocation.ErrSuperseded
	}
	fg.stored = true
	return nil
}

// recordForeground stores a foreground invocation that has not completed, unless it is stored already, and returns it. A client
// may be told of an incomplete invocation only once it is stored: otherwise a restart of the program loses it. recordForeground
// fails with the errors of store.Create and with ErrSuperseded, and the invocation then goes on in memory.
func (e *Executor) recordForeground(fg *foregroundInvocation) (View, error) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	if fg.err != nil {
		return View{}, fg.err
	}
	if !fg.stored && fg.invocation.State != invocation.StateCompleted {
		if err := e.createStored(fg, fg.invocation, nil, e.clock.Now()); err != nil {
			return View{}, err
		}
	}
	if fg.stored {
		fg.clients.setTold()
	}
	return fg.viewLocked(), nil
}

// stepStored applies an input to a foreground invocation that is stored. The caller holds fg.mu.
func (e *Executor) stepStored(fg *foregroundInvocation, input invocation.Input, result []byte, now time.Time) error {
	inv, _, err := e.store.Apply(fg.id, input, result, now)
	if inv != nil {
		inv.Body = nil
		fg.invocation = inv
	}
	if err != nil {
		return err
	}
	fg.setInvocation(inv, result)
	return nil
}

// isRetrievable reports whether a client may later look up an invocation that is not stored yet. A completed invocation
// without a key cannot be looked up: no client has been given its ID.
func isRetrievable(inv *invocation.Invocation) bool {
	return inv.State != invocation.StateCompleted || inv.IdempotencyKey != ""
}

// persistForegroundStart stores a foreground invocation just before its first byte is written to a worker.
func (e *Executor) persistForegroundStart(fg *foregroundInvocation) error {
	err := e.stepForeground(fg, invocation.Input{Event: invocation.EventStart}, nil)
	failpoint.Hit("marked")
	return err
}

// completeForeground applies the dispatcher's answer to a foreground invocation. As in completeRun, an outcome that has to
// be stored is not returned to clients before it is stored, and a failure of the store is retried.
func (e *Executor) completeForeground(fg *foregroundInvocation, answer call.Answer) {
	input := inputFor(answer)
	if fg.cancelling.Load() && didNotRun(answer) {
		input = invocation.Input{Event: invocation.EventCancel}
	}
	for {
		failpoint.Hit("before-end")
		completed, err := e.completeAbandoned(fg, answer)
		if !completed && err == nil {
			err = e.stepForeground(fg, input, answer.Body)
		}
		if err == nil || e.completeUnstored(fg, input, answer, err) {
			failpoint.Hit("after-end")
			e.releaseForeground(fg)
			return
		}
		slog.Error("tickets: the answer is not stored yet", "ticket", fg.id, "tenant", fg.tenant, "err", err)
		if !e.waitToRetryStore() {
			return
		}
	}
}

// completeUnstored decides what the waiting clients get if the outcome of a foreground invocation could not be stored because of
// err. It returns false if the store must be tried again.
func (e *Executor) completeUnstored(
	fg *foregroundInvocation, input invocation.Input, answer call.Answer, err error,
) (completed bool) {
	storeFailed := errors.Is(err, invocation.ErrStorage)
	switch {
	case errors.Is(err, invocation.ErrCompleted): // its owner has cancelled it
		return true
	case storeFailed && (fg.isStored() || answer.Outcome == call.Served):
		return false
	case answer.Outcome == call.Served && !fg.isStored():
		// The limits have been reached since checkLimits. The function is idempotent, since any other is stored before it
		// starts. Only a later request with the key does not find the result.
		e.completeInMemory(fg, input, answer.Body)
		return true
	}
	// The function did not run or is idempotent, so that a retry does no harm, or the invocation was deleted meanwhile.
	fg.fail(err)
	return true
}

// completeInMemory applies an input to a foreground invocation that is not stored, and does not store it.
func (e *Executor) completeInMemory(fg *foregroundInvocation, input invocation.Input, result []byte) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	inv := new(*fg.invocation)
	if _, _, err := invocation.Step(inv, input, e.clock.Now()); err != nil { // its owner has cancelled it
		return
	}
	fg.setInvocation(inv, result)
}

// cancelForeground cancels a foreground invocation for its owner. If the invocation has completed already, its outcome
// does not change. No attempt of the call begins any more, also while the cancellation is being stored.
func (e *Executor) cancelForeground(fg *foregroundInvocation) (View, error) {
	fg.cancelling.Store(true)
	fg.submission.abandon()
	err := e.stepForeground(fg, invocation.Input{Event: invocation.EventCancel}, nil)
	if errors.Is(err, invocation.ErrCompleted) {
		return fg.view(), nil
	}
	if err != nil {
		return View{}, err
	}
	e.cancelCall(fg)
	e.releaseForeground(fg)
	return fg.view(), nil
}

// releaseForeground releases the key of a foreground invocation that has completed and wakes the clients that wait for
// it. Only the first call has an effect.
func (e *Executor) releaseForeground(fg *foregroundInvocation) {
	wasIncomplete := e.foreground.remove(fg.id)
	e.reservations.release(fg.reservation)
	if wasIncomplete {
		close(fg.completed)
	}
	e.waiters.notify(fg.id)
}
