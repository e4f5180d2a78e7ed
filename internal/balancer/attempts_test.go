package balancer

import (
	"testing"
	"time"
)

// Guards rule 2: what may have run is neither sent again nor rejected where that could make it run twice.
func TestNotIdempotentRequestIsNeverRepeated(t *testing.T) {
	for _, status := range []Status{Failed, TimedOut, Reset, Cancelled, Status(99)} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(4)
		f.serve("unsafe", "fn")
		id := f.request("unsafe", "fn", 2*time.Second)
		f.endAttempt(id, 0, status)
		if len(f.open[id].sends) != 1 || !f.failed[id] {
			t.Errorf("status %d: sends %d, failed %v", status, len(f.open[id].sends), f.failed[id])
		}
	}
	for _, status := range []Status{Rejected, ConnectFailed, NotSent} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(4)
		f.serve("unsafe", "fn")
		id := f.request("unsafe", "fn", 2*time.Second)
		f.endAttempt(id, 0, status)
		f.endLoads(OK)
		if len(f.open[id].sends) != 2 {
			t.Errorf("status %d proves that it never ran, yet it was not sent on", status)
		}
	}
}

func TestKeyedRetryStaysInDedupScopeAndWindow(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.serve("keyed", "fn")
	id := f.request("keyed", "fn", 2*time.Second)
	f.endAttempt(id, 0, Failed)
	f.endLoads(OK)
	s := f.open[id].sends // the fleet asserts the group
	if len(s) != 2 {
		t.Fatalf("%d sends, want a second within the cell", len(s))
	}
	late := f.request("keyed", "fn", 2*time.Second)
	f.open[late].sends[0].due = f.now + 10*time.Second
	f.advance(f.now + 1100*ms)
	n := len(f.open[late].sends)
	f.endAttempt(late, 0, Failed)
	f.endLoads(OK)
	f.advance(f.now + 100*ms)
	if len(f.open[late].sends) != n {
		t.Error("sent again after the key's window")
	}
}

// Guards rule 2 on sockets: a retry that waits for its connection could begin after the dedup window, though it was
// decided on within it. It carries the end of that window with it.
func TestKeyedRetryCarriesEndOfDedupWindow(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.serve("keyed", "fn")
	id := f.request("keyed", "fn", 2*time.Second)
	first := f.sent[len(f.sent)-1]
	f.advance(f.now + 900*ms)
	f.endAttempt(id, 0, Failed)
	f.endLoads(OK)
	again := f.sent[len(f.sent)-1]
	if first.ID != id || first.StartWithin != 0 || again.ID != id || again == first || again.StartWithin != 100*ms {
		t.Errorf("sent %+v, then %+v", first, again)
	}
}

// Guards rule 1: requests are answered in time with no worker, and with a silent one.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		f.request(class, "fn", 500*ms)
	}
	f.advance(time.Second)
	f.listWorkers(3)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		f.request(class, "fn", 500*ms)
	}
	f.advance(2 * time.Second)
	if len(f.rejected)+len(f.failed) != 6 {
		t.Errorf("%d answers for 6 requests", len(f.rejected)+len(f.failed))
	}
}

// The functions that emit Send and Load refuse by themselves what no caller should ask of them.
func TestSendAndOrderLoadCheckTheRules(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	primary := f.serve("unsafe", "fn")
	id := f.request("unsafe", "fn", 2*time.Second)
	r := f.b.requests[id]
	f.b.actions = nil
	f.b.send(r, f.b.workers["w00"]) // its first attempt is still out
	f.update(ScopeDelta, Worker{ID: primary, State: Draining, Weight: 1})
	fresh := &request{RequestEvent: RequestEvent{ID: 77}, class: r.class, function: r.function,
		deadline: f.now + time.Second}
	f.b.actions = nil
	f.b.send(fresh, f.b.workers[primary])
	f.b.orderLoad(r.function, r.function.placement(f.b.workers[primary]), 1, 99)
	if len(f.b.actions) > 0 || len(r.attempts) != 1 {
		t.Errorf("emitted %v, %d attempts", f.b.actions, len(r.attempts))
	}
}
