package executor

import (
	"context"
	"errors"

	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// cancelledContext is a context that is done. With it, Wait returns the current state of an invocation at once.
var cancelledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// Wait returns an invocation of the tenant once it has completed, or in its current state when ctx is done. It fails with
// ErrNotFound, also for an invocation of another tenant, with ErrExpired, and with ErrStorage.
func (e *Executor) Wait(ctx context.Context, tenant, id string) (View, error) {
	if fg := e.foreground.get(id); fg != nil {
		if fg.tenant != tenant {
			return View{}, invocation.ErrNotFound
		}
		return fg.wait(ctx)
	}
	// The watch starts before the state is read: a completion between the two would otherwise be missed.
	completed, stop := e.waiters.watch(id)
	defer stop()
	inv, err := e.getForTenant(tenant, id)
	if err != nil {
		return View{Invocation: inv}, err
	}
	if inv.State == invocation.StateCompleted || ctx.Err() != nil {
		return e.storedView(inv)
	}
	select {
	case <-completed:
	case <-ctx.Done():
	}
	if inv, err = e.getForTenant(tenant, id); err != nil {
		return View{Invocation: inv}, err
	}
	return e.storedView(inv)
}

// Cancel completes an invocation of the tenant as cancelled and cancels its run in progress. If the invocation has
// completed already, its outcome does not change. Cancel fails with ErrNotFound, also for an invocation of another
// tenant, with ErrExpired, and with ErrStorage.
func (e *Executor) Cancel(tenant, id string) (View, error) {
	if fg := e.foreground.get(id); fg != nil {
		if fg.tenant != tenant {
			return View{}, invocation.ErrNotFound
		}
		return e.cancelForeground(fg)
	}
	if _, err := e.getForTenant(tenant, id); err != nil {
		return View{}, err
	}
	e.suspendRun(id) // the store may be slow
	inv, effects, err := e.store.Apply(id, invocation.Input{Event: invocation.EventCancel}, nil, e.clock.Now())
	if errors.Is(err, invocation.ErrCompleted) {
		return e.storedView(inv)
	}
	if err != nil {
		return View{}, err
	}
	if effects.Has(invocation.EffectCancelRun) {
		e.cancelRun(id)
	}
	e.feeder.send(schedule.RemoveEvent{ID: id})
	e.waiters.notify(id)
	return e.storedView(inv)
}

// getForTenant reads an invocation from the store. It fails with ErrNotFound if the invocation belongs to another tenant.
func (e *Executor) getForTenant(tenant, id string) (*invocation.Invocation, error) {
	inv, err := e.store.Get(id)
	if inv != nil && inv.Tenant == tenant {
		return inv, err
	}
	if errors.Is(err, invocation.ErrStorage) {
		return nil, err
	}
	return nil, invocation.ErrNotFound
}

// storedView returns a stored invocation together with its result, if it was served.
func (e *Executor) storedView(inv *invocation.Invocation) (View, error) {
	view := View{Invocation: inv, Durable: true}
	if inv.Outcome != invocation.OutcomeServed {
		return view, nil
	}
	var err error
	view.Result, err = e.store.Result(inv.ID)
	return view, err
}
