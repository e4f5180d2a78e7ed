package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards rule 3: after a drain or a removal is reported, the worker gets no calls or load orders.
func TestNothingIsSentToDrainingOrRemovedWorkers(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(2)
		primary := f.serve("safe", "fn")
		f.update(ScopeDelta, Worker{ID: primary, State: state, Weight: 1})
		if sentTo := f.serve("safe", "fn"); sentTo == primary {
			t.Errorf("state %d: still sent to %s", state, primary)
		}
	}
}

// Guards against a growth of memory over a long run in which workers are replaced by others again and again: the records of
// removed workers must be deleted.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for i := range 20 {
		id := WorkerID(fmt.Sprintf("v%02d", i))
		f.update(ScopeDelta, Worker{ID: id, Weight: 1})
		f.serve("safe", fmt.Sprintf("fn%d", i%3))
		f.update(ScopeDelta, Worker{ID: id, Weight: 1, State: Removed})
	}
	f.advance(f.now + f.settings.SlowStartDuration + f.settings.OverloadWindow + time.Second)
	placementCount := 0
	for _, fn := range f.b.functions {
		placementCount += len(fn.placements)
	}
	if len(f.b.workers) != 1 || placementCount > len(f.b.functions) {
		t.Errorf("%d workers and %d placements are kept", len(f.b.workers), placementCount)
	}
}
