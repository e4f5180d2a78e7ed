package balancer

import (
	"fmt"
	"testing"
	"time"
)

// permutations calls do with each order of the numbers below n.
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

// What may cross within one request, in every order: the end of its attempt, the drain of the worker, a fresh start of
// it under the same ID, the end of a load order, the client's leaving, and the module's own timer. The fleet holds
// every action against the rules: nothing to a worker that drains, no further run of what may have run, one final
// answer, none and no attempt for a client that has left.
func TestEveryOrderOfCrossingEvents(t *testing.T) {
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
								f.endAttempt(id, 0, status)
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
