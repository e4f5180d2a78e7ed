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

// What may cross within one request.
const (
	attemptEnds = iota
	workerDrains
	workerRestarts // under the same ID
	loadsEnd
	clientLeaves
	timerExpires
	crossingEvents // how many there are
)

// crossing is one request, and the events that cross while its first attempt is in flight.
type crossing struct {
	*testFleet
	id         RequestID
	worker     Worker // of the first attempt
	status     Status // how the first attempt ends
	clientLeft bool
}

// newCrossing sends a request to a worker that holds its function.
func newCrossing(t *testing.T, budgeted bool, class string, status Status) *crossing {
	t.Helper()
	s := testSettings()
	s.MinEventInterval = sweepInterval // the module looks no oftener
	if budgeted {
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
	return &crossing{testFleet: f, id: id, worker: f.workers[f.open[id].sends[0].worker], status: status}
}

func (c *crossing) play(event int) {
	c.t.Helper()
	switch event {
	case attemptEnds:
		if c.open[c.id].sends[0].pending {
			c.endAttempt(c.id, 0, c.status)
		}
	case workerDrains:
		c.worker.State = Draining
		c.update(ScopeDelta, c.worker)
	case workerRestarts:
		c.worker.State = Ready
		c.worker.Started = c.now + ms
		c.update(ScopeDelta, c.worker)
	case loadsEnd:
		c.endLoads(OK)
	case clientLeaves:
		if !c.open[c.id].answered {
			c.clientLeft = true
			c.open[c.id].answered = true
			c.event(ClientGoneEvent{ID: c.id})
		}
	case timerExpires:
		c.advance(c.now + 3*sweepInterval)
	}
}

// Crossing events in every order. The fleet holds every action against the rules: nothing to a worker that drains, no
// further run of what may have run, one final answer, none and no attempt for a client that has left.
func TestEveryOrderOfCrossingEvents(t *testing.T) {
	for _, budgeted := range []bool{false, true} {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, status := range []Status{OK, Failed, Rejected, Miss, Reset, TimedOut, ConnectFailed, NotSent} {
				if budgeted && status != Miss && status != Rejected { // else it orders nothing
					continue
				}
				permutations(crossingEvents, func(order []int) {
					checkCrossing(t, newCrossing(t, budgeted, class, status), class, order)
				})
			}
		}
	}
}

func checkCrossing(t *testing.T, c *crossing, class string, order []int) {
	t.Helper()
	for _, event := range order {
		c.log = append(c.log, fmt.Sprint("event ", event, " of ", order))
		c.play(event)
	}
	if r := c.b.requests[c.id]; c.clientLeft && r != nil && !r.closed {
		t.Fatalf("%s, %v, %v: open after its client has left", class, c.status, order)
	}
	c.advance(c.now + 350*ms)
	if !c.open[c.id].answered {
		t.Fatalf("%s, %v, %v: never answered", class, c.status, order)
	}
}
