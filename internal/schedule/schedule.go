// Package schedule decides which deferred call runs next, and when. It is a pure module: events and a time in,
// actions out; no I/O, no clock, no goroutine; equal settings, seed and events give equal actions. It is not safe
// for concurrent use.
//
// Which worker a run goes to, whether an attempt is repeated within it and what is turned away stays with package
// rules; here a run is one call of the core, served, turned away or broken.
package schedule

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tidwall/btree"
)

// Item is a ticket that waits for a run.
type Job struct {
	ID        string
	Tenant    string
	Class     string
	Function  string // what one loaded copy serves
	Urgency   uint8  // RFC 9218: 0 the most urgent
	Cost      float64
	NotBefore time.Time
	Expires   time.Time
	Runs      int // begun so far
}

// Event is something that happened. The types with the suffix Event implement it.
type Event interface{ event() }

// AddEvent hands over a ticket, a new one or one that goes again. Its ID is not known here at that time.
type AddEvent struct{ Job }

// Result is how a run ended.
type Result int

// The results.
const (
	Served   Result = iota
	Rejected        // it never ran
	Failed          // it may have run
)

// EndedEvent ends a run that a Run action began. The answer to one that was not served is an Again action.
type RunEndedEvent struct {
	ID         string
	Result     Result
	RetryAfter time.Duration // of Turned: the module's advice when to come back
	Elapsed    time.Duration // from the run's begin
}

// VoidEvent takes back a Run action that could not be carried out: nothing was handed to the core.
type RunAbortedEvent struct{ ID string }

// DropEvent takes a waiting ticket out, or tells that one with a run in hand is given up.
type RemoveEvent struct{ ID string }

// ForegroundEvent tells how a call ended that somebody waits for.
type ForegroundEvent struct{ Rejected bool }

// TickEvent lets time pass.
type TickEvent struct{}

func (AddEvent) event()        {}
func (RunEndedEvent) event()   {}
func (RunAbortedEvent) event() {}
func (RemoveEvent) event()     {}
func (ForegroundEvent) event() {}
func (TickEvent) event()       {}

// Action is something to carry out, in the order given.
type Action interface{ action() }

// Run begins a run of a ticket.
type StartRun struct{ ID string }

// Again answers an EndedEvent of a run that was not served: when the next run may begin; zero: there is none.
type Retry struct {
	ID string
	At time.Time
}

// Expire tells that a waiting ticket's time is over. It has been taken out.
type Expire struct{ ID string }

// Wake asks for a TickEvent at a time. The latest one counts.
type SetTimer struct{ At time.Time }

func (StartRun) action() {}
func (Retry) action()    {}
func (Expire) action()   {}
func (SetTimer) action() {}

// Scheduler holds what waits and what runs.
type Scheduler struct {
	config Config
	random *rand.Rand
	seq    uint64

	items    map[string]*item
	expiry   *btree.BTreeG[*item] // all that wait
	later    *btree.BTreeG[*item] // first runs whose time has not come
	retries  *btree.BTreeG[*item] // runs after the first, until their time has come and the budget has room
	tenants  map[string]*tenant
	classes  map[string]float64
	funcs    map[string]*function
	inFlight int
	limit    limit
	retry    bucket // tokens for runs after the first
	opens    bucket // tokens for functions that are not warm
}

type place int

const (
	waitsLater place = iota
	waitsRetry
	ready
	running
)

type item struct {
	Job
	seq   uint64
	place place
	since time.Time // ready since
	began time.Time
	warm  bool    // its function was warm when it began
	level float64 // worth of its class; more goes first
	owner *tenant
	queue *queue
}

// tenant is one of those who share the runs. Who has the least served, by its weight, comes next.
type tenant struct {
	name   string
	weight float64
	served float64
	ready  *btree.BTreeG[*item] // by the time since when they are
	queues map[string]*queue
}

// queue holds the ready items of one tenant for one function, the one to run first at the front.
type queue struct {
	function *function
	items    *btree.BTreeG[*item]
}

// function is what is known of a function's copies.
type function struct {
	name     string
	inFlight int
	warm     time.Time // copies of it are expected to stand until then
	ready    int
	took     latency
}

func byExpiry(a, b *item) bool {
	if c := a.Expires.Compare(b.Expires); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func byStart(a, b *item) bool {
	if c := a.NotBefore.Compare(b.NotBefore); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func bySince(a, b *item) bool {
	if c := a.since.Compare(b.since); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// byRank is the order within a tenant: worth of the class, then what the client asked for, then the nearest end.
func byRank(a, b *item) bool {
	if a.level != b.level {
		return a.level > b.level
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return byExpiry(a, b)
}

func tree(less func(a, b *item) bool) *btree.BTreeG[*item] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: 16})
}

// New returns a scheduler that has just started: it begins slowly.
func New(c Config, seed uint64, now time.Time) (*Scheduler, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{config: c, random: rand.New(rand.NewPCG(seed, 0)), items: map[string]*item{},
		expiry: tree(byExpiry), later: tree(byStart), retries: tree(byStart), tenants: map[string]*tenant{},
		funcs: map[string]*function{}}
	s.limit = newLimit(c, now)
	s.retry = bucket{rate: c.RetryRate, most: max(1, c.RetryBurst), tokens: max(1, c.RetryBurst), at: now}
	s.opens = bucket{rate: c.ColdStartBurst / openSpan.Seconds(), most: max(1, c.ColdStartBurst), tokens: max(1, c.ColdStartBurst), at: now}
	return s, nil
}

// Waiting is how many tickets wait; Running how many runs are in hand; Limit how many there may be.
func (s *Scheduler) Waiting() int { return len(s.items) - s.inFlight }

// Running is how many runs are in hand.
func (s *Scheduler) Running() int { return s.inFlight }

// Limit is how many runs there may be in hand now.
func (s *Scheduler) Limit() int { return s.limit.allowed() }

// Dark tells whether nothing has been served for long.
func (s *Scheduler) Stalled() bool { return s.limit.dark }

// Handle takes an event in and returns what is to be done.
func (s *Scheduler) Handle(now time.Time, e Event) (out []Action) {
	switch e := e.(type) {
	case AddEvent:
		s.add(now, e.Job)
	case RunEndedEvent:
		out = s.ended(now, e)
	case RunAbortedEvent:
		if it := s.items[e.ID]; it != nil && it.place == running {
			s.remove(it)
		}
	case RemoveEvent:
		if it := s.items[e.ID]; it != nil && it.place != running { // a run in hand ends by itself
			s.remove(it)
		}
	case ForegroundEvent:
		s.limit.foreground(now, e.Rejected)
	}
	return s.turn(now, out)
}

// turn carries on with all that time or a place has made possible.
func (s *Scheduler) turn(now time.Time, out []Action) []Action {
	for it, ok := s.expiry.Min(); ok && !now.Before(it.Expires); it, ok = s.expiry.Min() {
		s.remove(it)
		out = append(out, Expire{it.ID})
	}
	for it, ok := s.later.Min(); ok && !now.Before(it.NotBefore); it, ok = s.later.Min() {
		s.later.Delete(it)
		s.enqueue(now, it)
	}
	for it, ok := s.retries.Min(); ok && !now.Before(it.NotBefore) && s.retry.take(now, 1); it, ok = s.retries.Min() {
		s.retries.Delete(it)
		s.enqueue(now, it)
	}
	var wake time.Time
	for s.inFlight < s.limit.allowed() && s.limit.open(now) {
		it, again := s.pick(now)
		if it == nil {
			wake = again
			break
		}
		s.begin(now, it)
		out = append(out, StartRun{it.ID})
	}
	return s.plan(now, wake, out)
}

// plan says when to look again.
func (s *Scheduler) plan(now, wake time.Time, out []Action) []Action {
	sooner := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if it, ok := s.expiry.Min(); ok {
		sooner(it.Expires)
	}
	if it, ok := s.later.Min(); ok {
		sooner(it.NotBefore)
	}
	if it, ok := s.retries.Min(); ok {
		at := s.retry.when(now, 1)
		if at.Before(it.NotBefore) {
			at = it.NotBefore
		}
		sooner(at)
	}
	if s.Waiting() > 0 {
		sooner(s.limit.opens(now))
	}
	if wake.IsZero() {
		return out
	}
	if !wake.After(now) {
		wake = now.Add(time.Millisecond)
	}
	return append(out, SetTimer{wake})
}

func (s *Scheduler) add(now time.Time, i Job) {
	if s.items[i.ID] != nil {
		return
	}
	s.seq++
	it := &item{Job: i, seq: s.seq, level: s.config.Classes[i.Class]}
	if it.Cost <= 0 {
		it.Cost = 1
	}
	if it.owner = s.tenants[i.Tenant]; it.owner == nil {
		it.owner = &tenant{name: i.Tenant, weight: cmp.Or(s.config.Tenants[i.Tenant], 1), ready: tree(bySince),
			queues: map[string]*queue{}}
		s.tenants[i.Tenant] = it.owner
	}
	s.items[i.ID] = it
	s.expiry.Set(it)
	switch {
	case i.Runs > 0: // it goes again only within the budget for that
		it.place = waitsRetry
		s.retries.Set(it)
	case now.Before(i.NotBefore):
		it.place = waitsLater
		s.later.Set(it)
	default:
		s.enqueue(now, it)
	}
}

func (s *Scheduler) enqueue(now time.Time, it *item) {
	t := it.owner
	if t.ready.Len() == 0 { // what it left unused while it had nothing to run is not saved up
		t.served = max(t.served, s.leastServed())
	}
	q := t.queues[it.Function]
	if q == nil {
		f := s.funcs[it.Function]
		if f == nil {
			f = &function{name: it.Function}
			s.funcs[it.Function] = f
		}
		q = &queue{function: f, items: tree(byRank)}
		t.queues[it.Function] = q
	}
	it.place, it.since, it.queue = ready, now, q
	q.items.Set(it)
	t.ready.Set(it)
	q.function.ready++
}

func (s *Scheduler) leastServed() float64 {
	least := math.Inf(1)
	for _, t := range s.tenants {
		if t.ready.Len() > 0 {
			least = min(least, t.served)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// dequeue takes an item out of its queue.
func (s *Scheduler) dequeue(it *item) {
	q := it.queue
	q.items.Delete(it)
	it.owner.ready.Delete(it)
	q.function.ready--
	if q.items.Len() == 0 {
		delete(it.owner.queues, it.Function)
	}
}

// remove forgets an item, wherever it is.
func (s *Scheduler) remove(it *item) {
	switch it.place {
	case waitsLater:
		s.later.Delete(it)
	case waitsRetry:
		s.retries.Delete(it)
	case ready:
		s.dequeue(it)
	case running:
		s.inFlight--
		it.queue.function.inFlight--
	}
	s.expiry.Delete(it)
	delete(s.items, it.ID)
	if it.queue != nil {
		s.tidy(it.queue.function)
	}
}

// mostIdle is how many functions are remembered that nothing waits for.
const mostIdle = 4096

// tidy forgets functions that nothing waits for, once there are very many: clients name them, in the end.
func (s *Scheduler) tidy(f *function) {
	if len(s.funcs) > mostIdle && f.ready == 0 && f.inFlight == 0 {
		delete(s.funcs, f.name)
	}
}

func (s *Scheduler) begin(now time.Time, it *item) {
	f := it.queue.function
	if it.warm = f.isWarm(now); !it.warm {
		s.opens.tokens--
		f.warm = now.Add(s.config.WarmTTL)
	}
	s.dequeue(it)
	s.expiry.Delete(it) // its run ends by its own deadline
	it.place, it.began = running, now
	s.inFlight++
	f.inFlight++
	it.owner.served += it.Cost / it.owner.weight
	if it.Runs == 0 {
		s.retry.add(now, s.config.RetryRatio)
	}
	s.opens.add(now, s.config.ColdStartRatio)
	s.limit.began(now)
}

func (s *Scheduler) ended(now time.Time, e RunEndedEvent) []Action {
	it := s.items[e.ID]
	if it == nil || it.place != running {
		return nil
	}
	f := it.queue.function
	busy := s.inFlight
	s.remove(it)
	if e.Result == Served {
		f.warm = now.Add(s.config.WarmTTL)
		// Its copy had gone: more functions are held warm than the fleet has room for. That load counts as well.
		if it.warm && f.took.loaded(e.Elapsed) {
			s.opens.tokens = max(-s.opens.most, s.opens.tokens-1)
		}
		s.limit.served(now, busy, f.took.slow(e.Elapsed, s.config.SlowFactor))
		return nil
	}
	if e.Result == Rejected {
		f.warm = time.Time{} // its copies, if there are any, have no room
	}
	s.limit.turned(now)
	runs := it.Runs + 1
	if runs >= s.config.MaxRuns {
		return []Action{Retry{ID: it.ID}}
	}
	return []Action{Retry{ID: it.ID, At: now.Add(e.RetryAfter + s.backoff(runs))}}
}

// backoff is a pause after so many runs, drawn evenly from nothing to a bound that doubles: full jitter, so that what
// was turned away together does not come back together.
func (s *Scheduler) backoff(runs int) time.Duration {
	bound := float64(s.config.Backoff) * math.Pow(2, float64(min(runs-1, 30)))
	return time.Duration(s.random.Float64() * min(bound, float64(s.config.MaxBackoff)))
}
