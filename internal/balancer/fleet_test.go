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

// testSettings returns settings with one class of each idempotency, and with cancelling, hedging, retries and load orders
// allowed.
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

// testFleet simulates the clients, workers and endpoint list of one balancer, and checks every action of the balancer against the
// rules.
type testFleet struct {
	t        testing.TB
	b        *Balancer
	settings Settings
	now      time.Duration
	timers   []pendingTimer
	log      []string // all events and actions so far

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

// testRequest is the client's record of a request.
type testRequest struct {
	class    Class
	deadline time.Duration
	sends    []*sentAttempt
	answered bool
}

// sentAttempt is the worker's record of an attempt.
type sentAttempt struct {
	worker     WorkerID
	sentAt     time.Duration
	due        time.Duration // when the attempt times out
	pending    bool
	mayHaveRun bool
}

// mayRun reports whether the attempt may be running or may have run.
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

// listWorkers delivers an endpoint list with n ready workers in two cells and two zones.
func (f *testFleet) listWorkers(n int) {
	f.t.Helper()
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: fmt.Sprintf("z%d", i%2), Cell: i % 2,
			Weight: 1})
	}
	f.update(ScopeFull, list...)
}

// update delivers an update of the endpoint list.
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

// request delivers a new request with the given time left until its deadline.
func (f *testFleet) request(class, function string, left time.Duration) RequestID {
	f.t.Helper()
	return f.deliver(RequestEvent{Class: class, Function: FunctionID(function), TimeLeft: left})
}

// requestWithoutKey delivers a new request without an idempotency key, which the test fleet checks like one that must not run twice.
func (f *testFleet) requestWithoutKey(class, function string, left time.Duration) RequestID {
	f.t.Helper()
	return f.deliver(RequestEvent{Class: class, Function: FunctionID(function), TimeLeft: left, KeyMissing: true})
}

// deliver delivers a new request, and sets what all requests of a test have in common.
func (f *testFleet) deliver(e RequestEvent) RequestID {
	f.t.Helper()
	f.lastID++
	for _, c := range f.settings.Classes {
		if c.Name == e.Class {
			if e.KeyMissing {
				c.Idempotency = NotIdempotent
			}
			f.open[f.lastID] = &testRequest{class: c, deadline: f.now + e.TimeLeft}
		}
	}
	f.arrivals = append(f.arrivals, f.now)
	e.ID, e.Concurrency, e.LoadTime = f.lastID, 1, 300*ms
	f.event(e)
	return f.lastID
}

// event delivers an event and checks the balancer's actions.
func (f *testFleet) event(e Event) {
	f.t.Helper()
	f.log = append(f.log, fmt.Sprintf("%d %T%+v", f.now, e, e))
	for _, a := range f.b.Handle(f.now, e) {
		f.log = append(f.log, fmt.Sprintf("%d -> %T%+v", f.now, a, a))
		f.checkAction(a)
	}
}

// endAttempt ends attempt n of a request now. The first attempt has the number 0.
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

// missEverywhere ends the pending attempts of a request with a miss, and also the attempts that the balancer starts in response:
// the function is loaded at no worker.
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

// advance moves the clock in steps of MinEventInterval. It delivers timers, and ends attempts that time out.
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

// timeOutAttempts ends the attempts of a request that are due.
func (f *testFleet) timeOutAttempts(id RequestID) {
	f.t.Helper()
	for index, s := range f.open[id].sends {
		if s.pending && s.due <= f.now {
			f.endAttempt(id, index, TimedOut)
		}
	}
}

// requestIDs returns the IDs of all requests so far, sorted.
func (f *testFleet) requestIDs() []RequestID { return slices.Sorted(maps.Keys(f.open)) }

// serve delivers a request for a function, ends its load orders and serves its first attempt, so that a copy is assumed to be
// loaded. It returns the worker of the attempt.
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

// newLargeFleet returns a fleet for one of 80 dispatchers. Three requests for each worker have been answered.
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

// endLatestAttempt ends the latest attempt of a request after the given time.
func (f *testFleet) endLatestAttempt(id RequestID, s Status, after time.Duration) {
	f.t.Helper()
	f.advance(f.now + after)
	f.endAttempt(id, len(f.open[id].sends)-1, s)
}

// firstWorker returns the worker of the first attempt of a request.
func (f *testFleet) firstWorker(id RequestID) WorkerID {
	f.t.Helper()
	require.NotEmpty(f.t, f.open[id].sends, "request %d was not sent", id)
	return f.open[id].sends[0].worker
}

// functionAt returns the name of a function that had no request yet and whose primary worker suits.
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

// isWorker returns a condition for functionAt that only the worker with an ID meets.
func isWorker(id WorkerID) func(*worker) bool { return func(w *worker) bool { return w.ID == id } }
