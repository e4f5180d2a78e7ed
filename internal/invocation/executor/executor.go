// Package desk takes orders, has the core run them, and keeps their answers. What a ticket may do next is decided by
// package ticket, which one runs next by package schedule; this package only carries out.
//
// A call that somebody waits for goes to the core at once, and to the disk no sooner than something could be lost: one
// that must not run twice just before its first byte is written to a worker, any call with an Idempotency-Key before its
// answer is told, one that may be repeated and has no key never.
package executor

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"runtime/debug"
	"sync"
	"time"
	"unique"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/failpoint"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
	"kitefall/internal/schedule"
)

const (
	sweepEvery = time.Minute
	storeAgain = time.Second // pause before a final answer that could not be stored is tried again
	adviceMost = time.Minute
	adviceMin  = time.Second
)

// Core runs calls; see dispatch.Core.
type Core interface {
	Submit(*call.Call) (*dispatch.Handle, error)
}

// Function is what the desk needs to know of an entry of the catalogue.
type Function struct {
	Key  string  // the function's name at the workers: what a loaded copy serves
	Cost float64 // of a run, against others
}

// Catalogue is what may be called.
type Catalog interface {
	Describe(function string) (Function, bool)
	// Call makes the call of a ticket's run; id and deadline are the desk's to set.
	Call(o *invocation.Request) (*call.Call, error)
}

// View is a ticket as it stands, with its result if it was served.
type View struct {
	*invocation.Invocation
	Result  []byte
	Durable bool // it can be asked for by its id
}

// Desk takes orders and keeps their answers. Its zero value is not usable: see New.
type Executor struct {
	store     *store.Store
	core      Core
	catalogue Catalog
	clock     *monotonic.Clock
	planner   *planner

	mu     sync.Mutex
	lives  map[string]*life    // tickets that are not on record, or were not when they were taken; until they end
	claims map[string]*claim   // tenant, 0, Idempotency-Key
	waits  map[string]*waiting // open tickets on record that somebody waits for
	runs   map[string]*run     // of tickets on record

	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup
}

// run is a run in hand of a ticket on record.
type run struct {
	handle  *dispatch.Handle
	givenUp bool
}

type waiting struct {
	done chan struct{} // closed once the ticket has ended
	n    int
}

// New returns a desk that runs what it has under the scheduler's settings. Resume begins its work.
func New(s *store.Store, c Core, cat Catalog, plan schedule.Config, clock *monotonic.Clock) (*Executor, error) {
	d := &Executor{store: s, core: c, catalogue: cat, clock: clock, lives: map[string]*life{}, claims: map[string]*claim{},
		waits: map[string]*waiting{}, runs: map[string]*run{}}
	d.ctx, d.stop = context.WithCancel(context.Background())
	planned, err := schedule.New(plan, mathrand.Uint64(), clock.Now())
	if err != nil {
		return nil, err
	}
	d.planner = newPlanner(d, planned)
	return d, nil
}

// Resume takes up what an earlier run of the program left open, and begins to run and to sweep.
func (d *Executor) Recover() error {
	n, ended := 0, 0
	var first []schedule.Event
	err := d.store.ForEachIncomplete(func(t *invocation.Invocation) error {
		n++
		f, known := d.catalogue.Describe(t.Function)
		look := *t
		_, e, err := invocation.Step(&look, invocation.Input{Event: invocation.EventRestart}, d.clock.Now())
		if err == nil && e.Has(invocation.EffectPersist) { // what needs no disk is not written: there may be very many
			t, e, err = d.store.Apply(t.ID, invocation.Input{Event: invocation.EventRestart}, nil, d.clock.Now())
		}
		if err != nil {
			return err
		}
		if t.State != invocation.StateCompleted && !known { // the operator has taken the function out of the catalogue
			note := "function " + t.Function + " is not in the catalogue any more"
			if t, e, err = d.store.Apply(t.ID, invocation.Input{Event: invocation.EventWithdraw, Note: note}, nil, d.clock.Now()); err != nil {
				return err
			}
		}
		if e.Has(invocation.EffectSchedule) {
			first = append(first, schedule.AddEvent{Job: item(t, f)})
		} else {
			ended++
		}
		return nil
	})
	if err != nil {
		return err
	}
	debug.FreeOSMemory() // a start reads far more than it keeps
	slog.Info("tickets: taken up at the start", "open", n, "ended", ended)
	d.work.Go(func() { d.planner.run(first) })
	d.work.Go(d.sweep)
	return nil
}

func (d *Executor) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		now := d.clock.Now()
		_, err := d.store.AdvanceClock(now)
		if err = errors.Join(err, d.store.DeleteExpired(now)); err != nil {
			slog.Error("tickets: sweep failed", "err", err)
		}
		select {
		case <-tick.C:
		case <-d.ctx.Done():
			return
		}
	}
}

// Close waits for what is being stored and closes the store. Open tickets stay open, for the next run.
func (d *Executor) Close() error {
	d.stop()
	d.work.Wait()
	return d.store.Close()
}

func item(t *invocation.Invocation, f Function) schedule.Job {
	// There may be very many, of few tenants and classes: they share their names.
	return schedule.Job{ID: t.ID, Tenant: unique.Make(t.Tenant).Value(), Class: unique.Make(t.Class).Value(), Function: f.Key, Urgency: uint8(t.Urgency),
		Cost: f.Cost, NotBefore: t.NextRunAt, Expires: t.Expires, Runs: t.Runs}
}

// Defer puts an order on record and has it run in its time, or finds the ticket that its key has already.
func (d *Executor) Submit(o invocation.Request) (View, error) {
	o.Deferred = true
	f, ok := d.catalogue.Describe(o.Function)
	if !ok {
		return View{}, invocation.ErrNotFound
	}
	mine, other, err := d.claim(&o)
	switch {
	case err != nil:
		return View{}, err
	case other != nil && other.life != nil:
		return other.life.view(), nil
	case other != nil:
		return d.Wait(nowhere, o.Tenant, other.id)
	}
	now := d.clock.Now()
	t := invocation.New(rand.Text(), o, now)
	found, err := d.store.Create(t, nil, now)
	if err != nil {
		d.settleClaim(mine, nil, "", err)
		return View{}, err
	}
	if found != nil {
		d.settleClaim(mine, nil, found.ID, nil)
		return d.viewOf(found)
	}
	d.settleClaim(mine, nil, t.ID, nil)
	failpoint.Hit("created")
	d.planner.tell(schedule.AddEvent{Job: item(t, f)})
	return View{Invocation: t, Durable: true}, nil
}

// nowhere has ended: who waits with it hears how things stand.
var nowhere = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// Redrive has a dead letter go again; see store.Redrive.
func (d *Executor) Redrive(id string, sure bool, reason string) (*invocation.Invocation, error) {
	old, err := d.store.Get(id)
	if err != nil {
		return nil, err
	}
	f, ok := d.catalogue.Describe(old.Function)
	if !ok {
		return nil, invocation.ErrNotFound
	}
	t, err := d.store.Redrive(id, rand.Text(), sure, reason, d.clock.Now())
	if err == nil {
		d.planner.tell(schedule.AddEvent{Job: item(t, f)})
	}
	return t, err
}

// viewOf adds its result to a ticket on record.
func (d *Executor) viewOf(t *invocation.Invocation) (v View, err error) {
	v = View{Invocation: t, Durable: true}
	if t.Outcome == invocation.OutcomeServed {
		v.Result, err = d.store.Result(t.ID)
	}
	return v, err
}

// Wait returns a ticket of the tenant once it has ended, or as it stands when ctx ends.
func (d *Executor) Wait(ctx context.Context, tenant, id string) (View, error) {
	d.mu.Lock()
	l := d.lives[id]
	d.mu.Unlock()
	if l != nil {
		if l.tenant != tenant {
			return View{}, invocation.ErrNotFound
		}
		return d.follow(ctx, l)
	}
	done, left := d.watch(id)
	defer left()
	t, err := d.get(tenant, id)
	if err != nil {
		return View{Invocation: t}, err
	}
	if t.State != invocation.StateCompleted && ctx.Err() == nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
		if t, err = d.get(tenant, id); err != nil {
			return View{Invocation: t}, err
		}
	}
	return d.viewOf(t)
}

// watch has done closed at the end of a ticket; left tells that nobody waits any more.
func (d *Executor) watch(id string) (done <-chan struct{}, left func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.waits[id]
	if w == nil {
		w = &waiting{done: make(chan struct{})}
		d.waits[id] = w
	}
	w.n++
	return w.done, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if w.n--; w.n == 0 && d.waits[id] == w {
			delete(d.waits, id)
		}
	}
}

// told wakes those who wait for a ticket that has its final answer on record.
func (d *Executor) told(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.waits[id]; w != nil {
		delete(d.waits, id)
		close(w.done)
	}
}

// get reads a ticket. To all but its owner there is no such ticket.
func (d *Executor) get(tenant, id string) (*invocation.Invocation, error) {
	t, err := d.store.Get(id)
	if t == nil || t.Tenant != tenant {
		if err == nil || !errors.Is(err, invocation.ErrStorage) {
			err = invocation.ErrNotFound
		}
		return nil, err
	}
	return t, err
}

// GiveUp ends a ticket for its owner. An answer that came first stays.
func (d *Executor) Cancel(tenant, id string) (View, error) {
	d.mu.Lock()
	l := d.lives[id]
	d.mu.Unlock()
	if l != nil {
		if l.tenant != tenant {
			return View{}, invocation.ErrNotFound
		}
		return d.leave(l)
	}
	if _, err := d.get(tenant, id); err != nil {
		return View{}, err
	}
	t, e, err := d.store.Apply(id, invocation.Input{Event: invocation.EventCancel}, nil, d.clock.Now())
	if err != nil && !errors.Is(err, invocation.ErrCompleted) {
		return View{}, err
	}
	if err == nil {
		if e.Has(invocation.EffectCancelRun) {
			d.callOff(id)
		}
		d.planner.tell(schedule.RemoveEvent{ID: id})
		d.told(id)
	}
	return d.viewOf(t)
}

// callOff ends the run in hand of a ticket that has its answer. Its call may be on its way to the core still.
func (d *Executor) callOff(id string) {
	d.mu.Lock()
	r := d.runs[id]
	var h *dispatch.Handle
	if r != nil {
		r.givenUp = true
		h = r.handle
	}
	d.mu.Unlock()
	if h != nil {
		h.Cancel()
		d.over(id)
	}
}

// over tells the scheduler that the place of a run is free whose end the core will not tell.
func (d *Executor) over(id string) {
	d.mu.Lock()
	delete(d.runs, id)
	d.mu.Unlock()
	d.planner.tell(schedule.RunAbortedEvent{ID: id})
}

// begin carries a run out that the scheduler has decided on.
func (d *Executor) begin(id string) {
	body, err := d.store.Body(id)
	var t *invocation.Invocation
	if err == nil {
		t, _, err = d.store.Apply(id, invocation.Input{Event: invocation.EventSubmit}, nil, d.clock.Now())
	}
	if err != nil {
		d.planner.tell(schedule.RunAbortedEvent{ID: id})
		if errors.Is(err, invocation.ErrStorage) || errors.Is(err, invocation.ErrInvalidTransition) { // it waits still
			slog.Error("tickets: not run yet", "ticket", id, "err", err)
			d.later(func() { d.readd(id) })
		}
		return
	}
	t.Body = body
	k, err := d.catalogue.Call(&t.Request)
	if err != nil { // taken out of the catalogue a moment ago
		d.settle(t, call.Answer{Outcome: call.Rejected})
		return
	}
	now := d.clock.Now()
	until := now.Add(t.RunTimeout)
	if t.Expires.Before(until) {
		until = t.Expires
	}
	r := &run{}
	d.mu.Lock()
	d.runs[id] = r
	d.mu.Unlock()
	// A new id for each run: an answer to an earlier one may still be on its way.
	k.ID, k.Deadline = mathrand.Uint64(), d.clock.Machine(until)
	if !t.Idempotent {
		k.BeforeFirstAttempt = func() error {
			_, _, err := d.store.Apply(id, invocation.Input{Event: invocation.EventStart}, nil, d.clock.Now())
			failpoint.Hit("marked")
			return err
		}
	}
	k.Done = func(a call.Answer) {
		failpoint.Hit("run-ended")
		d.work.Go(func() { d.settle(t, a) }) // the core's goroutine must not wait for a disk
	}
	h, err := d.core.Submit(k)
	if err != nil {
		k.Done(call.Answer{Outcome: call.Rejected})
		return
	}
	d.mu.Lock()
	r.handle = h
	givenUp := r.givenUp
	d.mu.Unlock()
	if givenUp {
		h.Cancel()
		d.over(id)
	}
}

// later does something after a pause, unless the desk is closed before.
func (d *Executor) later(do func()) {
	d.work.Go(func() {
		select {
		case <-time.After(storeAgain):
			do()
		case <-d.ctx.Done():
		}
	})
}

// readd hands a ticket to the scheduler again.
func (d *Executor) readd(id string) {
	t, err := d.store.Get(id)
	switch {
	case errors.Is(err, invocation.ErrStorage):
		d.later(func() { d.readd(id) })
	case err == nil && t.State == invocation.StateWaiting:
		if f, ok := d.catalogue.Describe(t.Function); ok {
			d.planner.tell(schedule.AddEvent{Job: item(t, f)})
		}
	}
}

// fact words a run's answer for the ticket's life.
func fact(a call.Answer) invocation.Input {
	f := invocation.Input{Event: invocation.EventRejected, DeadlineExceeded: a.DeadlineExceeded, RetryAfter: min(max(a.RetryAfter, adviceMin), adviceMost)}
	switch {
	case a.Outcome == call.Served:
		f.Event, f.Bytes = invocation.EventServed, int64(len(a.Body))
	case a.MayHaveRun:
		f.Event = invocation.EventFailed
	}
	return f
}

// settle puts the end of a run on record. Until that has worked there is none: an answer told from memory could
// differ from the one that the next run of the program finds.
func (d *Executor) settle(t *invocation.Invocation, a call.Answer) {
	d.mu.Lock()
	delete(d.runs, t.ID)
	d.mu.Unlock()
	f := fact(a)
	f.RetryAt = d.planner.ended(t, f, a.RetryAfter)
	for {
		failpoint.Hit("before-end")
		now, e, err := d.store.Apply(t.ID, f, a.Body, d.clock.Now())
		if err == nil || !errors.Is(err, invocation.ErrStorage) {
			failpoint.Hit("after-end")
			if err == nil && e.Has(invocation.EffectSchedule) {
				if fn, ok := d.catalogue.Describe(now.Function); ok {
					d.planner.tell(schedule.AddEvent{Job: item(now, fn)})
				}
			}
			if err == nil && e.Has(invocation.EffectNotify) {
				d.told(t.ID)
			}
			return
		}
		slog.Error("tickets: the answer is not stored yet", "ticket", t.ID, "tenant", t.Tenant, "err", err)
		select {
		case <-time.After(storeAgain):
		case <-d.ctx.Done():
			return
		}
	}
}

// expire ends a ticket whose time was over while it waited.
func (d *Executor) expire(id string) {
	_, _, err := d.store.Apply(id, invocation.Input{Event: invocation.EventExpire}, nil, d.clock.Now())
	switch {
	case err == nil:
		d.told(id)
	case errors.Is(err, invocation.ErrStorage):
		slog.Error("tickets: the end is not stored yet", "ticket", id, "err", err)
		d.later(func() { d.expire(id) })
	}
}
