package balancer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// testSettings has one class of each idempotency and every ordinary permission.
func testSettings() Settings {
	class := Class{LateWeight: 0.2, LatencyObjective: 800 * ms, Deadline: 3 * time.Second}
	safe, keyed, unsafe := class, class, class
	safe.Name, safe.Weight, safe.Idempotency = "safe", 2, Idempotent
	keyed.Name, keyed.Weight, keyed.Idempotency = "keyed", 3, IdempotentWithKey
	keyed.DedupScope, keyed.DedupWindow = DedupCell, time.Second
	unsafe.Name, unsafe.Weight, unsafe.Idempotency = "unsafe", 3, NotIdempotent
	return Settings{
		Dispatchers: 2, Zone: "z0", Zones: []string{"z0", "z1"}, MinEventInterval: 2 * ms,
		Classes:         []Class{safe, keyed, unsafe},
		OverQuotaWeight: 0.1, CanCancel: true, Hedging: true, MaxAttempts: 3, MaxInFlight: 1000,
		DialTimeout: 250 * ms, AnswerGrace: 8 * ms, DrainGrace: 250 * ms,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: time.Second,
		LoadOrders: true, IdleTTL: 8 * time.Second, LoadTimeout: 10 * time.Second, ReportsQueueDepth: true,
	}
}

// testFleet plays the other side for one balancer and checks every action against the rules.
type testFleet struct {
	t        testing.TB
	b        *Balancer
	settings Settings
	now      time.Duration
	timers   []pendingTimer
	log      []string // every event and action

	state    map[WorkerID]WorkerState
	workers  map[WorkerID]Worker
	open     map[RequestID]*testRequest
	lastID   RequestID
	arrivals []time.Duration

	pendingLoads []Load
	unloads      []Unload
	loads        []Load
	loadTimes    []time.Duration
	sent         []Send
	sentTo       map[WorkerID]int
	rejected     map[RequestID]bool
	failed       map[RequestID]bool
	cancelled    int
}

// testRequest is a request as its client sees it.
type testRequest struct {
	class    Class
	deadline time.Duration
	sends    []*sentAttempt
	answered bool
}

// sentAttempt is an attempt as its worker sees it.
type sentAttempt struct {
	worker     WorkerID
	sentAt     time.Duration
	due        time.Duration // it times out then
	pending    bool
	mayHaveRun bool
}

// mayRun tells that the attempt may run or may have run.
func (s *sentAttempt) mayRun() bool { return s.pending || s.mayHaveRun }

type pendingTimer struct {
	id  int64
	due time.Duration
}

func newFleet(t testing.TB, s Settings, seed uint64) *testFleet {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &testFleet{
		t:        t,
		b:        b,
		settings: s,
		state:    map[WorkerID]WorkerState{},
		workers:  map[WorkerID]Worker{},
		open:     map[RequestID]*testRequest{},
		sentTo:   map[WorkerID]int{},
		rejected: map[RequestID]bool{},
		failed:   map[RequestID]bool{},
	}
}

// listWorkers tells of n ready workers in two cells and two zones.
func (f *testFleet) listWorkers(n int) {
	f.t.Helper()
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: fmt.Sprintf("z%d", i%2), Cell: i % 2,
			Weight: 1})
	}
	f.update(ScopeFull, list...)
}

// update changes the endpoint list.
func (f *testFleet) update(scope UpdateScope, list ...Worker) {
	f.t.Helper()
	if scope == ScopeFull {
		clear(f.state)
	}
	for _, w := range list {
		f.state[w.ID] = w.State
		f.workers[w.ID] = w
	}
	f.event(EndpointsEvent{Scope: scope, Workers: list, AsOf: f.now})
}

// request sends a new request with some time left.
func (f *testFleet) request(class, function string, left time.Duration) RequestID {
	f.t.Helper()
	f.lastID++
	for _, c := range f.settings.Classes {
		if c.Name == class {
			f.open[f.lastID] = &testRequest{class: c, deadline: f.now + left}
		}
	}
	f.arrivals = append(f.arrivals, f.now)
	f.event(RequestEvent{ID: f.lastID, Class: class, Function: FunctionID(function), TimeLeft: left, Concurrency: 1,
		LoadTime: 300 * ms})
	return f.lastID
}

// event delivers an event and checks what the balancer does.
func (f *testFleet) event(e Event) {
	f.t.Helper()
	f.log = append(f.log, fmt.Sprintf("%d %T%+v", f.now, e, e))
	for _, a := range f.b.Handle(f.now, e) {
		f.log = append(f.log, fmt.Sprintf("%d -> %T%+v", f.now, a, a))
		f.checkAction(a)
	}
}

// endAttempt ends an attempt now.
func (f *testFleet) endAttempt(id RequestID, n int, status Status) {
	f.t.Helper()
	r := f.open[id]
	s := r.sends[n]
	s.pending = false
	s.mayHaveRun = status != Rejected && status != Miss && status != ConnectFailed && status != NotSent
	if status == OK {
		r.answered = true
	}
	f.event(OutcomeEvent{ID: id, Attempt: n, Worker: s.worker, Status: status, Elapsed: f.now - s.sentAt,
		Answered: r.answered, WrittenAt: s.sentAt})
}

// missEverywhere ends every attempt of a request with a miss, also those that follow: nothing is loaded anywhere.
func (f *testFleet) missEverywhere(id RequestID) {
	f.t.Helper()
	for index := 0; index < len(f.open[id].sends); index++ {
		if f.open[id].sends[index].pending {
			f.endAttempt(id, index, Miss)
		}
	}
}

// endLoads ends all pending load orders.
func (f *testFleet) endLoads(status Status) {
	f.t.Helper()
	pending := f.pendingLoads
	f.pendingLoads = nil
	for _, l := range pending {
		f.event(LoadEndedEvent{Worker: l.Worker, Function: l.Function, Status: status, Elapsed: 200 * ms,
			Copies: l.Copies})
	}
}

// advance moves the clock step by step, with timers and time-outs.
func (f *testFleet) advance(now time.Duration) {
	f.t.Helper()
	for f.now < now {
		f.now = min(now, f.now+f.settings.MinEventInterval)
		for _, timer := range f.takeDueTimers() {
			f.event(TimerEvent{TimerID: timer.id})
		}
		for _, id := range f.requestIDs() {
			f.timeOutAttempts(id)
			r := f.open[id]
			if !r.answered && f.now > r.deadline+f.settings.AnswerGrace {
				f.t.Fatalf("rule 1: no answer to %d in time", id)
			}
		}
	}
}

// takeDueTimers removes and returns the timers that have expired.
func (f *testFleet) takeDueTimers() []pendingTimer {
	var due, later []pendingTimer
	for _, timer := range f.timers {
		if timer.due <= f.now {
			due = append(due, timer)
		} else {
			later = append(later, timer)
		}
	}
	f.timers = later
	return due
}

func (f *testFleet) timeOutAttempts(id RequestID) {
	f.t.Helper()
	for index, s := range f.open[id].sends {
		if s.pending && s.due <= f.now {
			f.endAttempt(id, index, TimedOut)
		}
	}
}

// requestIDs are the open requests, sorted.
func (f *testFleet) requestIDs() []RequestID { return slices.Sorted(maps.Keys(f.open)) }

// serve sends one request of a function and ends its load orders, so that a copy is believed to be loaded.
func (f *testFleet) serve(class, function string) WorkerID {
	f.t.Helper()
	id := f.request(class, function, 2*time.Second)
	f.endLoads(OK)
	if len(f.open[id].sends) != 1 {
		f.t.Fatalf("request %d: %d sends after its load ended", id, len(f.open[id].sends))
	}
	f.advance(f.now + 50*ms)
	f.endAttempt(id, 0, OK)
	return f.open[id].sends[0].worker
}

// newLargeFleet returns a fleet for a dispatcher of many that has seen requests answered by all workers, a few each.
func newLargeFleet(t *testing.T, workers int) *testFleet {
	t.Helper()
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
	f.t.Helper()
	f.advance(f.now + after)
	f.endAttempt(id, len(f.open[id].sends)-1, s)
}

// firstWorker is the worker that the first attempt of a request went to.
func (f *testFleet) firstWorker(id RequestID) WorkerID {
	f.t.Helper()
	require.NotEmpty(f.t, f.open[id].sends, "request %d is held", id)
	return f.open[id].sends[0].worker
}

// functionAt finds a function that no request has named yet, with a primary worker that suits.
func (f *testFleet) functionAt(suits func(*worker) bool) string {
	f.t.Helper()
	for i := 0; ; i++ {
		name := fmt.Sprintf("new%d", i)
		primary := f.b.workerAt(&function{rendezvous: rendezvous{hash: hashString(name)}}, 0)
		if suits(primary) && f.b.functions[FunctionID(name)] == nil {
			return name
		}
	}
}

func isWorker(id WorkerID) func(*worker) bool { return func(w *worker) bool { return w.ID == id } }
