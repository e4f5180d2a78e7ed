package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// referenceOrder computes the rendezvous order of a function by sorting all ready workers.
func referenceOrder(b *Balancer, f *function) []*worker {
	order := slices.Clone(b.ready)
	slices.SortStableFunc(order, func(v, w *worker) int { return f.rendezvous.rank(v).compare(f.rendezvous.rank(w)) })
	return order
}

// After any changes of the ready workers, and however much of an order was read before, the order must equal one
// that is computed from scratch.
func TestIncrementalOrderMatchesFullSort(t *testing.T) {
	for _, workers := range []int{1, 5, 159, 160, 161, 400} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(workers), 1))
			b, err := New(testSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			var functions []*function
			for i := range 8 {
				functions = append(functions, b.functionOf(RequestEvent{Function: FunctionID(fmt.Sprint("fn", i))}))
			}
			applyRandomUpdate(b, random, ScopeFull, workers, workers)
			for round := range 400 {
				scope, changes := ScopeDelta, 1+random.IntN(3)
				if round%50 == 49 {
					scope, changes = ScopeFull, workers
				}
				if round%90 == 89 {
					changes = 2 * maxListChanges
				}
				applyRandomUpdate(b, random, scope, workers, changes)
				checkOrder(t, b, functions[random.IntN(len(functions))], random.IntN(2*workers+1))
			}
		})
	}
}

// applyRandomUpdate delivers an update in which workers become ready, drain, are removed or change their weight.
func applyRandomUpdate(b *Balancer, random *rand.Rand, scope UpdateScope, workers, changes int) {
	var list []Worker
	for i := range changes {
		number := random.IntN(workers)
		if scope == ScopeFull {
			number = i
		}
		state := []WorkerState{Ready, Ready, Ready, Draining, Removed}[random.IntN(5)]
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%03d", number)), State: state,
			Weight: float64(1 + random.IntN(2))})
	}
	b.Handle(b.now+time.Millisecond, EndpointsEvent{Scope: scope, Workers: list})
}

// checkOrder compares the first length workers of a function's order with referenceOrder. Indexes past the end wrap
// around.
func checkOrder(t *testing.T, b *Balancer, f *function, length int) {
	t.Helper()
	if !slices.IsSortedFunc(b.ready, func(v, w *worker) int { return compareIDs(v, w) }) {
		t.Fatal("the ready workers are not sorted")
	}
	want := referenceOrder(b, f)
	for i := range length {
		if len(want) == 0 {
			return
		}
		if got := b.workerAt(f, i); got != want[i%len(want)] {
			t.Fatalf("index %d of an order of %d: %s, want %s", i, len(want), got.ID, want[i%len(want)].ID)
		}
	}
}

// Guards against memory that grows with the fleet: examining workers must add no placements to a function and must
// not extend its order to all workers.
func TestWorkerLookupsAddNoPlacements(t *testing.T) {
	g := newDispatcherGroup(t, testSettings(), 2, 2000)
	g.runTraffic(3*time.Second, 60)
	for _, b := range g.balancers {
		for id, f := range b.functions {
			if len(f.placements) > 40 || len(f.rendezvous.prefix) > 1500 {
				t.Errorf("%s: %d placements, an order of %d workers", id, len(f.placements), len(f.rendezvous.prefix))
			}
		}
	}
}
