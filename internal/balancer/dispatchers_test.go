package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// dispatcherGroup simulates a fleet of workers for several balancers that share no state.
type dispatcherGroup struct {
	balancers    []*Balancer
	rng          *rand.Rand
	now          time.Duration
	callbacks    map[time.Duration][]func()
	sends        map[WorkerID][]time.Duration
	loadOrders   int
	functions    int           // number of functions that requests name
	longestEvent time.Duration // longest time that a balancer took for one event
}

// clockStep is how far the simulated clock moves at a time.
const clockStep = 5 * ms

func newDispatcherGroup(t testing.TB, s Settings, balancers, workers int) *dispatcherGroup {
	t.Helper()
	g := &dispatcherGroup{rng: rand.New(rand.NewPCG(7, 7)), callbacks: map[time.Duration][]func(){},
		sends: map[WorkerID][]time.Duration{}, functions: 40}
	s.Dispatchers = balancers
	var list []Worker
	for i := range workers {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: "z0", Cell: i / 4, Weight: 1})
	}
	for i := range balancers {
		s.Position = i
		b, err := New(s, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		g.balancers = append(g.balancers, b)
		g.event(i, EndpointsEvent{Scope: ScopeFull, Workers: list})
	}
	return g
}

// scheduleAfter schedules a call of f after a delay, rounded up to a clock step.
func (g *dispatcherGroup) scheduleAfter(d time.Duration, f func()) {
	at := (g.now + d + clockStep - 1) / clockStep * clockStep
	if at <= g.now {
		at = g.now + clockStep
	}
	g.callbacks[at] = append(g.callbacks[at], f)
}

// event delivers an event to one balancer and simulates the results of its actions.
func (g *dispatcherGroup) event(i int, e Event) {
	started := time.Now()
	actions := g.balancers[i].Handle(g.now, e)
	g.longestEvent = max(g.longestEvent, time.Since(started))
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			g.sends[a.Worker] = append(g.sends[a.Worker], g.now)
			n := len(g.balancers[i].requests[a.ID].attempts) - 1 // the attempt just sent: a request has one at a time
			g.scheduleAfter(150*ms, func() {
				g.event(i, OutcomeEvent{ID: a.ID, Attempt: n, Worker: a.Worker, Status: OK, Elapsed: 150 * ms,
					Answered: true})
			})
		case Load:
			g.loadOrders++
			g.scheduleAfter(clockStep, func() {
				g.event(i, LoadEndedEvent{Worker: a.Worker, Function: a.Function, Status: OK, Elapsed: clockStep,
					Copies: 1})
			})
		case SetTimer:
			g.scheduleAfter(a.After, func() { g.event(i, TimerEvent{TimerID: a.TimerID}) })
		}
	}
}

// changeWorker switches a worker between ready and draining, and delivers the change to all balancers.
func (g *dispatcherGroup) changeWorker(number int) {
	id := WorkerID(fmt.Sprintf("w%02d", number))
	changed := g.balancers[0].workers[id].Worker
	changed.State = Draining - changed.State // swaps Ready and Draining
	for i := range g.balancers {
		g.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: []Worker{changed}})
	}
}

// runTraffic sends requests for a time span, rate per second over all balancers. One in five names the first
// function.
func (g *dispatcherGroup) runTraffic(span time.Duration, rate float64) {
	for until := g.now + span; g.now < until; {
		g.now += clockStep
		events := g.callbacks[g.now]
		delete(g.callbacks, g.now)
		for _, f := range events {
			f()
		}
		for n := rate * clockStep.Seconds(); n > 0 && g.rng.Float64() < n; n-- {
			f := g.rng.IntN(g.functions)
			if g.rng.IntN(5) == 0 {
				f = 0
			}
			g.event(g.rng.IntN(len(g.balancers)), RequestEvent{ID: RequestID(g.rng.Int64N(1 << 40)), Class: "safe",
				Function: FunctionID(fmt.Sprintf("fn%d", f)), TimeLeft: 2 * time.Second, Concurrency: 4, LoadTime: 300 * ms})
		}
	}
}

// Guards rule 4 (slow start) where each of hundreds of dispatchers sees few requests per second: if each of them
// sends one request to a cold worker, the worker is overloaded.
func TestManyDispatchersKeepSlowStart(t *testing.T) {
	slow := testSettings()
	slow.SlowStartFloor, slow.SlowStartDuration = 0.1, 20*time.Second
	g := newDispatcherGroup(t, slow, 200, 10)
	g.runTraffic(12*time.Second, 400)
	const capacity = 400 / 10 / 0.6 // requests per second; a warm worker is busy for 0.6 of the time
	cold := WorkerID("w00")
	for w, at := range g.sends {
		if len(at) > len(g.sends[cold]) || len(at) == len(g.sends[cold]) && w < cold {
			cold = w // the worker with the most sends is restarted
		}
	}
	started := g.now
	for i := range g.balancers {
		restarted := Worker{ID: cold, Zone: "z0", Weight: 1, Started: started}
		g.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: []Worker{restarted}})
	}
	g.sends[cold] = nil
	g.runTraffic(12*time.Second, 400)
	checked := 0
	for i, at := range g.sends[cold] {
		if at >= started+slow.SlowStartDuration {
			break
		}
		sends := countAfter(g.sends[cold][:i+1], at-slow.OverloadWindow)
		if limit := overloadLimit(slow, at-started, capacity); float64(sends) > limit {
			t.Fatalf("%v after the start of a worker: %d requests within %v, want at most %.0f", at-started, sends,
				slow.OverloadWindow, limit)
		}
		checked++
	}
	if checked == 0 {
		t.Error("the cold worker received no requests")
	}
}

// overloadLimit returns how many requests within OverloadWindow overload a worker of a given age. capacity is how
// many requests per second the worker answers when it is warm.
func overloadLimit(s Settings, age time.Duration, capacity float64) float64 {
	warmth := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(age)/float64(s.SlowStartDuration)
	return s.OverloadMultiple * warmth * capacity * s.OverloadWindow.Seconds()
}

// restartBalancers replaces a part of the balancers by new ones that know only the endpoint list.
func (g *dispatcherGroup) restartBalancers(t testing.TB, part float64, list []Worker) {
	for i := range g.balancers {
		if g.rng.Float64() >= part {
			g.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: list})
			continue
		}
		b, err := New(g.balancers[i].settings, uint64(i)+g.rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		g.balancers[i] = b
		g.event(i, EndpointsEvent{Scope: ScopeStale, Workers: list})
	}
}

// Guards rule 4 (slow start) where dispatchers restart while workers come back, and know about these workers only
// what the endpoint list tells. The requests of all dispatchers together must stay below the overload limit, in
// small and large fleets and during a burst.
func TestManyRestartedDispatchersKeepSlowStart(t *testing.T) {
	for _, peers := range []int{4, 10, 20, 30, 100, 300} {
		for _, part := range []float64{0.1, 0.7, 1} {
			t.Run(fmt.Sprintf("%d dispatchers, of which %v restart", peers, part), func(t *testing.T) {
				s := testSettings()
				s.SlowStartFloor, s.SlowStartDuration, s.OverloadWindow = 0.27, 16*time.Second, 3*time.Second
				const workers, rate = 10, 300
				g := newDispatcherGroup(t, s, peers, workers)
				g.runTraffic(12*time.Second, rate)
				var list []Worker
				for _, w := range g.balancers[0].ready {
					list = append(list, w.Worker)
				}
				const cold = 3 // number of workers that start again at once, as when a server room comes back
				for i := range cold {
					list[i].Started = g.now
				}
				started := g.now
				g.sends = map[WorkerID][]time.Duration{}
				g.restartBalancers(t, part, list)
				g.runTraffic(8*time.Second, 1.5*rate) // a burst of 1.5 times the usual rate
				for _, w := range list[:cold] {
					for i, at := range g.sends[w.ID] {
						sends := countAfter(g.sends[w.ID][:i+1], at-s.OverloadWindow)
						limit := overloadLimit(s, at-started, rate/workers/0.6)
						limit += 2*math.Sqrt(limit) + 2
						if float64(sends) > limit {
							t.Fatalf("%v after the start of a worker: %d requests within %v, want at most %.0f", at-started, sends,
								s.OverloadWindow, limit)
						}
					}
				}
			})
		}
	}
}

// Guards against loads and primary workers that depend on chance: the few calls that each dispatcher sees must not
// scatter the copies of a function over the fleet.
func TestManyDispatchersAgreeOnPlacement(t *testing.T) {
	g := newDispatcherGroup(t, testSettings(), 200, 30)
	g.runTraffic(15*time.Second, 400)
	before := g.loadOrders
	g.runTraffic(5*time.Second, 400)
	if n := g.loadOrders - before; n > 400 {
		t.Errorf("%d load orders for 2000 requests although all copies are loaded, want at most 400", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{10, 100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			g := newDispatcherGroup(b, testSettings(), 30, workers)
			g.runTraffic(5*time.Second, 200)
			b.ResetTimer()
			for range b.N {
				g.runTraffic(clockStep, 200)
			}
		})
	}
}
