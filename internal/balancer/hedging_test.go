package balancer

import (
	"testing"
	"time"
)

func TestHedgeWhereWorkerIsSilent(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(4)
	for range 40 {
		f.serve("safe", "fn")
	}
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 700*ms)
	s := f.open[id].sends
	if len(s) != 2 || s[0].worker == s[1].worker {
		t.Fatalf("%d attempts of an overdue request of class safe, want a second one at another worker", len(s))
	}
	f.endAttempt(id, 1, OK)
	if f.cancelled == 0 {
		t.Error("the slower attempt was not cancelled")
	}
}

// Where hedging is not allowed, the overdue attempt at the silent worker is cancelled before the retry.
func TestNoHedgeWhereNotAllowed(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	f := newFleet(t, s, 1)
	f.listWorkers(4)
	for range 40 {
		f.serve("safe", "fn")
	}
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 700*ms)
	if len(f.open[id].sends) != 1 || f.cancelled != 1 {
		t.Fatalf("%d attempts, %d cancels: want the overdue attempt cancelled before a second one",
			len(f.open[id].sends), f.cancelled)
	}
	f.endAttempt(id, 0, Cancelled)
	f.endLoads(OK)
	if len(f.open[id].sends) != 2 {
		t.Error("no second attempt after the cancel")
	}
}

// Guards against hedging of requests that merely take long: their worker still answers other requests.
func TestNoHedgeForLongRequest(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for range 20 {
		f.serve("safe", "fn")
	}
	long := f.request("safe", "fn", 2*time.Second)
	for range 20 {
		f.serve("safe", "fn")
	}
	if len(f.open[long].sends) != 1 || f.cancelled > 0 {
		t.Error("a long request was hedged or cancelled though its worker answers other requests")
	}
}

// Guards against calls that are given up at a worker that is late, as no other worker may get them (incident of floods).
func TestOverdueAttemptAtTheOnlyWorkerIsNotCancelled(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	f := newFleet(t, s, 1)
	f.listWorkers(1)
	for range 40 {
		f.serve("safe", "fn")
	}
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 700*ms)
	if f.cancelled > 0 {
		t.Error("the attempt was cancelled though no other worker may get the request")
	}
	f.endAttempt(id, 0, OK)
}
