package balancer

import (
	"fmt"
	"testing"
	"time"
)

// permutations calls visit with each permutation of the numbers from 0 to n-1.
func permutations(n int, visit func([]int)) {
	var extend func(prefix []int)
	extend = func(prefix []int) {
		if len(prefix) == n {
			visit(prefix)
			return
		}
		for i := range n {
			used := false
			for _, j := range prefix {
				used = used || i == j
			}
			if !used {
				extend(append(prefix[:len(prefix):len(prefix)], i))
			}
		}
	}
	extend(nil)
}

// The events that may happen in any order while the first attempt of a request is pending.
const (
	attemptEnds = iota
	workerDrains
	workerRestarts // under the same ID
	loadsEnd
	clientLeaves
	timerExpires
	concurrentEvents // the number of events above
)

// raceScenario is one request whose first attempt is pending while other events happen.
type raceScenario struct {
	*testFleet
	id         RequestID
	worker     Worker // the worker of the first attempt
	status     Status // how the first attempt ends
	clientLeft bool
}

// newRaceScenario sends a request to a worker that has its function loaded.
func newRaceScenario(t *testing.T, budgeted bool, class string, status Status) *raceScenario {
	t.Helper()
	s := testSettings()
	s.MinEventInterval = sweepInterval // the balancer sweeps no more often
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
		t.Fatalf("request of class %s is not sent", class)
	}
	return &raceScenario{testFleet: f, id: id, worker: f.workers[f.open[id].sends[0].worker], status: status}
}

// apply delivers one of the events to the balancer.
func (c *raceScenario) apply(event int) {
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

// Delivers concurrent events in every order. The test fleet checks each action against the rules: nothing is sent to a
// draining worker, a request that may have run is not run again where its class forbids that, each request gets one
// final answer, and a request whose client has left gets neither an answer nor an attempt.
func TestEveryOrderOfConcurrentEvents(t *testing.T) {
	for _, budgeted := range []bool{false, true} {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, status := range []Status{OK, Failed, Rejected, Miss, Reset, TimedOut, ConnectFailed, NotSent} {
				if budgeted && status != Miss && status != Rejected { // other statuses cause no load order
					continue
				}
				permutations(concurrentEvents, func(order []int) {
					checkRaceScenario(t, newRaceScenario(t, budgeted, class, status), class, order)
				})
			}
		}
	}
}

// checkRaceScenario applies the events in an order and checks that the request ends in time.
func checkRaceScenario(t *testing.T, c *raceScenario, class string, order []int) {
	t.Helper()
	for _, event := range order {
		c.log = append(c.log, fmt.Sprint("event ", event, " of ", order))
		c.apply(event)
	}
	if r := c.b.requests[c.id]; c.clientLeft && r != nil && !r.closed {
		t.Fatalf("%s, %v, %v: request still open after its client has left", class, c.status, order)
	}
	c.advance(c.now + 350*ms)
	if !c.open[c.id].answered {
		t.Fatalf("%s, %v, %v: request never answered", class, c.status, order)
	}
}
