// Package dispatch is the core: one goroutine that owns the decision module. Fronts, links and the notice
// board reach it through its queue only; it never waits for a socket or a disk. Each call that it accepts
// gets exactly one final answer.
package dispatch

import (
	"container/heap"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/logthrottle"
	"kitefall/internal/worker"
)

const (
	queueSize = 8192
	// answerBefore is the part of the rules' slack after a deadline that is left to the module's own answer.
	answerBefore = 0.5
)

// unmarked is the log line of calls that end before their first attempt: clients cause it by giving up in that moment.
var unmarked = logthrottle.New()

// callID is a call as the workers and the log name it.
func callID(id uint64) string { return fmt.Sprintf("%016x", id) }

// ErrBusy tells that a call was not taken in: trying again is harmless.
var ErrOverloaded = errors.New("too much is open")

// Config is what the core is told at start.
type Config struct {
	Settings     balancer.Settings
	Seed         uint64
	Pool         worker.Config
	MaxInFlight  int   // calls
	MaxBodyBytes int64 // bytes of the bodies of open calls
}

// Core runs the decision module.
type Core struct {
	config Config
	queue  chan func()
	stop   chan struct{}
	ended  chan struct{}
	open   atomic.Int64 // calls accepted and not answered
	held   atomic.Int64 // bytes of their bodies
	known  atomic.Bool

	// The rest belongs to the owner, the goroutine of Run.
	module interface { // a balancer.Balancer, but for tests
		Handle(now time.Duration, e balancer.Event) []balancer.Action
	}
	now     time.Duration
	last    balancer.RequestID
	calls   map[balancer.RequestID]*open
	links   map[balancer.WorkerID]*link
	orders  map[orderKey]*order
	timers  timers
	backlog []balancer.Event
}

// link is the way to a worker, and where that goes.
type link struct {
	*worker.Pool
	addr string
	gone bool // the worker has left
}

// open is a call that is not answered, or has attempts out.
type open struct {
	*call.Call
	handle   *Handle
	id       balancer.RequestID
	attempts []*attempt
	out      int
	closed   bool // answered, or given up by its client
	marked   bool // MayRun has passed, or there is none
	due      *timed
}

type attempt struct {
	*open
	n      int
	worker balancer.WorkerID
	at     time.Time
	until  time.Time
	begin  time.Time // it must not begin after this; zero: while somebody waits
	over   bool
	ran    bool // it may have run
	link   *link
	job    *worker.PendingRequest // nil until the link has it
	due    *timed
}

type orderKey struct {
	worker   balancer.WorkerID
	function balancer.FunctionID
}

type order struct {
	orderKey
	at   time.Time
	job  *worker.PendingRequest
	link *link
	due  *timed
}

// New returns a core for the settings.
func New(c Config) (*Core, error) {
	// Fronts decide whether a client is told when to come back; the module always advises.
	c.Settings.SendRetryAfter = true
	m, err := balancer.New(c.Settings, c.Seed)
	if err != nil {
		return nil, err
	}
	return &Core{config: c, module: m, queue: make(chan func(), queueSize), stop: make(chan struct{}),
		ended: make(chan struct{}),
		calls: map[balancer.RequestID]*open{}, links: map[balancer.WorkerID]*link{},
		orders: map[orderKey]*order{}}, nil
}

// Known tells whether the list of workers is known.
func (c *Core) EndpointsKnown() bool { return c.known.Load() }

// Open is the number of calls accepted and not yet answered.
func (c *Core) InFlight() int64 { return c.open.Load() }

// Handle names an accepted call, to give it up by.
type Handle struct {
	core *Core
	id   balancer.RequestID
	over atomic.Bool // answered or given up: nothing of the call may begin any more, wherever it waits
}

// Submit hands a call in. With an error it was not taken, and its Done will not be called.
func (c *Core) Submit(k *call.Call) (*Handle, error) {
	// Refused here, at once: past these bounds memory would end the program, and every open call with it.
	calls, bytes := c.open.Add(1), c.held.Add(int64(len(k.Body)))
	if calls > int64(c.config.MaxInFlight) || bytes > c.config.MaxBodyBytes {
		c.release(k)
		return nil, ErrOverloaded
	}
	h := &Handle{core: c}
	select {
	case c.queue <- func() { c.accept(k, h) }:
		return h, nil
	default:
		c.release(k)
		return nil, ErrOverloaded
	}
}

func (c *Core) release(k *call.Call) {
	c.open.Add(-1)
	c.held.Add(-int64(len(k.Body)))
}

// GiveUp tells that the client has left: no answer is owed, and Done is not called any more. From this moment on no
// attempt begins, though the owner may hear of it late.
func (h *Handle) Cancel() {
	h.over.Store(true)
	h.core.post(func() {
		if o := h.core.calls[h.id]; o != nil && !o.closed {
			h.core.close(o)
			h.core.feed(balancer.ClientGoneEvent{ID: o.id})
		}
	})
}

// News passes on what the notice board tells.
func (c *Core) UpdateEndpoints(l discovery.Update) { c.post(func() { c.onList(l) }) }

// post hands an event to the owner. It waits for room, so the owner itself must not call it.
func (c *Core) post(f func()) {
	select {
	case c.queue <- f:
	case <-c.stop:
	}
}

// Run owns the module until Stop.
func (c *Core) Run() {
	defer close(c.ended)
	timer := time.NewTimer(time.Hour)
	for {
		if len(c.timers) > 0 {
			timer.Reset(time.Until(c.timers[0].at))
		}
		select {
		case f := <-c.queue:
			f()
		case <-timer.C:
		case <-c.stop:
			return
		}
		for len(c.timers) > 0 && !time.Now().Before(c.timers[0].at) {
			heap.Pop(&c.timers).(*timed).do()
		}
	}
}

// Stop ends Run and waits for that. What is open stays unanswered.
func (c *Core) Stop() {
	close(c.stop)
	<-c.ended
}

// at has the owner do something at a time.
func (c *Core) at(t time.Time, do func()) *timed {
	d := &timed{at: t, do: do}
	heap.Push(&c.timers, d)
	return d
}

// drop takes back what is not due any more. Left in place, it would hold its call, body and all, until then.
func (c *Core) drop(d *timed) {
	if d != nil && d.place >= 0 {
		heap.Remove(&c.timers, d.place)
	}
}

// feed gives the module an event and carries out what it answers. Events that come of that follow in turn.
func (c *Core) feed(e balancer.Event) {
	c.backlog = append(c.backlog, e)
	if len(c.backlog) > 1 {
		return // the call further up the stack goes on with it
	}
	for len(c.backlog) > 0 {
		// The module is promised a time that never goes back; the system's clock may.
		c.now = max(c.now, time.Duration(time.Now().UnixNano()))
		for _, a := range c.module.Handle(c.now, c.backlog[0]) {
			c.do(a)
		}
		c.backlog = c.backlog[1:]
	}
	c.backlog = nil
}

func (c *Core) do(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		c.send(a)
	case balancer.Cancel:
		if o := c.calls[a.ID]; o != nil && a.Attempt >= 0 && a.Attempt < len(o.attempts) {
			c.callOff(o.attempts[a.Attempt], balancer.Cancelled)
		}
	case balancer.Reject:
		c.answer(c.calls[a.ID], call.Answer{Outcome: call.Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		c.answer(c.calls[a.ID], call.Answer{Outcome: call.Failed})
	case balancer.Load:
		c.load(a)
	case balancer.Unload:
		if l := c.links[a.Worker]; l != nil {
			l.Unload(string(a.Function), time.Now().Add(c.config.Settings.LoadTimeout))
		}
	case balancer.SetTimer:
		c.at(time.Now().Add(a.After), func() { c.feed(balancer.TimerEvent{TimerID: a.TimerID}) })
	case balancer.Log:
		slog.Info("module: " + a.Text)
	default: // Watch and Fetch: the board takes neither here
		slog.Error("core: the module asked for what is not to be had here", "action", fmt.Sprintf("%T", a))
	}
}

func (c *Core) accept(k *call.Call, h *Handle) {
	if h.over.Load() { // its client has gone while it waited here
		c.release(k)
		return
	}
	c.last++
	o := &open{Call: k, handle: h, id: c.last, marked: k.BeforeFirstAttempt == nil}
	h.id = o.id
	c.calls[o.id] = o
	s := &c.config.Settings
	// Should the module ever stay silent, the core answers in its place, within the rules' slack.
	o.due = c.at(k.Deadline.Add(time.Duration(answerBefore*float64(s.AnswerGrace))), func() {
		if !o.closed {
			slog.Error("core: no answer of the module at the deadline", "call", callID(k.ID))
			c.answer(o, call.Answer{Outcome: call.Failed})
			c.feed(balancer.ClientGoneEvent{ID: o.id})
		}
	})
	c.feed(balancer.RequestEvent{ID: o.id, Function: balancer.FunctionID(k.Function), Class: k.Class, Tenant: k.Tenant,
		TimeLeft: time.Until(k.Deadline), MemoryMB: k.MemoryMB, Concurrency: k.Concurrency, LoadTime: k.LoadTime, WorkEstimate: k.WorkEstimate})
}

// answer gives a call its final answer, once.
func (c *Core) answer(o *open, a call.Answer) {
	if o == nil || o.closed {
		return
	}
	for _, t := range o.attempts {
		a.MayHaveRun = a.MayHaveRun || t.ran || !t.over && t.job != nil
	}
	a.DeadlineExceeded = !time.Now().Before(o.Deadline)
	c.close(o)
	o.Done(a)
}

func (c *Core) close(o *open) {
	o.closed = true
	o.handle.over.Store(true)
	c.drop(o.due)
	c.release(o.Call)
	c.forget(o)
}

func (c *Core) forget(o *open) {
	if o.closed && o.out == 0 {
		delete(c.calls, o.id)
	}
}

func (c *Core) send(a balancer.Send) {
	o := c.calls[a.ID]
	if o == nil {
		return
	}
	now := time.Now()
	t := &attempt{open: o, n: len(o.attempts), worker: a.Worker, at: now, until: o.Deadline}
	if a.Timeout > 0 && now.Add(a.Timeout).Before(t.until) {
		t.until = now.Add(a.Timeout)
	}
	if a.StartWithin > 0 {
		t.begin = now.Add(a.StartWithin)
	}
	o.attempts = append(o.attempts, t)
	o.out++
	if o.marked {
		c.launch(t)
		return
	}
	go func() { // on a goroutine of its own, since it waits for a disk
		err := o.BeforeFirstAttempt()
		c.post(func() { c.cleared(t, err) })
	}()
}

// cleared goes on with an attempt once it is on record that its call may run.
func (c *Core) cleared(t *attempt, err error) {
	if err != nil && !t.closed {
		unmarked.Log(slog.LevelWarn, "core: call refused, it could not be put on record", "call", callID(t.ID), "err", err)
		c.answer(t.open, call.Answer{Outcome: call.Rejected})
		c.feed(balancer.ClientGoneEvent{ID: t.id})
	}
	t.marked = err == nil
	c.launch(t)
}

// launch hands an attempt to its link. The call may have ended while it was put on record.
func (c *Core) launch(t *attempt) {
	l := c.links[t.worker]
	if t.over {
		return
	}
	if l == nil || t.handle.over.Load() || !time.Now().Before(t.until) {
		c.outcome(t, worker.Result{Status: balancer.NotSent})
		return
	}
	job, err := l.Call(worker.Attempt{ID: t.ID, Class: t.Class, Function: t.Function, Body: t.Body, Deadline: t.until,
		StartBy: t.begin, Abandoned: t.handle.over.Load}, func(r worker.Result) {
		c.post(func() { c.outcome(t, r) })
	})
	if err != nil { // for want of room on this side, which says nothing of the worker
		c.outcome(t, worker.Result{Status: balancer.NotSent})
		return
	}
	t.link, t.job = l, job
	t.due = c.at(t.until, func() { c.callOff(t, balancer.TimedOut) })
}

// callOff ends the wait for an attempt from this side.
func (c *Core) callOff(t *attempt, s balancer.Status) {
	if t.over {
		return
	}
	if t.job == nil || !t.link.Cancel(t.job) {
		s = balancer.NotSent // never written, so it never ran
	}
	c.outcome(t, worker.Result{Status: s})
}

var neverRan = map[balancer.Status]bool{balancer.Rejected: true, balancer.ConnectFailed: true, balancer.NotSent: true, balancer.Miss: true}

// outcome takes in the end of an attempt, once; an answer that crosses the end of the wait is dropped.
func (c *Core) outcome(t *attempt, r worker.Result) {
	if t.over {
		return
	}
	t.over, t.ran = true, !neverRan[r.Status]
	t.out--
	c.drop(t.due)
	if r.Status == balancer.OK {
		c.answer(t.open, call.Answer{Outcome: call.Served, Body: r.Body})
	}
	closed := t.closed
	c.forget(t.open)
	c.feed(balancer.OutcomeEvent{ID: t.id, Attempt: t.n, Worker: t.worker, Status: r.Status,
		Elapsed: time.Since(t.at), Answered: closed, Warmth: r.Warmth, QueueDepth: r.QueueDepth})
}

func (c *Core) load(a balancer.Load) {
	o := &order{orderKey: orderKey{a.Worker, a.Function}, at: time.Now(), link: c.links[a.Worker]}
	until := o.at.Add(c.config.Settings.LoadTimeout)
	begin := until
	if a.StartWithin > 0 {
		begin = o.at.Add(a.StartWithin)
	}
	c.orders[o.orderKey] = o
	if o.link == nil {
		c.loaded(o, worker.Result{Status: balancer.ConnectFailed})
		return
	}
	job, err := o.link.Load(string(a.Function), a.Copies, begin, until, func(r worker.Result) {
		c.post(func() { c.loaded(o, r) })
	})
	if err != nil { // as for a call: nothing is said of the worker
		c.loaded(o, worker.Result{Status: balancer.NotSent})
		return
	}
	o.job = job
	o.due = c.at(until, func() {
		if c.orders[o.orderKey] == o {
			o.link.Cancel(o.job)
			c.loaded(o, worker.Result{Status: balancer.TimedOut})
		}
	})
}

func (c *Core) loaded(o *order, r worker.Result) {
	if c.orders[o.orderKey] != o {
		return // it has ended already
	}
	delete(c.orders, o.orderKey)
	c.drop(o.due)
	c.feed(balancer.LoadEndedEvent{Worker: o.worker, Function: o.function, Status: r.Status, Elapsed: time.Since(o.at),
		Copies: r.Copies})
}

func (c *Core) onList(l discovery.Update) {
	named := map[balancer.WorkerID]bool{}
	e := balancer.EndpointsEvent{Scope: l.Scope}
	for _, w := range l.Endpoints {
		named[w.ID] = true
		e.Workers = append(e.Workers, w.Worker)
		k := c.links[w.ID]
		if k != nil && w.Addr == "" { // a change may name a worker without it
			w.Addr = k.addr
		}
		if k == nil || k.addr != w.Addr {
			if k != nil { // it came back elsewhere; what is open there may still be answered
				k.MarkUnavailable(true)
			}
			k = &link{Pool: worker.NewPool(string(w.ID), w.Addr, &c.config.Pool), addr: w.Addr}
			c.links[w.ID] = k
		}
		k.gone = w.State == balancer.Removed
		if w.State == balancer.Ready {
			k.MarkReady(w.Started)
		} else {
			k.MarkUnavailable(k.gone)
		}
	}
	for id, k := range c.links {
		if l.Scope != balancer.ScopeDelta && !named[id] { // who is absent from a whole list is gone
			k.gone = true
			k.MarkUnavailable(true)
		}
		if k.gone && k.Idle() { // the worker will not come back under this uid; else there would be ever more of them
			delete(c.links, id)
		}
	}
	slog.Info("board: list", "scope", int(l.Scope), "entries", len(l.Endpoints), "workers", len(c.links))
	c.feed(e)
	c.known.Store(true)
}

type timed struct {
	at    time.Time
	do    func()
	place int // in the heap; -1: it has left
}

type timers []*timed

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	d := x.(*timed)
	d.place = len(*t)
	*t = append(*t, d)
}
func (t *timers) Pop() any {
	old := *t
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	d.place = -1
	return d
}
