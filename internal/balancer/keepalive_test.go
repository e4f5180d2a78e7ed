package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// idleUnsyncedFleet simulates a fleet that gets no syncs and no calls after newIdleUnsyncedFleet has returned, unless a test
// sends them.
type idleUnsyncedFleet struct {
	*testFleet
	draining     map[WorkerID]bool         // workers that reject orders to load copies
	loadedCopies func(l Load) (copies int) // the answer to a query for loaded copies
	liveLeases   []int                     // number of workers with a valid lease, after each step of runWithoutCalls
	queries      map[WorkerID]int          // number of queries, by worker
	orders       map[WorkerID][]FunctionID // functions of the orders of keepalives, by worker
}

// newIdleUnsyncedFleet returns a fleet right after its last sync. The first draining workers are draining, and each of the
// functions was called once.
func newIdleUnsyncedFleet(t *testing.T, workers, draining, functions int) *idleUnsyncedFleet {
	t.Helper()
	s := testSettings()
	s.EndpointLeases = true
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	f := &idleUnsyncedFleet{testFleet: newFleet(t, s, 1), draining: map[WorkerID]bool{}, queries: map[WorkerID]int{},
		orders: map[WorkerID][]FunctionID{}}
	f.loadedCopies = func(Load) int { return 0 }
	f.advance(time.Second)
	f.listWorkers(workers)
	for i := range draining {
		f.draining[WorkerID(fmt.Sprintf("w%02d", i))] = true
	}
	for i := range functions {
		f.serve("safe", fmt.Sprintf("fn%d", i))
	}
	for range 20 { // afterwards, the orders that the calls earned have left the load budget
		f.advance(f.now + time.Second)
		f.sync(f.now)
	}
	return f
}

// runWithoutCalls advances the time without calls and ends load orders as workers do.
func (f *idleUnsyncedFleet) runWithoutCalls(length time.Duration) {
	f.t.Helper()
	f.liveLeases = nil
	for end := f.now + length; f.now < end; {
		f.advance(f.now + 50*ms)
		f.liveLeases = append(f.liveLeases, len(f.b.ready))
		pending := f.pendingLoads
		f.pendingLoads = nil
		for _, l := range pending {
			f.endLoad(l)
		}
	}
}

// endLoad ends one load order or query as its worker would, and records it.
func (f *idleUnsyncedFleet) endLoad(l Load) {
	e := LoadEndedEvent{Worker: l.Worker, Function: l.Function, Status: OK, Copies: l.Copies, Elapsed: 50 * ms,
		WrittenAt: f.now - 50*ms, ConnectedSince: time.Second}
	switch {
	case l.Copies == 0:
		f.queries[l.Worker]++
		e.Copies = f.loadedCopies(l)
	case l.ProofAge > 0:
		f.orders[l.Worker] = append(f.orders[l.Worker], l.Function)
	}
	if l.Copies > 0 && f.draining[l.Worker] {
		e.Status, e.Copies = Rejected, 0
	}
	f.event(e)
}

// Without calls and syncs, keepalives keep the leases of a few workers valid within the load budget. No draining worker is among
// them once the leases by the last sync have expired.
func TestKeepalivesRenewLeasesWithoutCalls(t *testing.T) {
	f := newIdleUnsyncedFleet(t, 8, 2, 3)
	f.runWithoutCalls(time.Minute)
	assert.Positive(t, slices.Min(f.liveLeases))
	for _, w := range f.b.ready {
		assert.False(t, f.draining[w.ID], "%s", w.ID)
	}
	assert.LessOrEqual(t, len(f.b.ready), maxKeepaliveWorkers)
	f.sync(f.now)
	assert.Len(t, f.b.ready, 8)
}

// There are no keepalives while syncs or calls renew the leases.
func TestNoKeepaliveWhileLeasesAreRenewed(t *testing.T) {
	const functions = 12 // enough that each worker is the primary worker of one of them
	f := newIdleUnsyncedFleet(t, 3, 0, functions)
	for range 10 {
		f.runWithoutCalls(2 * time.Second)
		f.sync(f.now)
	}
	for range 20 {
		f.runWithoutCalls(500 * ms)
		for i := range functions {
			f.serve("safe", fmt.Sprintf("fn%d", i))
		}
	}
	assert.Empty(t, f.queries)
}

// A draining worker also carries out an order for a copy that is loaded already. So a keepalive orders no such copy. After a few
// queries, it has the idle copies of a function unloaded first. If the copies stay loaded, no lease is renewed.
func TestKeepaliveOrdersNoCopyThatIsLoaded(t *testing.T) {
	f := newIdleUnsyncedFleet(t, 4, 0, 2)
	f.loadedCopies = func(Load) int { return 1 }
	f.runWithoutCalls(20 * time.Second)
	assert.Empty(t, f.orders)
	assert.Empty(t, f.b.ready)
	assert.NotEmpty(t, f.unloads)

	f = newIdleUnsyncedFleet(t, 4, 0, 2)
	f.loadedCopies = func(l Load) int {
		for _, u := range f.unloads {
			if u.Worker == l.Worker && u.Function == l.Function {
				return 0
			}
		}
		return 1
	}
	f.runWithoutCalls(20 * time.Second)
	assert.Positive(t, slices.Min(f.liveLeases))
}

// The lease that expires last is renewed early if the load budget, after a burst of calls, would be spent when the renewal is
// due.
func TestKeepaliveComesBeforeTheBudgetIsSpent(t *testing.T) {
	f := newIdleUnsyncedFleet(t, 6, 0, 4)
	for range 60 {
		f.serve("safe", "fn0")
	}
	for f.b.loads.budget.LeftAt(f.now) >= f.settings.LoadBurst+1 { // other orders use up those that the calls have earned
		f.b.loads.budget.Take(f.now)
		f.loadTimes = append(f.loadTimes, f.now)
	}
	f.runWithoutCalls(30 * time.Second)
	assert.Positive(t, slices.Min(f.liveLeases))
}

// A few functions are kept in memory regardless of when they were last called, since a keepalive needs a function.
func TestFunctionsForKeepalivesAreKept(t *testing.T) {
	f := newIdleUnsyncedFleet(t, 3, 0, 2*minRememberedFunctions)
	f.advance(f.now + 10*time.Minute)
	assert.Len(t, f.b.functions, minRememberedFunctions)
	without := newFleet(t, testSettings(), 1)
	without.listWorkers(3)
	without.serve("safe", "fn")
	without.advance(10 * time.Minute)
	assert.Empty(t, without.b.functions, "no function is kept without Settings.EndpointLeases")
}
