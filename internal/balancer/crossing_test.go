package balancer

import (
	"fmt"
	"testing"
	"time"
)

// orders calls do with each order of the numbers below n.
func permutations(n int, do func([]int)) {
	var next func(taken []int)
	next = func(taken []int) {
		if len(taken) == n {
			do(taken)
			return
		}
		for i := range n {
			used := false
			for _, j := range taken {
				used = used || i == j
			}
			if !used {
				next(append(taken[:len(taken):len(taken)], i))
			}
		}
	}
	next(nil)
}

// What may cross within one request, in every order: the end of its attempt, the drain of the worker, a fresh start of it
// under the same name, the answer to an order, the client's end, and the module's own timer. The fleet holds every action
// against the rules: nothing to a worker that drains, no further run of what may have run, one final answer, none and no
// attempt for a client that has left.
func TestEveryOrderOfWhatMayCross(t *testing.T) {
	for _, rationed := range []bool{false, true} {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, status := range []Status{OK, Failed, Rejected, Miss, Reset, TimedOut, ConnectFailed, NotSent} {
				if rationed && status != Miss && status != Rejected { // else it orders nothing
					continue
				}
				permutations(6, func(order []int) {
					s := testSettings()
					s.MinEventInterval = sweepInterval // the module looks no oftener
					if rationed {
						s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 2, 0.15
					}
					f := newFleet(t, s, 1)
					f.listWorkers(3)
					f.serve("safe", "fn")
					id := f.request(class, "fn", 300*ms)
					if len(f.open[id].sends) == 0 {
						f.endLoads(OK)
					}
					if len(f.open[id].sends) == 0 {
						t.Fatalf("%s is held", class)
					}
					w := f.workers[f.open[id].sends[0].worker]
					gone := false
					for _, step := range order {
						f.log = append(f.log, fmt.Sprint("step ", step, " of ", order))
						switch step {
						case 0:
							if f.open[id].sends[0].pending {
								f.endAttemptNow(id, 0, status)
							}
						case 1:
							w.State = Draining
							f.update(ScopeDelta, w)
						case 2:
							w.State, w.Started = Ready, f.now+ms
							f.update(ScopeDelta, w)
						case 3:
							f.endLoads(OK)
						case 4:
							if !f.open[id].answered {
								gone, f.open[id].answered = true, true
								f.event(ClientGoneEvent{ID: id})
							}
						case 5:
							f.advance(f.now + 3*sweepInterval)
						}
					}
					if r := f.b.requests[id]; gone && r != nil && !r.closed {
						t.Fatalf("%s, %v, %v: open after its client has left", class, status, order)
					}
					f.advance(f.now + 350*ms)
					if !f.open[id].answered {
						t.Fatalf("%s, %v, %v: never answered", class, status, order)
					}
				})
			}
		}
	}
}

// New versions of handlers come on quiet days too: one miss where a copy stood puts all copies of that function in doubt,
// and what is missing everywhere at once is loaded at a pace, though no ration holds it back.
func TestReleaseOnAQuietDayIsNoRush(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	const functions = 40
	name := func(i int) string { return fmt.Sprintf("fn%d", i) }
	for i := range functions {
		f.serve("safe", name(i))
	}
	twice := f.b.functions["fn0"]
	for _, w := range f.b.ready { // it is believed to stand everywhere
		p := twice.placement(w)
		p.copies, p.loadedUntil = 1, f.now+f.b.loadedTrust()
	}
	f.loads = nil
	for i := range functions {
		id := f.request("safe", name(i), 2*time.Second)
		for n := 0; n < len(f.open[id].sends); n++ {
			if f.open[id].sends[n].pending {
				f.endAttemptNow(id, n, Miss)
			}
		}
		if i == 0 {
			for _, p := range twice.placements {
				if f.b.isLoaded(p) {
					t.Errorf("a copy at %s is still believed in", p.worker.ID)
				}
			}
		}
	}
	if n := len(f.loads); n == 0 || float64(n) >= 2*f.b.loads.window.size+1 { // one more while fewer are out
		t.Errorf("%d orders at once, %v allowed in flight", n, f.b.loads.window.size)
	}
}
