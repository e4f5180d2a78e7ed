package balancer

import (
	"testing"
	"time"
)

// Guards rule 2, no forbidden repeats: a request that may have run is neither sent again nor rejected if it could then
// run twice against the rules of its class.
func TestNotIdempotentRequestIsNeverRepeated(t *testing.T) {
	for _, status := range []Status{Failed, TimedOut, Reset, Cancelled, Status(99)} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(4)
		f.serve("unsafe", "fn")
		id := f.request("unsafe", "fn", 2*time.Second)
		f.endAttempt(id, 0, status)
		if len(f.open[id].sends) != 1 || !f.failed[id] {
			t.Errorf("status %d: %d attempts, failed %v; want 1 attempt, failed", status, len(f.open[id].sends), f.failed[id])
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
			t.Errorf("status %d proves that the request never ran, but there is no second attempt", status)
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
	s := f.open[id].sends // the test fleet checks that the cell is the same
	if len(s) != 2 {
		t.Fatalf("%d attempts, want a second one within the cell", len(s))
	}
	late := f.request("keyed", "fn", 2*time.Second)
	f.open[late].sends[0].due = f.now + 10*time.Second
	f.advance(f.now + 1100*ms)
	n := len(f.open[late].sends)
	f.endAttempt(late, 0, Failed)
	f.endLoads(OK)
	f.advance(f.now + 100*ms)
	if len(f.open[late].sends) != n {
		t.Error("sent again after the dedup window")
	}
}

// Guards rule 2 for requests whose class needs a key for a repeat: without one the request is not sent again once it may have run, and
// its client is not told that a retry does no harm.
func TestKeyedRequestWithoutAKeyIsNotRetried(t *testing.T) {
	for _, status := range []Status{Failed, Reset, TimedOut} {
		f := newFleet(t, testSettings(), 1)
		f.listWorkers(6)
		f.serve("keyed", "fn")
		id := f.requestWithoutKey("keyed", "fn", 2*time.Second)
		f.endAttempt(id, 0, status)
		f.endLoads(OK)
		if len(f.open[id].sends) != 1 || !f.failed[id] {
			t.Errorf("status %d: %d attempts, want 1; failed %v, want true", status, len(f.open[id].sends), f.failed[id])
		}
	}
}

// Guards rule 2 for retries that wait for a connection: a retry could begin after the dedup window although it was
// chosen within the window. Send.StartWithin passes on the end of the window.
func TestKeyedRetryCarriesEndOfDedupWindow(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	f.serve("keyed", "fn")
	id := f.request("keyed", "fn", 2*time.Second)
	first := f.sent[len(f.sent)-1]
	f.advance(f.now + 900*ms)
	f.endAttempt(id, 0, Failed)
	f.endLoads(OK)
	retry := f.sent[len(f.sent)-1]
	if first.ID != id || first.StartWithin != 0 || retry.ID != id || retry == first || retry.StartWithin != 100*ms {
		t.Errorf("first attempt %+v, retry %+v; want StartWithin 0, then 100 ms", first, retry)
	}
}

// Guards rule 1, one final answer in time: without workers, and with workers that do not answer.
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
		t.Errorf("%d final answers to 6 requests", len(f.rejected)+len(f.failed))
	}
}

// The functions that emit Send and Load check the rules themselves, and emit nothing if a caller breaks one.
func TestSendAndOrderLoadCheckTheRules(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	primary := f.serve("unsafe", "fn")
	id := f.request("unsafe", "fn", 2*time.Second)
	r := f.b.requests[id]
	f.b.actions = nil
	f.b.send(r, f.b.workers["w00"]) // its first attempt is still pending
	f.update(ScopeDelta, Worker{ID: primary, State: Draining, Weight: 1})
	unsent := &request{RequestEvent: RequestEvent{ID: 77}, class: r.class, function: r.function,
		deadline: f.now + time.Second}
	f.b.actions = nil
	f.b.send(unsent, f.b.workers[primary])
	f.b.orderLoad(r.function, r.function.placement(f.b.workers[primary]), 1, 99)
	if len(f.b.actions) > 0 || len(r.attempts) != 1 {
		t.Errorf("emitted %v, want none; %d attempts, want 1", f.b.actions, len(r.attempts))
	}
}
