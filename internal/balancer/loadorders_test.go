package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestMissOrdersLoadAndResends(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	primary := f.serve("safe", "fn")
	f.loads = nil
	id := f.request("safe", "fn", 2*time.Second)
	f.endAttempt(id, 0, Miss)
	if len(f.loads) != 1 || f.loads[0].Worker != primary {
		t.Fatalf("load orders after a miss: %v, want one at %s", f.loads, primary)
	}
	f.endLoads(OK)
	if s := f.open[id].sends; len(s) != 2 || s[1].worker != primary {
		t.Error("the request was not sent again after the copy was loaded")
	}
}

// With a load budget, requests are sent to workers without a load order. Guards against misses within a few
// milliseconds that use up all attempts of a request.
func TestLastAttemptWaitsForLoadedCopy(t *testing.T) {
	s := testSettings()
	s.MaxAttempts, s.LoadWindow, s.LoadBurst, s.LoadRatio = 4, 10*time.Second, 6, 0.15
	f := newFleet(t, s, 1)
	f.listWorkers(6)
	id := f.request("safe", "fn", 2*time.Second)
	for n := range 3 {
		f.endAttempt(id, n, Miss)
	}
	if o := f.open[id]; len(o.sends) != 3 || len(f.loads) == 0 {
		t.Fatalf("%d sends and load orders %v, want 3 sends and a load order to wait for", len(o.sends), f.loads)
	}
	f.endLoads(OK)
	if n := len(f.open[id].sends); n != 4 {
		t.Errorf("%d sends after the copy was loaded, want 4", n)
	}
}

// An overloaded store slows down all loads, and more load orders in flight would slow them further. So a slow load
// must reduce the number of load orders in flight.
func TestSlowLoadDecreasesLoadWindow(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.advance(2 * time.Second)
	countOrders := func(name string) int {
		f.loads, f.pendingLoads = nil, nil
		for i := range 12 {
			f.request("safe", fmt.Sprint(name, i), 2*time.Second)
		}
		return len(f.loads)
	}
	usual := countOrders("a")
	orders := f.pendingLoads
	for i, l := range orders {
		elapsed := 200 * ms
		if i == len(orders)-1 { // the fast loads before it have enlarged the window by a third
			elapsed = time.Second
		}
		f.event(LoadEndedEvent{Worker: l.Worker, Function: l.Function, Elapsed: elapsed, Status: OK, Copies: 1})
	}
	if slow := countOrders("b"); slow < 2 || slow > usual*3/4 {
		t.Errorf("%d load orders in flight after a slow load, %d before", slow, usual)
	}
}

func TestRequestGivesUpUnansweredLoadOrder(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	f.request("unsafe", "fn", 2*time.Second)
	first := f.loads[0].Worker
	f.pendingLoads = nil // the order is never answered
	f.advance(f.now + 1200*ms)
	if len(f.loads) < 2 || f.loads[1].Worker == first {
		t.Errorf("load orders %v: the request did not move on to another worker", f.loads)
	}
	f.advance(f.now + 2*time.Second) // testFleet checks that the request gets its final answer
}

func TestLoadOrdersKeepToBudget(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = time.Second, 1, 0.1
	f := newFleet(t, s, 1)
	f.listWorkers(6)
	for i := range 30 {
		id := f.request("safe", fmt.Sprintf("f%d", i), time.Second)
		for n := range f.open[id].sends { // the function is not loaded anywhere: each attempt is a miss
			if f.open[id].sends[n].pending {
				f.endAttempt(id, n, Miss)
			}
		}
		f.advance(f.now + 5*ms)
	}
	if len(f.loads) == 0 || len(f.loads) > 4 { // checkLoadBudget checks the exact budget
		t.Errorf("%d load orders, want 1 to 4", len(f.loads))
	}
}

// Guards the load budget where orders are sent over sockets. An order counts when it arrives, and some orders wait
// for a slow connection, so that orders given at different times may arrive in the same window. No order begins
// after its StartWithin. Whatever the delays up to StartWithin are, no window may contain more arrivals than the
// budget allows.
func TestLoadBudgetHoldsForDelayedOrders(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	s.MinEventInterval = 5 * ms
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			f := newFleet(t, s, seed)
			f.listWorkers(12)
			var arrived []time.Duration
			for i := range 400 {
				f.advance(f.now + time.Duration(rng.IntN(150))*ms)
				id := f.request("safe", fmt.Sprintf("f%d", i), 2*time.Second)
				f.missEverywhere(id)
				for _, l := range f.pendingLoads {
					if l.StartWithin <= 0 || l.StartWithin > 2*s.DialTimeout {
						t.Fatalf("StartWithin of a load order is %v", l.StartWithin)
					}
					arrived = append(arrived, f.now+time.Duration(rng.Int64N(int64(2*s.DialTimeout))))
				}
				f.endLoads(OK)
			}
			checkArrivals(t, f, arrived)
			if len(arrived) < 30 {
				t.Fatalf("%d load orders for 400 requests, want at least 30", len(arrived))
			}
		})
	}
}

// checkArrivals checks the load budget in each window that ends with the arrival of an order.
func checkArrivals(t *testing.T, f *testFleet, arrived []time.Duration) {
	t.Helper()
	slices.Sort(arrived)
	s := f.settings
	for i, at := range arrived {
		orders := countAfter(arrived[:i+1], at-s.LoadWindow)
		requests := 0
		for _, arrival := range f.arrivals {
			if arrival > at-s.LoadWindow && arrival <= at {
				requests++
			}
		}
		if float64(orders) > s.LoadBurst+s.LoadRatio*float64(requests) {
			t.Fatalf("%d load orders arrived within %v before %v, with %d requests", orders, s.LoadWindow, at, requests)
		}
	}
}

// Guards the load budget against clients that send hundreds of requests and cancel them at once, or that name
// unknown functions. The platform does not count these requests as taken. A request earns load orders only once a
// worker accepts it, as of its arrival.
func TestUnservedRequestsEarnNoLoadOrders(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	for name, status := range map[string]Status{"cancelled": Cancelled, "unknown": Failed} {
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
					f.endAttempt(id, n, status)
				}
			}
		}
		f.advance(f.now + time.Second) // all of these requests have ended
		f.loads = nil
		for i := range 60 {
			id := f.request("safe", fmt.Sprintf("f%d", i), 2*time.Second)
			f.missEverywhere(id)
			f.endLoads(OK)
			f.advance(f.now + 5*ms)
		}
		if n := len(f.loads); n < 6 || n > 6+60*15/100 {
			t.Errorf("%s: %d load orders for 60 requests", name, n)
		}
	}
}

// The load budget may be spent while the store is slow. Guards against requests that only wait for a load order of
// their own dispatcher, since another dispatcher may have ordered the copy meanwhile. So once in two load times, a
// request is sent to the worker that missed.
func TestMissingCopyIsTriedAgainWithoutLoadBudget(t *testing.T) {
	s := testSettings()
	s.LoadWindow, s.LoadBurst = 10*time.Second, 1
	f := newFleet(t, s, 1)
	f.listWorkers(1)
	f.endAttempt(f.request("safe", "fn", 3*time.Second), 0, Miss) // uses up the load budget of one order
	f.endLoads(OK)
	cancelled := f.request("safe", "other", 3*time.Second)
	f.endAttempt(cancelled, 0, Miss)
	f.event(ClientGoneEvent{ID: cancelled})
	f.advance(f.now + 700*ms) // more than two load times of 300 ms
	first, second := f.request("safe", "other", 3*time.Second), f.request("safe", "other", 3*time.Second)
	if len(f.open[first].sends) != 1 || len(f.open[second].sends) != 0 {
		t.Errorf("%d and %d sends, want 1 and 0", len(f.open[first].sends), len(f.open[second].sends))
	}
}

// New versions of functions are released on ordinary days too. After a miss where a copy was loaded, the copies of
// that function at all workers count as not loaded. Guards against ordering all missing copies at once: even without a load
// budget, the load window must limit the orders in flight.
func TestLoadWindowLimitsOrdersAfterRelease(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	const functions = 40
	name := func(i int) string { return fmt.Sprintf("fn%d", i) }
	for i := range functions {
		f.serve("safe", name(i))
	}
	loadedEverywhere := f.b.functions["fn0"]
	for _, w := range f.b.ready { // make the function count as loaded at all workers
		p := loadedEverywhere.placement(w)
		p.copies, p.loadedUntil = 1, f.now+f.b.assumedLoadedTime()
	}
	f.loads = nil
	for i := range functions {
		id := f.request("safe", name(i), 2*time.Second)
		f.missEverywhere(id)
		if i == 0 {
			for _, p := range loadedEverywhere.placements {
				if f.b.isLoaded(p) {
					t.Errorf("the copy at %s is still assumed to be loaded after a miss", p.worker.ID)
				}
			}
		}
	}
	if n := len(f.loads); n == 0 || float64(n) >= 2*f.b.loads.window.size+1 { // orders stop at twice the window
		t.Errorf("%d load orders in flight, the load window is %v", n, f.b.loads.window.size)
	}
}
