package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards rule 3: a drain or removal stops sends and loads at once.
func TestNothingIsSentToDrainingOrRemovedWorkers(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(2)
		primary := f.serve("safe", "fn")
		f.update(ScopeDelta, Worker{ID: primary, State: state, Weight: 1})
		if now := f.serve("safe", "fn"); now == primary {
			t.Errorf("state %d: still sent to %s", state, primary)
		}
	}
}

// On a long day workers are replaced by others all the time: removed ones must not stay in memory.
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
	at := 0
	for _, fn := range f.b.functions {
		at += len(fn.placements)
	}
	if len(f.b.workers) != 1 || at > len(f.b.functions) {
		t.Errorf("%d workers and %d places are kept", len(f.b.workers), at)
	}
}
