package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// many plays one fleet of workers for many balancers that share nothing, each with a few calls a second.
type dispatcherGroup struct {
	balancers []*Balancer
	rng       *rand.Rand
	now       time.Duration
	callbacks map[time.Duration][]func()
	sends     map[WorkerID][]time.Duration
	loadCount int
}

const groupStep = 5 * ms

func newDispatcherGroup(t testing.TB, s Settings, balancers, workers int) *dispatcherGroup {
	t.Helper()
	m := &dispatcherGroup{rng: rand.New(rand.NewPCG(7, 7)), callbacks: map[time.Duration][]func(){},
		sends: map[WorkerID][]time.Duration{}}
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
		m.balancers = append(m.balancers, b)
		m.event(i, EndpointsEvent{Scope: ScopeFull, Workers: list})
	}
	return m
}

func (m *dispatcherGroup) after(d time.Duration, f func()) {
	at := (m.now + d + groupStep - 1) / groupStep * groupStep
	if at <= m.now {
		at = m.now + groupStep
	}
	m.callbacks[at] = append(m.callbacks[at], f)
}

func (m *dispatcherGroup) event(i int, e Event) {
	for _, a := range m.balancers[i].Handle(m.now, e) {
		switch a := a.(type) {
		case Send:
			m.sends[a.Worker] = append(m.sends[a.Worker], m.now)
			n := len(m.balancers[i].requests[a.ID].attempts) - 1 // one send of a request at a time
			m.after(150*ms, func() {
				m.event(i, OutcomeEvent{ID: a.ID, Attempt: n, Worker: a.Worker, Status: OK, Elapsed: 150 * ms,
					Answered: true})
			})
		case Load:
			m.loadCount++
			m.after(groupStep, func() {
				m.event(i, LoadEndedEvent{Worker: a.Worker, Function: a.Function, Status: OK, Elapsed: groupStep, Copies: 1})
			})
		case SetTimer:
			m.after(a.After, func() { m.event(i, TimerEvent{TimerID: a.TimerID}) })
		}
	}
}

// play sends calls for some time, rate a second over all balancers, a fifth of them for one function.
func (m *dispatcherGroup) play(span time.Duration, rate float64) {
	for until := m.now + span; m.now < until; {
		m.now += groupStep
		events := m.callbacks[m.now]
		delete(m.callbacks, m.now)
		for _, f := range events {
			f()
		}
		for n := rate * groupStep.Seconds(); n > 0 && m.rng.Float64() < n; n-- {
			f := m.rng.IntN(40)
			if m.rng.IntN(5) == 0 {
				f = 0
			}
			m.event(m.rng.IntN(len(m.balancers)), RequestEvent{ID: RequestID(m.rng.Int64N(1 << 40)), Class: "safe",
				Function: FunctionID(fmt.Sprintf("fn%d", f)), TimeLeft: 2 * time.Second, Concurrency: 4, LoadTime: 300 * ms})
		}
	}
}

// Guards rule 4 where hundreds of dispatchers each see a request a second: one request each overloaded a cold worker.
func TestManyDispatchersKeepSlowStart(t *testing.T) {
	slow := testSettings()
	slow.SlowStartFloor, slow.SlowStartDuration = 0.1, 20*time.Second
	m := newDispatcherGroup(t, slow, 200, 10)
	m.play(12*time.Second, 400)
	cold, capacity := WorkerID("w00"), 400/10/0.6 // a warm worker is busy for 0.6 of its time
	for w, at := range m.sends {
		if len(at) > len(m.sends[cold]) || len(at) == len(m.sends[cold]) && w < cold {
			cold = w // the busiest
		}
	}
	started := m.now
	for i := range m.balancers {
		m.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: []Worker{{ID: cold, Zone: "z0", Weight: 1, Started: started}}})
	}
	m.sends[cold] = nil
	m.play(12*time.Second, 400)
	s := m.balancers[0].settings
	early := 0
	for i, at := range m.sends[cold] {
		if at >= started+s.SlowStartDuration {
			break
		}
		n := 0
		for j := i; j >= 0 && m.sends[cold][j] > at-s.OverloadWindow; j-- {
			n++
		}
		warm := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(at-started)/float64(s.SlowStartDuration)
		if most := s.OverloadMultiple * warm * capacity * s.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%v after its start: %d calls within %v, at most %.0f", at-started, n, s.OverloadWindow, most)
		}
		early++
	}
	if early == 0 {
		t.Error("the cold worker got nothing")
	}
}

// restart has the balancers begin anew, with nothing but the list.
func (m *dispatcherGroup) restart(t testing.TB, part float64, list []Worker) {
	for i := range m.balancers {
		if m.rng.Float64() >= part {
			m.event(i, EndpointsEvent{Scope: ScopeDelta, Workers: list})
			continue
		}
		b, err := New(m.balancers[i].settings, uint64(i)+m.rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		m.balancers[i] = b
		m.event(i, EndpointsEvent{Scope: ScopeStale, Workers: list})
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
				m := newDispatcherGroup(t, s, peers, workers)
				m.play(12*time.Second, rate)
				var list []Worker
				for _, w := range m.balancers[0].ready {
					list = append(list, w.Worker)
				}
				const cold = 3 // of the workers, as when a room comes back
				for i := range cold {
					list[i].Started = m.now
				}
				started := m.now
				m.sends = map[WorkerID][]time.Duration{}
				m.restart(t, part, list)
				m.play(8*time.Second, 1.5*rate) // a burst of half as much again
				for _, w := range list[:cold] {
					for i, at := range m.sends[w.ID] {
						n := 0
						for j := i; j >= 0 && m.sends[w.ID][j] > at-s.OverloadWindow; j-- {
							n++
						}
						warm := s.SlowStartFloor + (1-s.SlowStartFloor)*float64(at-started)/float64(s.SlowStartDuration)
						most := s.OverloadMultiple * warm * rate / workers / 0.6 * s.OverloadWindow.Seconds()
						if most += 2*math.Sqrt(most) + 2; float64(n) > most {
							t.Fatalf("%v after its start: %d calls within %v, at most %.0f", at-started, n, s.OverloadWindow, most)
						}
					}
				}
			})
		}
	}
}

// Guards against loads and primary workers by chance: few own calls must not scatter a fleet's copies.
func TestManyDispatchersAgreeOnPlacement(t *testing.T) {
	m := newDispatcherGroup(t, testSettings(), 200, 30)
	m.play(15*time.Second, 400)
	before := m.loadCount
	m.play(5*time.Second, 400)
	if n := m.loadCount - before; n > 400 {
		t.Errorf("%d orders for 2000 calls, though all copies stand", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{10, 100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			m := newDispatcherGroup(b, testSettings(), 30, workers)
			m.play(5*time.Second, 200)
			b.ResetTimer()
			for range b.N {
				m.play(groupStep, 200)
			}
		})
	}
}
