package balancer

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve sends one request of a function and ends its load orders, so that a copy is believed to be loaded.
func (f *testFleet) serve(class, function string) WorkerID {
	f.t.Helper()
	id := f.request(class, function, 2*time.Second)
	f.endLoads(OK)
	if len(f.open[id].sends) != 1 {
		f.t.Fatalf("request %d: %d sends after its order stands", id, len(f.open[id].sends))
	}
	f.advance(f.now + 50*ms)
	f.endAttempt(id, 0, OK)
	return f.open[id].sends[0].worker
}

// newLargeFleet returns a fleet for a dispatcher of many that has seen requests answered by all workers, a few each.
func newLargeFleet(t *testing.T, workers int) *testFleet {
	s := testSettings()
	s.Dispatchers, s.Zones = 80, []string{"z0", "z1", "z2"}
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	f := newFleet(t, s, 1)
	var list []Worker
	for i := range workers {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: fmt.Sprintf("z%d", i%3), Weight: 1})
	}
	f.update(ScopeFull, list...)
	for i := range 3 * workers {
		f.advance(f.now + 50*ms)
		f.endLatestAttempt(f.request("safe", fmt.Sprintf("fn%d", i), time.Second), OK, 50*ms)
	}
	return f
}

// endLatestAttempt ends the latest attempt of a request after a time.
func (f *testFleet) endLatestAttempt(id RequestID, s Status, after time.Duration) {
	f.advance(f.now + after)
	f.endAttempt(id, len(f.open[id].sends)-1, s)
}

// firstWorker is the worker that the first attempt of a request went to.
func (f *testFleet) firstWorker(id RequestID) WorkerID {
	require.NotEmpty(f.t, f.open[id].sends, "request %d is held", id)
	return f.open[id].sends[0].worker
}

// functionAt finds a function that no request has named yet, with a primary worker that suits.
func (f *testFleet) functionAt(suits func(*worker) bool) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("new%d", i)
		home := f.b.rendezvousOrder(&function{id: FunctionID(name), rendezvousEpoch: -1, groupSize: 1})
		if suits(home[0]) && f.b.functions[FunctionID(name)] == nil {
			return name
		}
	}
}

func isWorker(id WorkerID) func(*worker) bool { return func(w *worker) bool { return w.ID == id } }

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

// endAttempt ends an attempt now.
func (f *testFleet) endAttempt(id RequestID, n int, status Status) {
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
					f.endAttempt(id, n, TimedOut)
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
