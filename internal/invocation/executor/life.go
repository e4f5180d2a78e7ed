package executor

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/failpoint"
	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// life is a synchronous call, from its order to its end on record, if it is put there at all.
type life struct {
	id, tenant string
	done       chan struct{} // closed once the final answer may be told
	claim      *claim

	mu       sync.Mutex // held also while the ticket is put on record: its steps come one after another
	ticket   *invocation.Invocation
	onRecord bool
	result   []byte
	handle   *dispatch.Handle
	givenUp  bool
	err      error // nothing ran, and it could not be put on record
}

func (l *life) view() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return View{Invocation: new(*l.ticket), Result: l.result, Durable: l.onRecord}
}

// claim is a tenant's Idempotency-Key while its first order is being taken, and, for a synchronous call, until that
// has ended: what is not on record yet cannot be found there.
type claim struct {
	key         string
	fingerprint []byte
	ready       chan struct{} // closed once the rest is set
	life        *life         // the synchronous call that has the key
	id          string        // or else the ticket on record
	err         error
}

// claim takes an order's key, or waits until it is known who has it. Without a key there is nothing to take.
func (d *Executor) claim(o *invocation.Request) (mine, other *claim, err error) {
	c := &claim{fingerprint: o.Fingerprint, ready: make(chan struct{})}
	if o.IdempotencyKey == "" {
		return c, nil, nil
	}
	c.key = o.Tenant + "\x00" + o.IdempotencyKey
	d.mu.Lock()
	first := d.claims[c.key]
	if first == nil {
		d.claims[c.key] = c
	}
	d.mu.Unlock()
	if first == nil {
		return c, nil, nil
	}
	if !bytes.Equal(first.fingerprint, o.Fingerprint) {
		return nil, nil, invocation.ErrKeyReused
	}
	<-first.ready
	return nil, first, first.err
}

// settleClaim tells who has the key. Unless that is a synchronous call, the record knows it from here on.
func (d *Executor) settleClaim(c *claim, l *life, id string, err error) {
	c.life, c.id, c.err = l, id, err
	if close(c.ready); l == nil {
		d.unclaim(c)
	}
}

func (d *Executor) unclaim(c *claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claims[c.key] == c {
		delete(d.claims, c.key)
	}
}

// Invoke has an order run at once and returns its final answer, or how it stands when ctx ends. Under a key that has
// a ticket already, it waits for that one.
func (d *Executor) Invoke(ctx context.Context, o invocation.Request) (View, error) {
	o.Deferred = false
	k, err := d.catalogue.Call(&o)
	if err != nil {
		return View{}, invocation.ErrNotFound
	}
	now := d.clock.Now()
	mine, other, err := d.claim(&o)
	switch {
	case err != nil:
		return View{}, err
	case other != nil && other.life != nil:
		return d.follow(ctx, other.life)
	case other != nil:
		return d.Wait(ctx, o.Tenant, other.id)
	}
	found, err := d.store.FindByKey(&o, now)
	if found != nil || err != nil {
		if err != nil {
			d.settleClaim(mine, nil, "", err)
			return View{}, err
		}
		d.settleClaim(mine, nil, found.ID, nil)
		return d.Wait(ctx, o.Tenant, found.ID)
	}
	t := invocation.New(rand.Text(), o, now)
	l := &life{id: t.ID, tenant: o.Tenant, done: make(chan struct{}), ticket: t, claim: mine}
	d.mu.Lock()
	d.lives[l.id] = l
	d.mu.Unlock()
	d.settleClaim(mine, l, "", nil) // from here on others may ask for it by its id
	k.ID, k.Deadline = mathrand.Uint64(), d.clock.Machine(o.Expires)
	if !o.Idempotent {
		k.BeforeFirstAttempt = func() error { return d.mark(l) }
	}
	k.Done = func(a call.Answer) {
		d.planner.tell(schedule.ForegroundEvent{Rejected: a.Outcome == call.Rejected})
		if t.Ephemeral {
			d.end(l, a) // it needs no disk, so the core's goroutine waits for nothing
			return
		}
		d.work.Go(func() { d.end(l, a) })
	}
	h, err := d.core.Submit(k)
	if err != nil {
		k.Done(call.Answer{Outcome: call.Rejected})
	}
	l.mu.Lock()
	l.handle = h
	late := l.givenUp
	l.mu.Unlock()
	if late && h != nil {
		h.Cancel()
	}
	v, err := d.follow(ctx, l)
	if t.Ephemeral && v.Invocation != nil && v.State != invocation.StateCompleted && ctx.Err() != nil {
		return d.leave(l) // nobody can ask for it any more
	}
	return v, err
}

// follow waits for a synchronous call's final answer.
func (d *Executor) follow(ctx context.Context, l *life) (View, error) {
	select {
	case <-l.done:
	case <-ctx.Done():
	}
	l.mu.Lock()
	err := l.err
	l.mu.Unlock()
	if err != nil {
		return View{}, err
	}
	return l.view(), nil
}

var errOther = errors.New("the key has a ticket already")

// mark puts a call on record just before its first byte is written to a worker.
func (d *Executor) mark(l *life) error {
	err := d.step(l, invocation.Input{Event: invocation.EventStart}, nil)
	failpoint.Hit("marked")
	return err
}

// step applies a fact to a synchronous call, in memory until it has to be on record, there from then on.
func (d *Executor) step(l *life, f invocation.Input, result []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := d.clock.Now()
	if l.onRecord {
		t, _, err := d.store.Apply(l.id, f, result, now)
		if t != nil {
			t.Body = nil
			l.ticket = t
		}
		if err == nil {
			l.keep(result)
		}
		return err
	}
	t := new(*l.ticket)
	t.Body = l.ticket.Body
	_, e, err := invocation.Step(t, f, now)
	if err != nil {
		return err
	}
	// One that has ended unmarked and has no key cannot be asked for by anybody: nothing of it was ever told.
	if e.Has(invocation.EffectPersist) && (t.State != invocation.StateCompleted || t.IdempotencyKey != "") {
		found, err := d.store.Create(t, result, now)
		if err != nil {
			return err
		}
		if found != nil { // its claim keeps others from the key
			return errOther
		}
		l.onRecord = true
	}
	l.ticket = t
	l.keep(result)
	return nil
}

// keep has the result seen together with the end that it belongs to, with l locked: who asks between the two would be
// told of an empty one.
func (l *life) keep(result []byte) {
	if l.ticket.Outcome == invocation.OutcomeServed {
		l.result = result
	}
}

// end gives a synchronous call its final answer. As for settle: nothing is told that could not be stored.
func (d *Executor) end(l *life, a call.Answer) {
	f := fact(a)
	for {
		failpoint.Hit("before-end")
		err := d.step(l, f, a.Body)
		if err == nil || !errors.Is(err, invocation.ErrStorage) {
			failpoint.Hit("after-end")
			d.close(l)
			return
		}
		l.mu.Lock()
		ran := l.onRecord
		l.mu.Unlock()
		if !ran && a.Outcome != call.Served {
			// Nothing of it is on record and nothing ran: its client hears so, and may come again.
			l.mu.Lock()
			l.err = err
			l.mu.Unlock()
			d.close(l)
			return
		}
		slog.Error("tickets: the answer is not stored yet", "ticket", l.id, "tenant", l.tenant, "err", err)
		select {
		case <-time.After(storeAgain):
		case <-d.ctx.Done():
			return
		}
	}
}

// close tells a synchronous call's end, once.
func (d *Executor) close(l *life) {
	d.mu.Lock()
	_, open := d.lives[l.id]
	delete(d.lives, l.id)
	d.mu.Unlock()
	d.unclaim(l.claim)
	if open {
		close(l.done)
	}
	d.told(l.id)
}

// leave ends a synchronous call for its owner.
func (d *Executor) leave(l *life) (View, error) {
	err := d.step(l, invocation.Input{Event: invocation.EventCancel}, nil)
	if err != nil && !errors.Is(err, invocation.ErrCompleted) {
		return View{}, err
	}
	if err == nil {
		l.mu.Lock()
		l.givenUp = true
		h := l.handle
		l.mu.Unlock()
		if h != nil {
			h.Cancel()
		}
		d.close(l)
	}
	return l.view(), nil
}
