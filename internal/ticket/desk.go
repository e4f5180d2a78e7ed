package ticket

import (
	"context"
	"crypto/rand"
	"errors"
	"log"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
)

const (
	sweepEvery = time.Minute
	storeAgain = time.Second // pause before a final answer that could not be stored is tried again
	adviceMost = time.Minute
	adviceMin  = time.Second
)

// Desk takes orders, has the core run them, and keeps their answers.
type Desk struct {
	store   *Store
	core    *dispatch.Core
	prepare func(Order) (*call.Call, bool, error)

	mu    sync.Mutex
	lives map[string]*life
	ctx   context.Context
	stop  context.CancelFunc
	work  sync.WaitGroup
}

// life is an open ticket in this run of the program.
type life struct {
	handle *dispatch.Handle
	done   chan struct{} // closed once the final answer is stored
}

// NewDesk returns a desk. For an order, prepare gives the call that it makes and tells whether the call may
// safely run again.
func NewDesk(s *Store, c *dispatch.Core, prepare func(Order) (k *call.Call, safe bool, err error)) *Desk {
	d := &Desk{store: s, core: c, prepare: prepare, lives: map[string]*life{}}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// Resume takes up what an earlier run of the program left open, and begins to sweep.
func (d *Desk) Resume() error {
	open, err := d.store.Pending()
	if err != nil {
		return err
	}
	for _, t := range open {
		k, safe, err := d.prepare(t.Order)
		now := time.Now()
		switch {
		case err != nil: // the operator has taken the function out of the catalogue
			err = d.end(t.ID, func(t *Ticket) { t.End, t.MayHaveRun = Failed, t.MayRun })
		// It may have run before the restart, and nobody can tell any more: a second run could book twice.
		case t.MayRun && !safe:
			err = d.end(t.ID, func(t *Ticket) { t.End, t.MayHaveRun = Failed, true })
		case !now.Before(t.Deadline):
			err = d.end(t.ID, func(t *Ticket) { t.End, t.MayHaveRun = Late, t.MayRun })
		default:
			d.run(t, d.begin(t.ID), k)
		}
		if err != nil {
			return err
		}
	}
	log.Printf("tickets: %d were open at the start", len(open))
	d.work.Go(func() {
		tick := time.NewTicker(sweepEvery)
		defer tick.Stop()
		for {
			if err := d.store.Sweep(time.Now()); err != nil {
				log.Printf("tickets: sweep failed: %v", err)
			}
			select {
			case <-tick.C:
			case <-d.ctx.Done():
				return
			}
		}
	})
	return nil
}

// Close waits for what is being stored and closes the store. Open tickets stay open, for the next run.
func (d *Desk) Close() error {
	d.stop()
	d.work.Wait()
	return d.store.Close()
}

// Take puts an order on record and has it run, or finds the ticket that its key has already.
func (d *Desk) Take(o Order) (*Ticket, error) {
	k, _, err := d.prepare(o)
	if err != nil {
		return nil, err
	}
	// Known before it is on record, so that a repeat under the key finds something to wait for.
	id := rand.Text()
	l := d.begin(id)
	t, found, err := d.store.Create(id, o, mathrand.Uint64(), time.Now())
	if err != nil || found {
		d.mu.Lock()
		delete(d.lives, id)
		d.mu.Unlock()
		return t, err
	}
	d.run(t, l, k)
	return t, nil
}

func (d *Desk) begin(id string) *life {
	l := &life{done: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lives[id] = l
	return l
}

// run hands a ticket's call to the core. Whatever becomes of it ends in one call of end.
func (d *Desk) run(t *Ticket, l *life, k *call.Call) {
	k.ID, k.Deadline = t.CallID, t.Deadline
	k.MayRun = func() error { return d.store.MarkMayRun(t.ID) }
	k.Done = func(a call.Answer) {
		// On a goroutine of its own: the core's must not wait for a disk.
		d.work.Go(func() { d.settle(t.ID, a) })
	}
	h, err := d.core.Submit(k)
	d.mu.Lock()
	l.handle = h
	d.mu.Unlock()
	if err != nil {
		k.Done(call.Answer{Outcome: call.Refused})
	}
}

// settle stores the core's final answer. Until that has worked there is none: one told from memory could
// differ from the one that the next run of the program finds.
func (d *Desk) settle(id string, a call.Answer) {
	now := time.Now()
	advice := min(max(a.RetryAfter, adviceMin), adviceMost)
	for {
		err := d.end(id, func(t *Ticket) {
			t.MayHaveRun = a.MayHaveRun
			switch {
			case a.Outcome == call.Served:
				t.End, t.Result = Served, a.Body
			case a.Late:
				t.End = Late
			case a.Outcome == call.Refused:
				t.End, t.RetryAt = Refused, now.Add(advice)
			default:
				t.End = Failed
			}
		})
		if err == nil || errors.Is(err, ErrUnknown) || errors.Is(err, ErrExpired) {
			return
		}
		log.Printf("tickets: the answer of %s is not stored yet: %v", id, err)
		select {
		case <-time.After(storeAgain):
		case <-d.ctx.Done():
			return
		}
	}
}

// end stores a final answer, unless there is one, and wakes those who wait for it.
func (d *Desk) end(id string, set func(*Ticket)) error {
	_, err := d.store.Finish(id, func(t *Ticket) {
		t.Ended = time.Now()
		set(t)
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	l := d.lives[id]
	delete(d.lives, id)
	d.mu.Unlock()
	if l != nil {
		close(l.done)
	}
	return nil
}

// Wait returns a ticket of the tenant once it has ended, or as it stands when ctx ends.
func (d *Desk) Wait(ctx context.Context, tenant, id string) (*Ticket, error) {
	d.mu.Lock()
	l := d.lives[id]
	d.mu.Unlock()
	t, err := d.get(tenant, id)
	if err != nil || l == nil || t.End != Open {
		return t, err
	}
	select {
	case <-l.done:
	case <-ctx.Done():
	}
	return d.get(tenant, id)
}

// get reads a ticket. To all but its owner there is no such ticket.
func (d *Desk) get(tenant, id string) (*Ticket, error) {
	t, err := d.store.Get(id)
	if t == nil || t.Tenant != tenant {
		if err == nil || !errors.Is(err, ErrStore) {
			err = ErrUnknown
		}
		return nil, err
	}
	return t, err
}

// GiveUp ends a ticket for its owner. An answer that came first stays.
func (d *Desk) GiveUp(tenant, id string) (*Ticket, error) {
	if _, err := d.get(tenant, id); err != nil {
		return nil, err
	}
	d.mu.Lock()
	var h *dispatch.Handle
	if l := d.lives[id]; l != nil {
		h = l.handle
	}
	d.mu.Unlock()
	if err := d.end(id, func(t *Ticket) { t.End, t.MayHaveRun = GivenUp, t.MayRun }); err != nil {
		return nil, err
	}
	if h != nil {
		h.GiveUp()
	}
	return d.get(tenant, id)
}
