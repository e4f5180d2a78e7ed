package rules

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings has one class of each effect and every ordinary permission.
func testSettings() Settings {
	return Settings{
		Peers: 2, Zone: "z0", Zones: []string{"z0", "z1"}, Step: 2 * ms,
		Classes: []Class{
			{Name: "safe", Worth: 2, LateWorth: 0.2, Aim: 800 * ms, Deadline: 3 * time.Second, Effect: Safe},
			{Name: "keyed", Worth: 3, LateWorth: 0.2, Aim: 800 * ms, Deadline: 3 * time.Second, Effect: Keyed,
				Group: GroupCell, KeyWindow: time.Second},
			{Name: "unsafe", Worth: 3, LateWorth: 0.2, Aim: 800 * ms, Deadline: 3 * time.Second, Effect: Unsafe},
		},
		OverShareWorth: 0.1, Cancel: true, SecondCopies: true, MaxAttempts: 3, MaxOpen: 1000,
		DialTimeout: 250 * ms, AnswerSlack: 8 * ms, DrainGrace: 250 * ms,
		ColdFrom: 0.2, ColdRamp: 10 * time.Second, FallMultiple: 2, FallSpan: time.Second,
		Orders: true, Keep: 8 * time.Second, OrderTimeout: 10 * time.Second, TellsCrowd: true,
	}
}

// fleet plays the other side for one balancer and checks every action against the rules.
type fleet struct {
	t        testing.TB
	b        *Balancer
	set      Settings
	now      time.Duration
	state    map[WorkerID]WorkerState
	workers  map[WorkerID]Worker
	open     map[RequestID]*tried
	orders   []Load
	ordered  []time.Duration
	taken    []time.Duration
	wakes    []Wake
	wakeAt   []time.Duration
	log      []string
	sent     []Send
	loads    []Load
	refused  map[RequestID]bool
	failed   map[RequestID]bool
	lastID   RequestID
	sentTo   map[WorkerID]int
	canceled int
}

type tried struct {
	class    Class
	deadline time.Duration
	sends    []*sendState
	answered bool
}

type sendState struct {
	w              WorkerID
	at, due        time.Duration
	pending, maybe bool
}

func newFleet(t testing.TB, s Settings, seed uint64) *fleet {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{t: t, b: b, set: s, state: map[WorkerID]WorkerState{}, workers: map[WorkerID]Worker{},
		open: map[RequestID]*tried{}, refused: map[RequestID]bool{}, failed: map[RequestID]bool{},
		sentTo: map[WorkerID]int{}}
}

// list tells of n ready workers, two cells, two zones.
func (f *fleet) list(n int) {
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: fmt.Sprintf("z%d", i%2), Cell: i % 2,
			Weight: 1})
	}
	f.change(ListFull, list...)
}

func (f *fleet) change(scope ListScope, list ...Worker) {
	if scope == ListFull {
		clear(f.state)
	}
	for _, w := range list {
		f.state[w.ID] = w.State
		f.workers[w.ID] = w
	}
	f.event(ListEvent{Scope: scope, Workers: list})
}

func (f *fleet) request(class, function string, left time.Duration) RequestID {
	f.lastID++
	for _, c := range f.set.Classes {
		if c.Name == class {
			f.open[f.lastID] = &tried{class: c, deadline: f.now + left}
		}
	}
	f.taken = append(f.taken, f.now)
	f.event(RequestEvent{ID: f.lastID, Class: class, Function: FunctionID(function), TimeLeft: left, Lanes: 1,
		LoadTime: 300 * ms})
	return f.lastID
}

func (f *fleet) event(e Event) {
	f.log = append(f.log, fmt.Sprintf("%d %T%+v", f.now, e, e))
	for _, a := range f.b.Handle(f.now, e) {
		f.log = append(f.log, fmt.Sprintf("%d -> %T%+v", f.now, a, a))
		f.check(a)
	}
}

func (f *fleet) check(action Action) {
	f.t.Helper()
	switch a := action.(type) {
	case Send:
		r := f.open[a.ID]
		if r == nil || r.answered {
			f.t.Fatalf("rule 1: send for %d, which is over", a.ID)
		}
		if f.state[a.Worker] != Ready {
			f.t.Fatalf("rule 3: send to %s, which drains or is gone", a.Worker)
		}
		if _, known := f.state[a.Worker]; !known {
			f.t.Fatalf("rule 3: send to %s, which is not listed", a.Worker)
		}
		if len(r.sends) >= f.set.MaxAttempts {
			f.t.Fatalf("more attempts than allowed for %d", a.ID)
		}
		for _, s := range r.sends {
			if s.pending && !f.set.SecondCopies {
				f.t.Fatalf("rule 2: two attempts of %d at a time", a.ID)
			}
			if !s.pending && !s.maybe {
				continue
			}
			switch r.class.Effect {
			case Unsafe:
				f.t.Fatalf("rule 2: unsafe %d sent again", a.ID)
			case Keyed:
				x, y := f.workers[s.w], f.workers[a.Worker]
				if f.now-s.at >= r.class.KeyWindow {
					f.t.Fatalf("rule 2: keyed %d sent again after its window", a.ID)
				}
				if r.class.Group == GroupCell && x.Cell != y.Cell || r.class.Group == GroupZone && x.Zone != y.Zone {
					f.t.Fatalf("rule 2: keyed %d sent outside its group", a.ID)
				}
			}
		}
		due := r.deadline
		if a.Limit > 0 {
			due = min(due, f.now+a.Limit)
		}
		r.sends = append(r.sends, &sendState{w: a.Worker, at: f.now, due: due, pending: true})
		f.sent = append(f.sent, a)
		f.sentTo[a.Worker]++
	case Refuse, Fail:
		id, refused := RequestID(0), false
		if x, ok := a.(Refuse); ok {
			id, refused = x.ID, true
		} else {
			id = a.(Fail).ID
		}
		r := f.open[id]
		if r == nil || r.answered {
			f.t.Fatalf("rule 1: second final answer for %d", id)
		}
		r.answered = true
		if f.now > r.deadline+f.set.AnswerSlack {
			f.t.Fatalf("rule 1: answer to %d after its deadline", id)
		}
		if refused {
			f.refused[id] = true
			for _, s := range r.sends {
				harmless := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll
				if (s.pending || s.maybe) && !harmless {
					f.t.Fatalf("rule 2: %d refused though it may have run", id)
				}
			}
		} else {
			f.failed[id] = true
		}
	case Load:
		if a.Copies > 0 {
			if f.state[a.Worker] != Ready {
				f.t.Fatalf("rule 3: load at %s, which drains or is gone", a.Worker)
			}
			if f.set.LoadWindow > 0 {
				f.ordered = append(f.ordered, f.now)
				count := func(times []time.Duration) (n int) {
					for _, t := range times {
						if t > f.now-f.set.LoadWindow {
							n++
						}
					}
					return n
				}
				if float64(count(f.ordered)) > f.set.LoadFree+f.set.LoadShare*float64(count(f.taken)) {
					f.t.Fatal("rule 5: more orders than the ration")
				}
			}
		}
		if !f.set.Orders || a.Function == "" {
			f.t.Fatal("order that is not allowed")
		}
		f.orders = append(f.orders, a)
		f.loads = append(f.loads, a)
	case Cancel:
		if r := f.open[a.ID]; !f.set.Cancel || r == nil || a.Attempt >= len(r.sends) {
			f.t.Fatal("cancel of what was never sent, or not allowed")
		}
		f.canceled++
	case Wake:
		f.wakes = append(f.wakes, a)
		f.wakeAt = append(f.wakeAt, f.now+a.After)
	}
}

// outcome ends an attempt.
func (f *fleet) outcome(id RequestID, n int, status Status) {
	r := f.open[id]
	s := r.sends[n]
	s.pending = false
	s.maybe = status != Full && status != Miss && status != ConnectFailed && status != Moot
	if status == OK {
		r.answered = true
	}
	f.event(OutcomeEvent{ID: id, Attempt: n, Worker: s.w, Status: status, Took: f.now - s.at, Closed: r.answered})
}

// answerOrders lets all pending orders stand.
func (f *fleet) answerOrders(status Status) {
	pending := f.orders
	f.orders = nil
	for _, l := range pending {
		f.event(LoadedEvent{Worker: l.Worker, Function: l.Function, Status: status, Took: 200 * ms, Copies: l.Copies})
	}
}

// to moves the clock, step by step, with timers and time-outs.
func (f *fleet) to(now time.Duration) {
	for f.now < now {
		f.now = min(now, f.now+f.set.Step)
		var due []Wake
		for i := 0; i < len(f.wakes); {
			if f.wakeAt[i] <= f.now {
				due = append(due, f.wakes[i])
				f.wakes = append(f.wakes[:i], f.wakes[i+1:]...)
				f.wakeAt = append(f.wakeAt[:i], f.wakeAt[i+1:]...)
				continue
			}
			i++
		}
		for _, w := range due {
			f.event(WakeEvent{Ref: w.Ref})
		}
		for _, id := range f.ids() {
			r := f.open[id]
			for n, s := range r.sends {
				if s.pending && s.due <= f.now {
					f.outcome(id, n, TimedOut)
				}
			}
			if !r.answered && f.now > r.deadline+f.set.AnswerSlack {
				f.t.Fatalf("rule 1: no answer to %d in time", id)
			}
		}
	}
}

func (f *fleet) ids() []RequestID {
	var ids []RequestID
	for id := range f.open {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// wild plays random legal events and returns all that happened.
func wild(t testing.TB, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := testSettings()
	coin := func() bool { return rng.IntN(2) == 0 }
	s.SecondCopies, s.Cancel, s.Orders, s.LoadOnMiss = coin(), coin(), rng.IntN(4) > 0, rng.IntN(4) == 0
	s.MaxAttempts, s.TellsCrowd, s.AskList = 1+rng.IntN(5), coin(), coin()
	s.Classes[1].Group = Group(rng.IntN(3))
	s.Peers = []int{1, 3, 100, 300}[rng.IntN(4)]
	s.MarksRepeats, s.LiveWeights = coin(), coin()
	if coin() {
		s.LoadWindow, s.LoadFree, s.LoadShare = time.Second, 2, 0.3
	}
	if coin() {
		s.Tenants = []Tenant{{Name: "a", Share: 0.5, Allowance: 5}}
	}
	f := newFleet(t, s, seed)
	f.list(6)
	statuses := []Status{OK, OK, OK, OK, OK, Miss, Full, Failed, Reset, ConnectFailed, Moot}
	for range 1500 {
		f.to(f.now + time.Duration(rng.IntN(8))*ms)
		switch k := rng.IntN(20); {
		case k < 8:
			class := f.set.Classes[rng.IntN(3)].Name
			f.request(class, fmt.Sprintf("f%d", rng.IntN(12)), time.Duration(5+rng.IntN(1500))*ms)
		case k < 14:
			for _, id := range f.ids() {
				for n, a := range f.open[id].sends {
					if a.pending && rng.IntN(4) == 0 {
						f.outcome(id, n, statuses[rng.IntN(len(statuses))])
					}
				}
			}
		case k < 16:
			f.answerOrders([]Status{OK, OK, OK, Full, Failed, TimedOut, Reset}[rng.IntN(7)])
		case k == 16:
			w := f.workers[WorkerID(fmt.Sprintf("w%02d", rng.IntN(6)))]
			w.State = WorkerState(rng.IntN(3))
			if w.State == Ready && coin() {
				w.Started = f.now
			}
			f.change(ListChange, w)
		case k == 17:
			if ids := f.ids(); len(ids) > 0 {
				id := ids[rng.IntN(len(ids))]
				f.open[id].answered = true
				f.event(GoneEvent{ID: id})
			}
		case k == 18: // what is late, repeated or unknown
			f.event(OutcomeEvent{ID: RequestID(rng.IntN(2000)), Attempt: 7, Worker: "nobody", Status: Status(rng.IntN(12))})
			f.event(LoadedEvent{Worker: "nobody", Function: "f1", Status: OK, Copies: 1})
			f.event(WakeEvent{Ref: int64(rng.IntN(5000))})
			f.event(StartedEvent{ID: 1 << 40})
		case k == 19 && rng.IntN(10) == 0:
			f.change(ListFull)
			f.event(ListEvent{Scope: ListFailed})
		case k == 19 && len(f.state) < 3:
			f.list(6)
		}
		for id, r := range f.open {
			if r.answered && !pendingAny(r) {
				delete(f.open, id)
			}
		}
	}
	f.to(f.now + 4*time.Second)
	return f.log
}

func pendingAny(r *tried) bool {
	for _, s := range r.sends {
		if s.pending {
			return true
		}
	}
	return false
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(60) {
		wild(t, seed)
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(10) {
		a, b := wild(t, seed), wild(t, seed)
		if len(a) != len(b) {
			t.Fatalf("seed %d: %d and %d entries", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d, entry %d:\n%s\n%s", seed, i, a[i], b[i])
			}
		}
	}
}
