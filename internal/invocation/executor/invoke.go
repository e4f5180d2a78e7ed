package executor

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"

	"kitefall/internal/call"
	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// ErrAnswerNow is the cause of a context that is cancelled although its client still waits: the client must be answered at once.
var ErrAnswerNow = errors.New("the client must be answered now")

// ErrClientLeft means that a client has left before the outcome of its request was known. The request may have run.
var ErrClientLeft = errors.New("the client has left")

// MustAnswer reports whether ctx, the context of a client's request, is done while the client still waits for a response: its
// deadline has passed, or it was cancelled with ErrAnswerNow. A context that is cancelled otherwise is that of a client that has
// left.
func MustAnswer(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrAnswerNow)
}

// clientHasLeft reports whether ctx, the context of a client's request, is done because the client has left.
func clientHasLeft(ctx context.Context) bool { return ctx.Err() != nil && !MustAnswer(ctx) }

// Invoke runs a request at once, as a foreground invocation. It returns the invocation once it has completed, or in its
// current state when ctx is done. If the request's Idempotency-Key already belongs to another invocation, Invoke runs
// nothing and waits for that invocation. It fails with ErrNotFound for an unknown function, with ErrClientLeft, with ErrKeyReused,
// with ErrStorage, and with ErrQuotaExceeded or ErrStoreFull if the invocation cannot be stored although it would have to be.
func (e *Executor) Invoke(ctx context.Context, request invocation.Request) (View, error) {
	request.Deferred = false
	coreCall, err := e.catalog.Call(&request)
	if err != nil {
		return View{}, invocation.ErrNotFound
	}
	if clientHasLeft(ctx) {
		return View{}, ErrClientLeft
	}
	now := e.clock.Now()
	own, holder, err := e.reservations.reserve(&request)
	switch {
	case err != nil:
		return View{}, err
	case holder != nil && holder.foreground != nil:
		return e.joinForeground(ctx, holder.foreground, request)
	case holder != nil:
		return e.Wait(ctx, request.Tenant, holder.storedID)
	}
	existing, err := e.store.FindByKey(&request, now)
	if err != nil {
		e.reservations.settleFailed(own, err)
		return View{}, err
	}
	if existing != nil {
		e.reservations.settleStored(own, existing.ID)
		return e.Wait(ctx, request.Tenant, existing.ID)
	}
	inv := invocation.New(rand.Text(), request, now)
	if err := e.checkLimits(inv); err != nil {
		e.reservations.settleFailed(own, err)
		return View{}, err
	}
	fg := newForeground(inv, own)
	e.foreground.add(fg)
	e.reservations.settleForeground(own, fg) // from here on, clients may learn its ID and look it up
	e.submitForeground(fg, inv, coreCall)
	return e.waitForeground(ctx, fg, inv.Ephemeral)
}

// joinForeground waits for the outcome of a foreground invocation that holds the key of a request. If that invocation is discarded
// because all its clients had left before, the request is run in its place.
func (e *Executor) joinForeground(ctx context.Context, fg *foregroundInvocation, request invocation.Request) (View, error) {
	fg.clients.join()
	view, err := e.waitForeground(ctx, fg, false)
	if err == nil && ctx.Err() == nil && fg.wasDiscarded() {
		return e.Invoke(ctx, request)
	}
	return view, err
}

// checkLimits fails if an invocation that will have to be stored could not be stored now, so that it does not run first.
func (e *Executor) checkLimits(inv *invocation.Invocation) error {
	if inv.Ephemeral {
		return nil
	}
	return e.store.CheckLimits(inv)
}

// submitForeground submits the call of a foreground invocation to the dispatcher. inv is the invocation as it was
// accepted; fg.invocation may have changed since.
func (e *Executor) submitForeground(fg *foregroundInvocation, inv *invocation.Invocation, coreCall *call.Call) {
	coreCall.ID = mathrand.Uint64()
	coreCall.Deadline = e.clock.ToSystemTime(inv.Expires)
	if !inv.Idempotent {
		coreCall.BeforeFirstAttempt = func() error { return e.persistForegroundStart(fg) }
	}
	coreCall.Done = func(answer call.Answer) {
		rejected := answer.Outcome == call.Rejected && !fg.clients.haveLeft()
		e.feeder.send(schedule.ForegroundEvent{Rejected: rejected})
		if inv.Ephemeral { // never stored, so the dispatcher's goroutine does not wait for the disk
			e.completeForeground(fg, answer)
			return
		}
		e.goroutines.Go(func() { e.completeForeground(fg, answer) })
	}
	handle, err := e.core.Submit(coreCall)
	if err != nil {
		coreCall.Done(call.Answer{Outcome: call.Rejected})
	}
	cancelled := fg.submission.setHandle(handle)
	if cancelled && handle != nil {
		handle.Cancel()
	}
}

// waitForeground waits, as one of the clients of a foreground invocation, until it has completed or ctx is done. A client that must be
// answered before is told where to look up the invocation, which is stored for this. An ephemeral one cannot be looked up, and is
// cancelled. For a client that has left, waitForeground fails with ErrClientLeft, without waiting for the store; the last one to
// leave gives the invocation up.
func (e *Executor) waitForeground(ctx context.Context, fg *foregroundInvocation, ephemeral bool) (View, error) {
	defer e.leaveForeground(fg)
	select {
	case <-fg.completed:
	case <-ctx.Done():
		if clientHasLeft(ctx) {
			return View{}, ErrClientLeft
		}
	}
	view, err := fg.wait(ctx)
	switch {
	case err != nil || view.State == invocation.StateCompleted:
		return view, err
	case ephemeral:
		return e.cancelForeground(fg)
	default:
		return e.recordForeground(fg)
	}
}
