package executor

import (
	"crypto/rand"
	"unique"

	"kitefall/internal/failpoint"
	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// Submit stores a request as a deferred invocation, which runs when the scheduler starts it. If the request's
// Idempotency-Key already belongs to another invocation, Submit stores no invocation for it and returns that invocation in its
// current state. A foreground invocation with the key is stored first, if it has not completed. Submit fails with ErrNotFound for
// an unknown function, with ErrKeyReused, and with the errors of store.Create.
func (e *Executor) Submit(request invocation.Request) (View, error) {
	request.Deferred = true
	function, ok := e.catalog.Describe(request.Function)
	if !ok {
		return View{}, invocation.ErrNotFound
	}
	own, holder, err := e.reservations.reserve(&request)
	switch {
	case err != nil:
		return View{}, err
	case holder != nil && holder.foreground != nil:
		return e.submitRepeat(holder.foreground, request)
	case holder != nil:
		return e.Wait(cancelledContext, request.Tenant, holder.storedID)
	}
	now := e.clock.Now()
	inv := invocation.New(rand.Text(), request, now)
	existing, err := e.store.Create(inv, nil, now)
	if err != nil {
		e.reservations.settleFailed(own, err)
		return View{}, err
	}
	if existing != nil {
		e.reservations.settleStored(own, existing.ID)
		return e.storedView(existing)
	}
	e.reservations.settleStored(own, inv.ID)
	failpoint.Hit("created")
	e.feeder.send(schedule.AddEvent{Job: newJob(inv, function)})
	return View{Invocation: inv, Durable: true}, nil
}

// submitRepeat stores a foreground invocation that holds the key of a deferred request, and returns it. If that invocation is discarded
// because all its clients had left before, the request is submitted in its place.
func (e *Executor) submitRepeat(fg *foregroundInvocation, request invocation.Request) (View, error) {
	fg.clients.join()
	defer e.leaveForeground(fg)
	view, err := e.recordForeground(fg)
	if err == nil && fg.wasDiscarded() {
		<-fg.completed // the key is released
		return e.Submit(request)
	}
	return view, err
}

// Redrive runs a dead letter again as a new invocation; see store.Redrive.
func (e *Executor) Redrive(id string, confirmed bool, reason string) (*invocation.Invocation, error) {
	deadLetter, err := e.store.Get(id)
	if err != nil {
		return nil, err
	}
	function, ok := e.catalog.Describe(deadLetter.Function)
	if !ok {
		return nil, invocation.ErrNotFound
	}
	successor, err := e.store.Redrive(id, rand.Text(), confirmed, reason, e.clock.Now())
	if err == nil {
		e.feeder.send(schedule.AddEvent{Job: newJob(successor, function)})
	}
	return successor, err
}

// newJob returns the scheduler's job for an invocation. The strings of tenants and classes are interned, since there may
// be very many jobs of few tenants and classes.
func newJob(inv *invocation.Invocation, function Function) schedule.Job {
	return schedule.Job{
		ID:        inv.ID,
		Tenant:    unique.Make(inv.Tenant).Value(),
		Class:     unique.Make(inv.Class).Value(),
		Function:  function.Key,
		Urgency:   uint8(inv.Urgency),
		Cost:      function.Cost,
		NotBefore: inv.NextRunAt,
		Expires:   inv.Expires,
		Runs:      inv.Runs,
	}
}
