package balancer

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
		Dispatchers: 2, Zone: "z0", Zones: []string{"z0", "z1"}, MinEventInterval: 2 * ms,
		Classes: []Class{
			{Name: "safe", Weight: 2, LateWeight: 0.2, LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Idempotency: Idempotent},
			{Name: "keyed", Weight: 3, LateWeight: 0.2, LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Idempotency: IdempotentWithKey,
				DedupScope: DedupCell, DedupWindow: time.Second},
			{Name: "unsafe", Weight: 3, LateWeight: 0.2, LatencyObjective: 800 * ms, Deadline: 3 * time.Second, Idempotency: NotIdempotent},
		},
		OverQuotaWeight: 0.1, CanCancel: true, Hedging: true, MaxAttempts: 3, MaxInFlight: 1000,
		DialTimeout: 250 * ms, AnswerGrace: 8 * ms, DrainGrace: 250 * ms,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second,
		LoadOrders: true, IdleTTL: 8 * time.Second, LoadTimeout: 10 * time.Second, ReportsQueueDepth: true,
	}
}

// fleet plays the other side for one balancer and checks every action against the rules.
type testFleet struct {
	t            testing.TB
	b            *Balancer
	settings     Settings
	now          time.Duration
	state        map[WorkerID]WorkerState
	workers      map[WorkerID]Worker
	open         map[RequestID]*testRequest
	pendingLoads []Load
	orderedAt    []time.Duration
	arrivedAt    []time.Duration
	timers       []SetTimer
	timerDue     []time.Duration
	log          []string
	sent         []Send
	loads        []Load
	rejected     map[RequestID]bool
	failed       map[RequestID]bool
	lastID       RequestID
	sentTo       map[WorkerID]int
	cancelled    int
}

type testRequest struct {
	class    Class
	deadline time.Duration
	sends    []*sentAttempt
	answered bool
}

type sentAttempt struct {
	worker              WorkerID
	sentAt, due         time.Duration
	pending, mayHaveRun bool
}

func newFleet(t testing.TB, s Settings, seed uint64) *testFleet {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &testFleet{t: t, b: b, settings: s, state: map[WorkerID]WorkerState{}, workers: map[WorkerID]Worker{},
		open: map[RequestID]*testRequest{}, rejected: map[RequestID]bool{}, failed: map[RequestID]bool{},
		sentTo: map[WorkerID]int{}}
}

// list tells of n ready workers, two cells, two zones.
func (f *testFleet) listWorkers(n int) {
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: fmt.Sprintf("z%d", i%2), Cell: i % 2,
			Weight: 1})
	}
	f.update(ScopeFull, list...)
}

func (f *testFleet) update(scope UpdateScope, list ...Worker) {
	if scope == ScopeFull {
		clear(f.state)
	}
	for _, w := range list {
		f.state[w.ID] = w.State
		f.workers[w.ID] = w
	}
	f.event(EndpointsEvent{Scope: scope, Workers: list})
}

func (f *testFleet) request(class, function string, left time.Duration) RequestID {
	f.lastID++
	for _, c := range f.settings.Classes {
		if c.Name == class {
			f.open[f.lastID] = &testRequest{class: c, deadline: f.now + left}
		}
	}
	f.arrivedAt = append(f.arrivedAt, f.now)
	f.event(RequestEvent{ID: f.lastID, Class: class, Function: FunctionID(function), TimeLeft: left, Concurrency: 1,
		LoadTime: 300 * ms})
	return f.lastID
}

func (f *testFleet) event(e Event) {
	f.log = append(f.log, fmt.Sprintf("%d %T%+v", f.now, e, e))
	for _, a := range f.b.Handle(f.now, e) {
		f.log = append(f.log, fmt.Sprintf("%d -> %T%+v", f.now, a, a))
		f.checkAction(a)
	}
}

func (f *testFleet) checkAction(action Action) {
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
		if len(r.sends) >= f.settings.MaxAttempts {
			f.t.Fatalf("more attempts than allowed for %d", a.ID)
		}
		for _, s := range r.sends {
			if s.pending && !f.settings.Hedging {
				f.t.Fatalf("rule 2: two attempts of %d at a time", a.ID)
			}
			if !s.pending && !s.mayHaveRun {
				continue
			}
			switch r.class.Idempotency {
			case NotIdempotent:
				f.t.Fatalf("rule 2: unsafe %d sent again", a.ID)
			case IdempotentWithKey:
				x, y := f.workers[s.worker], f.workers[a.Worker]
				if f.now-s.sentAt >= r.class.DedupWindow {
					f.t.Fatalf("rule 2: keyed %d sent again after its window", a.ID)
				}
				if r.class.DedupScope == DedupCell && x.Cell != y.Cell || r.class.DedupScope == DedupZone && x.Zone != y.Zone {
					f.t.Fatalf("rule 2: keyed %d sent outside its group", a.ID)
				}
			}
		}
		due := r.deadline
		if a.Timeout > 0 {
			due = min(due, f.now+a.Timeout)
		}
		r.sends = append(r.sends, &sentAttempt{worker: a.Worker, sentAt: f.now, due: due, pending: true})
		f.sent = append(f.sent, a)
		f.sentTo[a.Worker]++
	case Reject, Fail:
		id, refused := RequestID(0), false
		if x, ok := a.(Reject); ok {
			id, refused = x.ID, true
		} else {
			id = a.(Fail).ID
		}
		r := f.open[id]
		if r == nil || r.answered {
			f.t.Fatalf("rule 1: second final answer for %d", id)
		}
		r.answered = true
		if f.now > r.deadline+f.settings.AnswerGrace {
			f.t.Fatalf("rule 1: answer to %d after its deadline", id)
		}
		if refused {
			f.rejected[id] = true
			for _, s := range r.sends {
				harmless := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupFleet
				if (s.pending || s.mayHaveRun) && !harmless {
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
			if f.settings.LoadWindow > 0 {
				f.orderedAt = append(f.orderedAt, f.now)
				count := func(times []time.Duration) (n int) {
					for _, t := range times {
						if t > f.now-f.settings.LoadWindow {
							n++
						}
					}
					return n
				}
				if float64(count(f.orderedAt)) > f.settings.LoadBurst+f.settings.LoadRatio*float64(count(f.arrivedAt)) {
					f.t.Fatal("rule 5: more orders than the ration")
				}
			}
		}
		if !f.settings.LoadOrders || a.Function == "" {
			f.t.Fatal("order that is not allowed")
		}
		f.pendingLoads = append(f.pendingLoads, a)
		f.loads = append(f.loads, a)
	case Cancel:
		if r := f.open[a.ID]; !f.settings.CanCancel || r == nil || a.Attempt >= len(r.sends) {
			f.t.Fatal("cancel of what was never sent, or not allowed")
		}
		f.cancelled++
	case SetTimer:
		f.timers = append(f.timers, a)
		f.timerDue = append(f.timerDue, f.now+a.After)
	}
}

// outcome ends an attempt.
func (f *testFleet) endAttemptNow(id RequestID, n int, status Status) {
	r := f.open[id]
	s := r.sends[n]
	s.pending = false
	s.mayHaveRun = status != Rejected && status != Miss && status != ConnectFailed && status != NotSent
	if status == OK {
		r.answered = true
	}
	f.event(OutcomeEvent{ID: id, Attempt: n, Worker: s.worker, Status: status, Elapsed: f.now - s.sentAt, Answered: r.answered})
}

// answerOrders lets all pending orders stand.
func (f *testFleet) endLoads(status Status) {
	pending := f.pendingLoads
	f.pendingLoads = nil
	for _, l := range pending {
		f.event(LoadEndedEvent{Worker: l.Worker, Function: l.Function, Status: status, Elapsed: 200 * ms, Copies: l.Copies})
	}
}

// to moves the clock, step by step, with timers and time-outs.
func (f *testFleet) advance(now time.Duration) {
	for f.now < now {
		f.now = min(now, f.now+f.settings.MinEventInterval)
		var due []SetTimer
		for i := 0; i < len(f.timers); {
			if f.timerDue[i] <= f.now {
				due = append(due, f.timers[i])
				f.timers = append(f.timers[:i], f.timers[i+1:]...)
				f.timerDue = append(f.timerDue[:i], f.timerDue[i+1:]...)
				continue
			}
			i++
		}
		for _, w := range due {
			f.event(TimerEvent{TimerID: w.TimerID})
		}
		for _, id := range f.requestIDs() {
			r := f.open[id]
			for n, s := range r.sends {
				if s.pending && s.due <= f.now {
					f.endAttemptNow(id, n, TimedOut)
				}
			}
			if !r.answered && f.now > r.deadline+f.settings.AnswerGrace {
				f.t.Fatalf("rule 1: no answer to %d in time", id)
			}
		}
	}
}

func (f *testFleet) requestIDs() []RequestID {
	var ids []RequestID
	for id := range f.open {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// wild plays random legal events and returns all that happened.
func playRandomEvents(t testing.TB, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := testSettings()
	coin := func() bool { return rng.IntN(2) == 0 }
	s.Hedging, s.CanCancel, s.LoadOrders, s.LoadOnMiss = coin(), coin(), rng.IntN(4) > 0, rng.IntN(4) == 0
	s.MaxAttempts, s.ReportsQueueDepth, s.PollEndpoints = 1+rng.IntN(5), coin(), coin()
	s.Classes[1].DedupScope = DedupScope(rng.IntN(3))
	s.Dispatchers = []int{1, 3, 100, 300}[rng.IntN(4)]
	s.ClientsMarkRetries, s.LiveWeights = coin(), coin()
	if coin() {
		s.LoadWindow, s.LoadBurst, s.LoadRatio = time.Second, 2, 0.3
	}
	if coin() {
		s.Tenants = []Tenant{{Name: "a", Quota: 0.5, RateQuota: 5}}
	}
	f := newFleet(t, s, seed)
	f.listWorkers(6)
	statuses := []Status{OK, OK, OK, OK, OK, Miss, Rejected, Failed, Reset, ConnectFailed, NotSent}
	for range 1500 {
		f.advance(f.now + time.Duration(rng.IntN(8))*ms)
		switch k := rng.IntN(20); {
		case k < 8:
			class := f.settings.Classes[rng.IntN(3)].Name
			f.request(class, fmt.Sprintf("f%d", rng.IntN(12)), time.Duration(5+rng.IntN(1500))*ms)
		case k < 14:
			for _, id := range f.requestIDs() {
				for n, a := range f.open[id].sends {
					if a.pending && rng.IntN(4) == 0 {
						f.endAttemptNow(id, n, statuses[rng.IntN(len(statuses))])
					}
				}
			}
		case k < 16:
			f.endLoads([]Status{OK, OK, OK, Rejected, Failed, TimedOut, Reset}[rng.IntN(7)])
		case k == 16:
			w := f.workers[WorkerID(fmt.Sprintf("w%02d", rng.IntN(6)))]
			w.State = WorkerState(rng.IntN(3))
			if w.State == Ready && coin() {
				w.Started = f.now
			}
			f.update(ScopeDelta, w)
		case k == 17:
			if ids := f.requestIDs(); len(ids) > 0 {
				id := ids[rng.IntN(len(ids))]
				f.open[id].answered = true
				f.event(ClientGoneEvent{ID: id})
			}
		case k == 18: // what is late, repeated or unknown
			f.event(OutcomeEvent{ID: RequestID(rng.IntN(2000)), Attempt: 7, Worker: "nobody", Status: Status(rng.IntN(12))})
			f.event(LoadEndedEvent{Worker: "nobody", Function: "f1", Status: OK, Copies: 1})
			f.event(TimerEvent{TimerID: int64(rng.IntN(5000))})
			f.event(StreamStartedEvent{ID: 1 << 40})
		case k == 19 && rng.IntN(10) == 0:
			f.update(ScopeFull)
			f.event(EndpointsEvent{Scope: ScopeFailed})
		case k == 19 && len(f.state) < 3:
			f.listWorkers(6)
		}
		for id, r := range f.open {
			if r.answered && !anyPending(r) {
				delete(f.open, id)
			}
		}
	}
	f.advance(f.now + 4*time.Second)
	return f.log
}

func anyPending(r *testRequest) bool {
	for _, s := range r.sends {
		if s.pending {
			return true
		}
	}
	return false
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(60) {
		playRandomEvents(t, seed)
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(10) {
		a, b := playRandomEvents(t, seed), playRandomEvents(t, seed)
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
