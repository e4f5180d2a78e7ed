package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// dispatcherGroup plays one fleet of workers for many balancers that share nothing, each with a few requests a second.
type dispatcherGroup struct {
	balancers    []*Balancer
	rng          *rand.Rand
	now          time.Duration
	callbacks    map[time.Duration][]func()
	sends        map[WorkerID][]time.Duration
	loadOrders   int
	functions    int           // that are called, beside the first one
	longestEvent time.Duration // that a balancer took for one event
}

// clockStep is how far the clock moves at a time.
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

// after calls f after a time, on the next step.
func (g *dispatcherGroup) scheduleAfter(d time.Duration, f func()) {
	at := (g.now + d + clockStep - 1) / clockStep * clockStep
	if at <= g.now {
		at = g.now + clockStep
	}
	g.callbacks[at] = append(g.callbacks[at], f)
}

// event delivers an event to one balancer and answers its actions.
func (g *dispatcherGroup) event(i int, e Event) {
	begun := time.Now()
	actions := g.balancers[i].Handle(g.now, e)
	g.longestEvent = max(g.longestEvent, time.Since(begun))
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			g.sends[a.Worker] = append(g.sends[a.Worker], g.now)
			n := len(g.balancers[i].requests[a.ID].attempts) - 1 // one send of a request at a time
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

// changeWorker has all balancers learn that a worker drains, or is ready again.
func (g *dispatcherGroup) changeWorker(number int) {
	id := WorkerID(fmt.Sprintf("w%02d", number))
	changed := g.balancers[0].workers[id].Worker
	changed.State = Draining - changed.State // between Ready and Draining
	for i := range g.balancers {
		g.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: []Worker{changed}})
	}
}

// play sends requests for some time, rate a second over all balancers, a fifth of them for one function.
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

// Guards rule 4 where hundreds of dispatchers each see a request a second: one request each overloaded a cold worker.
func TestManyDispatchersKeepSlowStart(t *testing.T) {
	slow := testSettings()
	slow.SlowStartFloor, slow.SlowStartDuration = 0.1, 20*time.Second
	g := newDispatcherGroup(t, slow, 200, 10)
	g.runTraffic(12*time.Second, 400)
	const capacity = 400 / 10 / 0.6 // a warm worker is busy for 0.6 of its time
	cold := WorkerID("w00")
	for w, at := range g.sends {
		if len(at) > len(g.sends[cold]) || len(at) == len(g.sends[cold]) && w < cold {
			cold = w // the busiest
		}
	}
	started := g.now
	for i := range g.balancers {
		restarted := Worker{ID: cold, Zone: "z0", Weight: 1, Started: started}
		g.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: []Worker{restarted}})
	}
	g.sends[cold] = nil
	g.runTraffic(12*time.Second, 400)
	early := 0
	for i, at := range g.sends[cold] {
		if at >= started+slow.SlowStartDuration {
			break
		}
		sends := countAfter(g.sends[cold][:i+1], at-slow.OverloadWindow)
		if limit := overloadLimit(slow, at-started, capacity); float64(sends) > limit {
			t.Fatalf("%v after its start: %d requests within %v, at most %.0f", at-started, sends,
				slow.OverloadWindow, limit)
		}
		early++
	}
	if early == 0 {
		t.Error("the cold worker got nothing")
	}
}

// overloadLimit is how many requests within OverloadWindow overload a worker some time after its start, by how many
// it answers in a second when it is warm.
func overloadLimit(s Settings, age time.Duration, capacity float64) float64 {
	warmth := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(age)/float64(s.SlowStartDuration)
	return s.OverloadMultiple * warmth * capacity * s.OverloadWindow.Seconds()
}

// restart has a part of the balancers begin anew, with nothing but the list.
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

// Guards rule 4 where dispatchers restart while workers come back, and know no more of these than the list tells: the
// sum over all dispatchers is bounded, in a small fleet and in a large one, also in a burst.
func TestManyRestartedDispatchersKeepSlowStart(t *testing.T) {
	for _, peers := range []int{4, 10, 20, 30, 100, 300} {
		for _, part := range []float64{0.1, 0.7, 1} {
			t.Run(fmt.Sprintf("%d, of which %v restart", peers, part), func(t *testing.T) {
				s := testSettings()
				s.SlowStartFloor, s.SlowStartDuration, s.OverloadWindow = 0.27, 16*time.Second, 3*time.Second
				const workers, rate = 10, 300
				g := newDispatcherGroup(t, s, peers, workers)
				g.runTraffic(12*time.Second, rate)
				var list []Worker
				for _, w := range g.balancers[0].ready {
					list = append(list, w.Worker)
				}
				const cold = 3 // of the workers, as when a room comes back
				for i := range cold {
					list[i].Started = g.now
				}
				started := g.now
				g.sends = map[WorkerID][]time.Duration{}
				g.restartBalancers(t, part, list)
				g.runTraffic(8*time.Second, 1.5*rate) // a burst of half as much again
				for _, w := range list[:cold] {
					for i, at := range g.sends[w.ID] {
						sends := countAfter(g.sends[w.ID][:i+1], at-s.OverloadWindow)
						limit := overloadLimit(s, at-started, rate/workers/0.6)
						limit += 2*math.Sqrt(limit) + 2
						if float64(sends) > limit {
							t.Fatalf("%v after its start: %d requests within %v, at most %.0f", at-started, sends,
								s.OverloadWindow, limit)
						}
					}
				}
			})
		}
	}
}

// Guards against loads and primary workers by chance: few own calls must not scatter a fleet's copies.
func TestManyDispatchersAgreeOnPlacement(t *testing.T) {
	g := newDispatcherGroup(t, testSettings(), 200, 30)
	g.runTraffic(15*time.Second, 400)
	before := g.loadOrders
	g.runTraffic(5*time.Second, 400)
	if n := g.loadOrders - before; n > 400 {
		t.Errorf("%d orders for 2000 requests, though all copies are loaded", n)
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
