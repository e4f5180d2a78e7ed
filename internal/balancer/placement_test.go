package balancer

import (
	"fmt"
	"testing"
	"time"
)

// All dispatchers agree on the primary worker of a rare function, and primary workers differ between functions.
func TestRareFunctionsHaveOnePrimaryWorker(t *testing.T) {
	primaries := map[WorkerID]bool{}
	for i := range 12 {
		name := fmt.Sprintf("fn%d", i)
		a, b := newFleet(t, testSettings(), 1), newFleet(t, testSettings(), 99)
		a.listWorkers(6)
		b.listWorkers(6)
		x, y := a.serve("safe", name), b.serve("safe", name)
		if x != y {
			t.Errorf("%s: the primary worker is %s at one dispatcher, %s at another", name, x, y)
		}
		primaries[x] = true
	}
	if len(primaries) < 3 {
		t.Errorf("12 functions have only %d different primary workers, want at least 3", len(primaries))
	}
}

// When a worker is removed, only the functions that it served move to other workers.
func TestRemovedWorkerMovesOnlyItsOwnFunctions(t *testing.T) {
	for i := range 12 {
		name := fmt.Sprintf("fn%d", i)
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(6)
		primary := f.serve("safe", name)
		removed := WorkerID("w03")
		f.update(ScopeDelta, Worker{ID: removed, State: Removed, Weight: 1})
		f.advance(f.now + 20*time.Second) // longer than a copy is assumed to stay loaded
		if current := f.serve("safe", name); primary != removed && current != primary {
			t.Errorf("%s moved from %s to %s although only %s was removed", name, primary, current, removed)
		}
	}
}

func TestHotFunctionsSpreadOverWorkers(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	for range 60 {
		f.serve("safe", "hot")
	}
	if len(f.sentTo) < 4 {
		t.Errorf("a hot function was sent to %v only, want 4 workers", f.sentTo)
	}
}

// Guards against requests that wait for a load while a copy is loaded elsewhere: even a busy copy answers sooner.
func TestLoadedCopyIsPreferredToALoad(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	f.serve("unsafe", "fn")
	for range 8 {
		f.request("unsafe", "fn", 2*time.Second)
	}
	for _, r := range f.b.unanswered {
		if r.waitingFor != nil {
			t.Errorf("request %d waits for a load although a copy is loaded", r.ID)
		}
	}
	if len(f.loads) < 2 {
		t.Error("no copy was ordered in advance at the next worker")
	}
}
