package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// served sends one request of a function and answers its orders, so that a copy is believed to stand.
func (f *testFleet) serve(class, function string) WorkerID {
	f.t.Helper()
	id := f.request(class, function, 2*time.Second)
	f.endLoads(OK)
	if len(f.open[id].sends) != 1 {
		f.t.Fatalf("request %d: %d sends after its order stands", id, len(f.open[id].sends))
	}
	f.advance(f.now + 50*ms)
	f.endAttemptNow(id, 0, OK)
	return f.open[id].sends[0].worker
}

func TestSettingsThatCannotWork(t *testing.T) {
	if _, err := New(Settings{}, 1); err == nil {
		t.Error("no classes: no error")
	}
	s := testSettings()
	s.IdleTTL = -1
	if _, err := New(s, 1); err == nil {
		t.Error("negative time: no error")
	}
	s = testSettings()
	s.Classes[0].Deadline = -1
	if _, err := New(s, 1); err == nil {
		t.Error("negative deadline: no error")
	}
}

func TestRareFunctionsShareOneHome(t *testing.T) {
	homes := map[WorkerID]bool{}
	for i := range 12 {
		name := fmt.Sprintf("fn%d", i)
		a, b := newFleet(t, testSettings(), 1), newFleet(t, testSettings(), 99)
		a.listWorkers(6)
		b.listWorkers(6)
		x, y := a.serve("safe", name), b.serve("safe", name)
		if x != y {
			t.Errorf("%s: home %s at one dispatcher, %s at another", name, x, y)
		}
		homes[x] = true
	}
	if len(homes) < 3 {
		t.Errorf("12 functions share only %d homes", len(homes))
	}
}

func TestLostWorkerMovesOnlyItsOwn(t *testing.T) {
	for i := range 12 {
		name := fmt.Sprintf("fn%d", i)
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(6)
		home := f.serve("safe", name)
		lost := WorkerID("w03")
		f.update(ScopeDelta, Worker{ID: lost, State: Removed, Weight: 1})
		f.advance(f.now + 20*time.Second) // let the copy be forgotten
		if now := f.serve("safe", name); home != lost && now != home {
			t.Errorf("%s moved from %s to %s though %s was lost", name, home, now, lost)
		}
	}
}

func TestHotFunctionsSpread(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	for range 60 {
		f.serve("safe", "hot")
	}
	if len(f.sentTo) < 4 {
		t.Errorf("a hot function reached only %v", f.sentTo)
	}
}

func TestMissOrdersAndResends(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	home := f.serve("safe", "fn")
	f.loads = nil
	id := f.request("safe", "fn", 2*time.Second)
	f.endAttemptNow(id, 0, Miss)
	if len(f.loads) != 1 || f.loads[0].Worker != home {
		t.Fatalf("after a miss: orders %v, want one at %s", f.loads, home)
	}
	f.endLoads(OK)
	if s := f.open[id].sends; len(s) != 2 || s[1].worker != home {
		t.Error("the request was not resent once the copy stood")
	}
}

// Where loads are rationed, requests try places unasked. Four misses within a few milliseconds ended them.
func TestLastAttemptWaitsForACopy(t *testing.T) {
	s := testSettings()
	s.MaxAttempts, s.LoadWindow, s.LoadBurst, s.LoadRatio = 4, 10*time.Second, 6, 0.15
	f := newFleet(t, s, 1)
	f.listWorkers(6)
	id := f.request("safe", "fn", 2*time.Second)
	for n := range 3 {
		f.endAttemptNow(id, n, Miss)
	}
	if o := f.open[id]; len(o.sends) != 3 || len(f.loads) == 0 {
		t.Fatalf("%d sends and orders %v, want the last send to wait for an order", len(o.sends), f.loads)
	}
	f.endLoads(OK)
	if n := len(f.open[id].sends); n != 4 {
		t.Errorf("%d sends once the copy stood, want 4", n)
	}
}

// A crowded store slows every load; more orders at a time only add to the crowd.
func TestASlowLoadHalvesTheOrdersInFlight(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.advance(2 * time.Second)
	ask := func(name string) int {
		f.loads, f.pendingLoads = nil, nil
		for i := range 12 {
			f.request("safe", fmt.Sprint(name, i), 2*time.Second)
		}
		return len(f.loads)
	}
	usual := ask("a")
	orders := f.pendingLoads
	for i, l := range orders {
		took := 200 * ms
		if i == len(orders)-1 { // the others have widened the window by a third
			took = time.Second
		}
		f.event(LoadEndedEvent{Worker: l.Worker, Function: l.Function, Elapsed: took, Status: OK, Copies: 1})
	}
	if slow := ask("b"); slow < 2 || slow > usual*3/4 {
		t.Errorf("%d orders in flight after a slow load, %d before", slow, usual)
	}
}

func TestWaitsLeaveInTime(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	f.request("unsafe", "fn", 2*time.Second)
	first := f.loads[0].Worker
	f.pendingLoads = nil // never answered
	f.advance(f.now + 1200*ms)
	if len(f.loads) < 2 || f.loads[1].Worker == first {
		t.Errorf("orders %v: the request never left the silent one", f.loads)
	}
	f.advance(f.now + 2*time.Second) // the fleet asserts the final answer
}

// Guards rule 3: a drain or removal stops sends and loads at once.
func TestDrainsAreKept(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(2)
		home := f.serve("safe", "fn")
		f.update(ScopeDelta, Worker{ID: home, State: state, Weight: 1})
		if now := f.serve("safe", "fn"); now == home {
			t.Errorf("state %d: still sent to %s", state, home)
		}
	}
}

// Guards rule 2: what may have run is not sent again, and not refused, where that could do it twice.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	for _, status := range []Status{Failed, TimedOut, Reset, Cancelled, Status(99)} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(4)
		f.serve("unsafe", "fn")
		id := f.request("unsafe", "fn", 2*time.Second)
		f.endAttemptNow(id, 0, status)
		if len(f.open[id].sends) != 1 || !f.failed[id] {
			t.Errorf("status %d: sends %d, failed %v", status, len(f.open[id].sends), f.failed[id])
		}
	}
	for _, status := range []Status{Rejected, ConnectFailed, NotSent} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(4)
		f.serve("unsafe", "fn")
		id := f.request("unsafe", "fn", 2*time.Second)
		f.endAttemptNow(id, 0, status)
		f.endLoads(OK)
		if len(f.open[id].sends) != 2 {
			t.Errorf("status %d proves that it never ran, yet it was not sent on", status)
		}
	}
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.serve("keyed", "fn")
	id := f.request("keyed", "fn", 2*time.Second)
	f.endAttemptNow(id, 0, Failed)
	f.endLoads(OK)
	s := f.open[id].sends // the fleet asserts the group
	if len(s) != 2 {
		t.Fatalf("%d sends, want a second within the cell", len(s))
	}
	late := f.request("keyed", "fn", 2*time.Second)
	f.open[late].sends[0].due = f.now + 10*time.Second
	f.advance(f.now + 1100*ms)
	n := len(f.open[late].sends)
	f.endAttemptNow(late, 0, Failed)
	f.endLoads(OK)
	f.advance(f.now + 100*ms)
	if len(f.open[late].sends) != n {
		t.Error("sent again after the key's window")
	}
}

// Guards rule 2 on sockets: a repeat that waits for its connection could begin after the key's window, though it was
// decided on within it. It carries the end of that window with it.
func TestRepeatOfAKeyedRequestCarriesTheEndOfItsWindow(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.serve("keyed", "fn")
	id := f.request("keyed", "fn", 2*time.Second)
	first := f.sent[len(f.sent)-1]
	f.advance(f.now + 900*ms)
	f.endAttemptNow(id, 0, Failed)
	f.endLoads(OK)
	again := f.sent[len(f.sent)-1]
	if first.ID != id || first.StartWithin != 0 || again.ID != id || again == first || again.StartWithin != 100*ms {
		t.Errorf("sent %+v, then %+v", first, again)
	}
}

// Guards rule 1: requests are answered in time with no worker, and with a silent one.
func TestAlwaysAnswered(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		f.request(class, "fn", 500*ms)
	}
	f.advance(time.Second)
	f.listWorkers(3)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		f.request(class, "fn", 500*ms)
	}
	f.advance(2 * time.Second)
	if len(f.rejected)+len(f.failed) != 6 {
		t.Errorf("%d answers for 6 requests", len(f.rejected)+len(f.failed))
	}
}

// Guards rule 4: a fresh worker gets no more than this dispatcher's share of the budget.
func TestColdWorkerIsNotPushedOver(t *testing.T) {
	s := testSettings()
	f := newFleet(t, s, 1)
	f.now = 20 * time.Second
	f.update(ScopeFull, Worker{ID: "cold", Weight: 1, Started: f.now})
	for i := range 50 {
		f.request("safe", fmt.Sprintf("f%d", i%3), 900*ms)
		f.endLoads(OK)
	}
	if n := f.sentTo["cold"]; n > 1 {
		t.Errorf("%d requests to a worker that has just started, of which nothing is known", n)
	}
	if f.sentTo["cold"] == 0 {
		t.Error("a fresh worker is never tried")
	}
}

func TestLoadsAreRationed(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = time.Second, 1, 0.1
	f := newFleet(t, s, 1)
	f.listWorkers(6)
	for i := range 30 {
		id := f.request("safe", fmt.Sprintf("f%d", i), time.Second)
		for n := range f.open[id].sends { // not loaded anywhere: each send misses
			if f.open[id].sends[n].pending {
				f.endAttemptNow(id, n, Miss)
			}
		}
		f.advance(f.now + 5*ms)
	}
	if len(f.loads) == 0 || len(f.loads) > 4 { // the fleet asserts the exact ration
		t.Errorf("%d orders", len(f.loads))
	}
}

// Guards the ration on sockets, where an order counts once it has arrived: some wait for a connection that comes up late, and
// those of one moment meet those of another in one window. None begins later than it says, and whatever takes its time
// within that, no window holds more than the ration.
func TestRationHoldsForOrdersThatArriveLate(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	s.MinEventInterval = 5 * ms
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(t, s, seed)
		f.listWorkers(12)
		var arrived []time.Duration
		for i := range 400 {
			f.advance(f.now + time.Duration(rng.IntN(150))*ms)
			id := f.request("safe", fmt.Sprintf("f%d", i), 2*time.Second)
			for n := 0; n < len(f.open[id].sends); n++ { // not loaded anywhere
				if f.open[id].sends[n].pending {
					f.endAttemptNow(id, n, Miss)
				}
			}
			for _, l := range f.pendingLoads {
				if l.StartWithin <= 0 || l.StartWithin > 2*s.DialTimeout {
					t.Fatalf("an order may begin within %v", l.StartWithin)
				}
				arrived = append(arrived, f.now+time.Duration(rng.Int64N(int64(2*s.DialTimeout))))
			}
			f.endLoads(OK)
		}
		slices.Sort(arrived)
		for i, at := range arrived {
			within, taken := 0, 0
			for j := i; j >= 0 && arrived[j] > at-s.LoadWindow; j-- {
				within++
			}
			for _, came := range f.arrivedAt {
				if came > at-s.LoadWindow && came <= at {
					taken++
				}
			}
			if float64(within) > s.LoadBurst+s.LoadRatio*float64(taken) {
				t.Fatalf("seed %d: %d orders arrived within %v of %v, and %d requests", seed, within, s.LoadWindow, at, taken)
			}
		}
		if len(arrived) < 30 {
			t.Fatalf("%d orders for 400 requests", len(arrived))
		}
	}
}

// Guards the ration against clients that send by hundreds what they take back at once, or what nobody knows: each of these
// requests earned a part of an order, and the platform does not count them as taken. Only what a worker took for a request
// earns, at the time when it came.
func TestRequestsThatNoWorkerHasTakenEarnNoOrders(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	for name, status := range map[string]Status{"taken back": Cancelled, "unknown": Failed} {
		f := newFleet(t, s, 1)
		f.listWorkers(12)
		for i := range 200 {
			id := f.request("unsafe", fmt.Sprintf("flood%d", i%20), time.Second)
			if status == Cancelled {
				f.open[id].answered = true
				f.event(ClientGoneEvent{ID: id})
			}
			for n := range f.open[id].sends {
				if f.open[id].sends[n].pending {
					f.endAttemptNow(id, n, status)
				}
			}
		}
		f.advance(f.now + time.Second) // and so much for that
		f.loads = nil
		for i := range 60 {
			id := f.request("safe", fmt.Sprintf("f%d", i), 2*time.Second)
			for n := 0; n < len(f.open[id].sends); n++ { // not loaded anywhere
				if f.open[id].sends[n].pending {
					f.endAttemptNow(id, n, Miss)
				}
			}
			f.endLoads(OK)
			f.advance(f.now + 5*ms)
		}
		if n := len(f.loads); n < 6 || n > 6+60*15/100 {
			t.Errorf("%s: %d orders for 60 requests", name, n)
		}
	}
}

func TestSilentWorkerIsPassedOver(t *testing.T) {
	s := testSettings()
	f := newFleet(t, s, 1)
	f.listWorkers(4)
	for range 10 {
		f.serve("safe", "fn")
	}
	home := f.sent[0].Worker
	id := f.request("unsafe", "fn", 2*time.Second)
	silent := f.open[id].sends[0].worker
	f.advance(f.now + 700*ms)
	f.sentTo = map[WorkerID]int{}
	for range 5 {
		f.serve("unsafe", "fn")
	}
	if f.sentTo[silent] > 0 {
		t.Errorf("unsafe work still goes to %s, which is silent (home %s)", silent, home)
	}
}

func TestSecondCopyWhereAWorkerIsSilent(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	for range 40 {
		f.serve("safe", "fn")
	}
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 700*ms)
	s := f.open[id].sends
	if len(s) != 2 || s[0].worker == s[1].worker {
		t.Fatalf("%d sends for an overdue safe request, want a second elsewhere", len(s))
	}
	f.endAttemptNow(id, 1, OK)
	if f.cancelled == 0 {
		t.Error("the slower copy was not called off")
	}
}

func TestNoSecondCopyWhereNotAllowed(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	f := newFleet(t, s, 1)
	f.listWorkers(4)
	for range 40 {
		f.serve("safe", "fn")
	}
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 700*ms)
	if len(f.open[id].sends) != 1 || f.cancelled != 1 {
		t.Fatalf("sends %d, cancels %d: want the silent attempt called off first", len(f.open[id].sends), f.cancelled)
	}
	f.endAttemptNow(id, 0, Cancelled)
	f.endLoads(OK)
	if len(f.open[id].sends) != 2 {
		t.Error("not sent on after the cancel")
	}
}

// Guards against incidents i11969c and i77f7d9: under overload the retries of requests that were already late took
// the room of fresh ones. Where clients mark nothing, a later try shows by its shortened time left.
func TestLateTriesLeaveRoomForFreshOnes(t *testing.T) {
	for _, marks := range []bool{false, true} {
		s := testSettings()
		s.ClientsMarkRetries = marks
		f := newFleet(t, s, 1)
		f.listWorkers(1)
		f.serve("safe", "fn")
		for range 60 { // more than the worker may hold: requests wait
			f.request("safe", "fn", 2*time.Second)
		}
		f.advance(f.now + 20*ms)
		f.endAttemptNow(f.sent[len(f.sent)-1].ID, 0, OK) // room for one
		f.b.Handle(f.now, RequestEvent{ID: 9999, Class: "safe", Function: "fn", TimeLeft: time.Second, Concurrency: 1,
			Retry: marks})
		if r := f.b.requests[9999]; r.outstanding > 0 {
			t.Errorf("marks %v: a try whose aim has passed took the only room", marks)
		}
	}
}

// Guards against calls that wait for a load while a copy stands elsewhere: a crowded copy answers sooner.
func TestCrowdedCopyGoesBeforeALoad(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	f.serve("unsafe", "fn")
	for range 8 {
		f.request("unsafe", "fn", 2*time.Second)
	}
	for _, r := range f.b.unanswered {
		if r.waitingFor != nil {
			t.Errorf("request %d waits for a load though a copy stands", r.ID)
		}
	}
	if len(f.loads) < 2 {
		t.Error("no copy was ordered ahead at the next place")
	}
}

// Guards against second copies for calls that are only long: their worker still answers others.
func TestNoSecondCopyForALongCall(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for range 20 {
		f.serve("safe", "fn")
	}
	long := f.request("safe", "fn", 2*time.Second)
	for range 20 {
		f.serve("safe", "fn")
	}
	if len(f.open[long].sends) != 1 || f.cancelled > 0 {
		t.Error("a long call was copied or called off though its worker answers")
	}
}

// Guards against incidents i4ef3bc and i634825: a late try with a few milliseconds left came while others waited for
// room, was left to the next sweep, and got no answer in time.
func TestShortLateTryIsAnsweredUnderOverload(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	f.serve("safe", "fn")
	for range 60 {
		f.request("safe", "fn", 2*time.Second)
	}
	f.advance(f.now + 20*ms)
	for left := range 25 {
		f.request("safe", "fn", time.Duration(left)*ms)
		f.advance(f.now + 2*ms) // the fleet asserts an answer by each deadline
	}
	f.advance(f.now + 50*ms)
}

// Guards against incident i2aae88: some workers never answered one class but were quick with the others, so that
// they were neither silent nor slow.
func TestWorkerThatFailsOneClassGetsNoneOfIt(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(3)
	home := f.serve("safe", "fn")
	other := "other"
	for f.serve("unsafe", other) != home {
		other += "!"
	}
	for range 6 {
		id := f.request("safe", "fn", time.Second)
		f.endLoads(OK)
		n := len(f.open[id].sends) - 1
		if f.open[id].sends[n].worker == home {
			f.endAttemptNow(id, n, Failed)
		} else {
			f.endAttemptNow(id, n, OK)
		}
		f.serve("unsafe", other)
	}
	for range 6 { // hot by now, so each worker would have its turn
		id := f.request("safe", "fn", time.Second)
		f.endLoads(OK)
		if f.open[id].sends[0].worker == home {
			t.Fatalf("still sent to %s", home)
		}
		f.endAttemptNow(id, 0, OK)
	}
	if f.b.workers[home].class("unsafe").failureScore > 0 {
		t.Error("another class is blamed too")
	}
}

// The choke points refuse by themselves what no caller should ask of them.
func TestChokePointsRefuse(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	home := f.serve("unsafe", "fn")
	id := f.request("unsafe", "fn", 2*time.Second)
	r := f.b.requests[id]
	f.b.actions = nil
	f.b.send(r, f.b.workers["w00"]) // its first attempt is still out
	f.update(ScopeDelta, Worker{ID: home, State: Draining, Weight: 1})
	fresh := &request{RequestEvent: RequestEvent{ID: 77}, class: r.class, function: r.function, deadline: f.now + time.Second}
	f.b.actions = nil
	f.b.send(fresh, f.b.workers[home])
	f.b.orderLoad(r.function, r.function.placement(f.b.workers[home]), 1, 99)
	if len(f.b.actions) > 0 || len(r.attempts) != 1 {
		t.Errorf("emitted %v, %d attempts", f.b.actions, len(r.attempts))
	}
}

// Guards against what bad peers do: one spoilt answer ends its connection and with it everything open there. Counted
// for each request, one such break left a good worker out of turn for seconds, and peers spoil answers of all alike.
func TestOneBreakIsOneSign(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	home := f.serve("unsafe", "fn")
	w := f.b.workers[home]
	breaks := func() {
		f.advance(f.now + 50*ms)
		var open []RequestID
		for range 2 {
			open = append(open, f.request("unsafe", "fn", time.Second))
		}
		for _, id := range open {
			f.endAttemptNow(id, 0, Reset)
		}
	}
	breaks()
	if w.ejection.active || w.class("unsafe").failureScore > notIdempotentLimit*f.b.failureScoreLimit() {
		t.Errorf("left out for one break: suspect %t, failure score %v", w.ejection.active, w.class("unsafe").failureScore)
	}
	breaks() // and nothing was heard from it in between
	if !w.ejection.active {
		t.Error("not suspect, though it breaks every connection")
	}
}

// Guards against clients that take requests back at once, by hundreds: no worker could have answered by then.
func TestRequestTakenBackAtOnceSaysNothing(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	home := f.serve("safe", "fn")
	f.advance(f.now + 50*ms)
	id := f.request("safe", "fn", time.Second)
	f.advance(f.now + ms)
	f.event(ClientGoneEvent{ID: id})
	f.endAttemptNow(id, 0, Cancelled)
	if f.b.workers[home].ejection.active {
		t.Error("suspect after 1 ms of silence")
	}
}

// The same where no answer has come yet, as after a start: there is no time yet that the worker could be late against. It was
// left out, and what waited there for a load was refused.
func TestRequestTakenBackBeforeAnyAnswerSaysNothing(t *testing.T) {
	for status, suspect := range map[Status]bool{Cancelled: false, TimedOut: true} {
		s := testSettings()
		s.LoadOrders = false
		f := newFleet(t, s, 1)
		f.now = time.Second
		f.listWorkers(1)
		id := f.request("unsafe", "fn", time.Second)
		f.advance(f.now + 20*ms)
		f.endAttemptNow(id, 0, status)
		if got := f.b.workers["w00"].ejection.active; got != suspect {
			t.Errorf("status %v: suspect %v", status, got)
		}
	}
}

// On a long day workers are replaced by others all the time: those that have left must not stay.
func TestWorkersThatLeftAreForgotten(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for i := range 20 {
		id := WorkerID(fmt.Sprintf("v%02d", i))
		f.update(ScopeDelta, Worker{ID: id, Weight: 1})
		f.serve("safe", fmt.Sprintf("fn%d", i%3))
		f.update(ScopeDelta, Worker{ID: id, Weight: 1, State: Removed})
	}
	f.advance(f.now + f.settings.SlowStartDuration + f.settings.OverloadWindow + time.Second)
	at := 0
	for _, fn := range f.b.functions {
		at += len(fn.placements)
	}
	if len(f.b.workers) != 1 || at > len(f.b.functions) {
		t.Errorf("%d workers and %d places are kept", len(f.b.workers), at)
	}
}

// A refusal after half of a request's time costs more if no worker has seen it: by then it goes where its load is
// under way, or it is answered.
func TestWhatNoWorkerHasSeenIsDecidedByHalfOfItsTime(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	loading := f.request("unsafe", "fn", 600*ms) // its order stays unanswered
	f.advance(f.now + 310*ms)
	if len(f.open[loading].sends) != 1 {
		t.Errorf("%d sends to where its load is under way", len(f.open[loading].sends))
	}
	f.update(ScopeFull)
	none := f.request("unsafe", "other", 600*ms)
	f.advance(f.now + 310*ms)
	if !f.rejected[none] {
		t.Error("no answer by half of its time, and nobody to send it to")
	}
}

// Orders run out while the store is slow, and each dispatcher would wait for its own: another may have had the copy
// loaded meanwhile. So one request in two load times asks where it was missing.
func TestWithoutAnOrderAMissingCopyIsAskedForAgain(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst = 10*time.Second, 1
	f := newFleet(t, s, 1)
	f.listWorkers(1)
	f.endAttemptNow(f.request("safe", "fn", 3*time.Second), 0, Miss) // its order is the only one to be had
	f.endLoads(OK)
	gone := f.request("safe", "other", 3*time.Second)
	f.endAttemptNow(gone, 0, Miss)
	f.event(ClientGoneEvent{ID: gone})
	f.advance(f.now + 700*ms) // two load times
	first, second := f.request("safe", "other", 3*time.Second), f.request("safe", "other", 3*time.Second)
	if len(f.open[first].sends) != 1 || len(f.open[second].sends) != 0 {
		t.Errorf("%d and %d sends", len(f.open[first].sends), len(f.open[second].sends))
	}
}

// Guards against incident r256b92: some workers turned every call of one class away, whatever they held, and served
// the other. They were asked again every few milliseconds, and each time cost a request an attempt.
func TestWorkerThatTurnsAClassAwayIsShutToIt(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	f.serve("unsafe", "other")
	f.serve("safe", "fn")
	turned := 0
	for range 40 { // in two seconds
		id := f.request("safe", "fn", time.Minute)
		f.advance(f.now + 50*ms)
		if n := len(f.open[id].sends); n > 0 && f.open[id].sends[n-1].pending {
			f.endAttemptNow(id, n-1, Rejected)
			turned++
		}
		f.event(ClientGoneEvent{ID: id})
	}
	if turned > maxRejectedInARow+4 {
		t.Errorf("asked %d times in two seconds", turned)
	}
	f.serve("unsafe", "other")           // the other class still goes there
	f.advance(f.now + maxProbeBackoff/4) // a trial comes
	id := f.request("safe", "fn", 3*time.Second)
	f.endLoads(OK)
	f.advance(f.now + 20*ms)
	if n := len(f.open[id].sends); n == 0 {
		t.Fatal("no trial")
	}
}

// Any client can name a function that no worker knows. Tried on again and again it used up the ration of loads, and
// each error at once was taken for a crowded store.
func TestFunctionThatNobodyKnowsIsLeftAlone(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	window := f.b.loads.window.size
	for range 5 {
		id := f.request("safe", "nobody's", time.Second)
		for i := 0; i < len(f.open[id].sends) || len(f.pendingLoads) > 0; {
			f.endLoads(Failed)
			if i < len(f.open[id].sends) {
				f.endAttemptNow(id, i, Failed)
				i++
			}
		}
		f.advance(f.now + 20*ms)
	}
	if n := len(f.loads) + len(f.sent); n > maxUnknownErrors {
		t.Errorf("tried %d times", n)
	}
	if f.b.loads.window.size < window || len(f.b.stats.failureRate) > 0 && f.b.stats.failureRate["safe"] > 0 {
		t.Errorf("the store or the workers are blamed: window %v, bad %v", f.b.loads.window.size, f.b.stats.failureRate)
	}
	f.serve("safe", "fn")
}
