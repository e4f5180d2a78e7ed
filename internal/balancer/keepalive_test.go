package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// silentFleet is a fleet whose discovery is silent and that gets no calls.
type silentFleet struct {
	*testFleet
	draining map[WorkerID]bool         // they reject what they would have to load
	stands   func(l Load) (copies int) // what an ask is answered
	live     []int                     // workers with a lease, at each step
	asked    map[WorkerID]int          // asks, by worker
	ordered  map[WorkerID][]FunctionID // orders of keepalives, by worker
}

// newSilentFleet returns a fleet of which some workers drain, with functions that were called, at a moment when discovery is heard
// for the last time.
func newSilentFleet(t *testing.T, workers, draining, functions int) *silentFleet {
	t.Helper()
	s := testSettings()
	s.EndpointLeases = true
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	f := &silentFleet{testFleet: newFleet(t, s, 1), draining: map[WorkerID]bool{}, asked: map[WorkerID]int{},
		ordered: map[WorkerID][]FunctionID{}}
	f.stands = func(Load) int { return 0 }
	f.advance(time.Second)
	f.listWorkers(workers)
	for i := range draining {
		f.draining[WorkerID(fmt.Sprintf("w%02d", i))] = true
	}
	for i := range functions {
		f.serve("safe", fmt.Sprintf("fn%d", i))
	}
	for range 20 { // the calls' part of the load budget is gone after it
		f.advance(f.now + time.Second)
		f.sync(f.now)
	}
	return f
}

// play lets time pass without a call and ends load orders as workers do.
func (f *silentFleet) play(length time.Duration) {
	f.t.Helper()
	f.live = nil
	for end := f.now + length; f.now < end; {
		f.advance(f.now + 50*ms)
		f.live = append(f.live, len(f.b.ready))
		pending := f.pendingLoads
		f.pendingLoads = nil
		for _, l := range pending {
			f.endLoad(l)
		}
	}
}

func (f *silentFleet) endLoad(l Load) {
	e := LoadEndedEvent{Worker: l.Worker, Function: l.Function, Status: OK, Copies: l.Copies, Elapsed: 50 * ms,
		WrittenAt: f.now - 50*ms, ConnectedSince: time.Second}
	switch {
	case l.Copies == 0:
		f.asked[l.Worker]++
		e.Copies = f.stands(l)
	case l.ProofAge > 0:
		f.ordered[l.Worker] = append(f.ordered[l.Worker], l.Function)
	}
	if l.Copies > 0 && f.draining[l.Worker] {
		e.Status, e.Copies = Rejected, 0
	}
	f.event(e)
}

// Without calls a few workers stay known to be ready for as long as discovery is silent, within the load budget, and none that
// drains is among them once a sync binds no more.
func TestKeepalivesRenewLeasesWithoutCalls(t *testing.T) {
	f := newSilentFleet(t, 8, 2, 3)
	f.play(time.Minute)
	assert.Positive(t, slices.Min(f.live))
	for _, w := range f.b.ready {
		assert.False(t, f.draining[w.ID], "%s", w.ID)
	}
	assert.LessOrEqual(t, len(f.b.ready), maxKeepaliveWorkers)
	f.sync(f.now)
	assert.Len(t, f.b.ready, 8)
}

// Where discovery is heard, or calls renew the leases, no worker is asked anything.
func TestNoKeepaliveWhereLeasesLast(t *testing.T) {
	const functions = 12 // that have each worker for their home
	f := newSilentFleet(t, 3, 0, functions)
	for range 10 {
		f.play(2 * time.Second)
		f.sync(f.now)
	}
	for range 20 {
		f.play(500 * ms)
		for i := range functions {
			f.serve("safe", fmt.Sprintf("fn%d", i))
		}
	}
	assert.Empty(t, f.asked)
}

// An order for a copy that stands is carried out by a worker that drains, too: none is given, and after a few asks the idle copies
// of a function are unloaded first. Where they stand all the same, nobody is proven.
func TestKeepaliveOrdersNothingThatStands(t *testing.T) {
	f := newSilentFleet(t, 4, 0, 2)
	f.stands = func(Load) int { return 1 }
	f.play(20 * time.Second)
	assert.Empty(t, f.ordered)
	assert.Empty(t, f.b.ready)
	assert.NotEmpty(t, f.unloads)

	f = newSilentFleet(t, 4, 0, 2)
	f.stands = func(l Load) int {
		for _, u := range f.unloads {
			if u.Worker == l.Worker && u.Function == l.Function {
				return 0
			}
		}
		return 1
	}
	f.play(20 * time.Second)
	assert.Positive(t, slices.Min(f.live))
}

// The last lease is renewed before the load budget is spent by a burst of calls that it will outlast.
func TestKeepaliveComesBeforeTheBudgetIsSpent(t *testing.T) {
	f := newSilentFleet(t, 6, 0, 4)
	for range 60 {
		f.serve("safe", "fn0")
	}
	for f.b.loads.budget.LeftAt(f.now) >= f.settings.LoadBurst+1 { // other orders spend what the calls have earned
		f.b.loads.budget.Take(f.now)
		f.loadTimes = append(f.loadTimes, f.now)
	}
	f.play(30 * time.Second)
	assert.Positive(t, slices.Min(f.live))
}

// A few functions are remembered however long ago they were called, since a keepalive needs one.
func TestFunctionsForKeepalivesAreRemembered(t *testing.T) {
	f := newSilentFleet(t, 3, 0, 2*minKeptFunctions)
	f.advance(f.now + 10*time.Minute)
	assert.Len(t, f.b.functions, minKeptFunctions)
	without := newFleet(t, testSettings(), 1)
	without.listWorkers(3)
	without.serve("safe", "fn")
	without.advance(10 * time.Minute)
	assert.Empty(t, without.b.functions, "where no lease ends")
}
