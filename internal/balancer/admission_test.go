package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against incidents i11969c and i77f7d9: under overload, retries of requests that were already late took the
// places of new requests. Where clients mark no retries, a retry is recognized by its shorter time left.
func TestLateRetriesLeaveRoomForFreshRequests(t *testing.T) {
	for _, marks := range []bool{false, true} {
		s := testSettings()
		s.ClientsMarkRetries = marks
		f := newFleet(t, s, 1)
		f.listWorkers(1)
		f.serve("safe", "fn")
		for range 60 { // more than the worker's concurrency window, so that requests wait
			f.request("safe", "fn", 2*time.Second)
		}
		f.advance(f.now + 20*ms)
		f.endAttempt(f.sent[len(f.sent)-1].ID, 0, OK) // one more request may be sent
		f.b.Handle(f.now, RequestEvent{ID: 9999, Class: "safe", Function: "fn", TimeLeft: time.Second, Concurrency: 1,
			Retry: marks})
		if r := f.b.requests[9999]; r.pendingCount > 0 {
			t.Errorf("clients mark retries %v: a retry whose latency objective has passed took the only free place", marks)
		}
	}
}

// Guards against incidents i4ef3bc and i634825: a late retry with a few milliseconds left arrived while other requests
// waited for workers. It was left to the next sweep and got no answer in time.
func TestShortLateRetryIsAnsweredUnderOverload(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	f.serve("safe", "fn")
	for range 60 {
		f.request("safe", "fn", 2*time.Second)
	}
	f.advance(f.now + 20*ms)
	for left := range 25 {
		f.request("safe", "fn", time.Duration(left)*ms)
		f.advance(f.now + 2*ms) // the test fleet checks that each request is answered by its deadline
	}
	f.advance(f.now + 50*ms)
}

// Guards against late rejections: a rejection of a request that has reached no worker costs more after half of its time.
// By then the request is sent to the worker where its load is under way, or gets its final answer.
func TestUnsentRequestIsDecidedByHalfTime(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	loading := f.request("unsafe", "fn", 600*ms) // its load order does not end
	f.advance(f.now + 310*ms)
	if len(f.open[loading].sends) != 1 {
		t.Errorf("%d attempts at the worker where the load is under way, want 1", len(f.open[loading].sends))
	}
	f.update(ScopeFull)
	unplaced := f.request("unsafe", "other", 600*ms)
	f.advance(f.now + 310*ms)
	if !f.rejected[unplaced] {
		t.Error("request not rejected by half of its time, though there is no worker")
	}
}

// Guards against functions that no worker knows, which any client can name. Repeated tries used up the load budget, and
// each quick error was taken as a sign of an overloaded function store.
func TestUnknownFunctionIsPaused(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(6)
	window := f.b.loads.window.size
	for range 5 {
		id := f.request("safe", "nobody's", time.Second)
		for i := 0; i < len(f.open[id].sends) || len(f.pendingLoads) > 0; {
			f.endLoads(Failed)
			if i < len(f.open[id].sends) {
				f.endAttempt(id, i, Failed)
				i++
			}
		}
		f.advance(f.now + 20*ms)
	}
	if n := len(f.loads) + len(f.sent); n > maxUnknownErrors {
		t.Errorf("%d attempts and load orders for an unknown function", n)
	}
	if f.b.loads.window.size < window || len(f.b.stats.failureRate) > 0 && f.b.stats.failureRate["safe"] > 0 {
		t.Errorf("errors of an unknown function count for the store or the workers: load window %v, failure rates %v",
			f.b.loads.window.size, f.b.stats.failureRate)
	}
	f.serve("safe", "fn")
}

func TestWeightOfARequest(t *testing.T) {
	settings := testSettings()
	settings.ClientsMarkRetries = true
	settings.Tenants = []Tenant{{Name: "small", RateQuota: 0.1}, {Name: "large", RateQuota: 100}}
	for _, test := range []struct {
		name  string
		event RequestEvent
		want  float64
	}{
		{"no tenant", RequestEvent{}, 2},
		{"within its quota", RequestEvent{Tenant: "large"}, 2},
		{"beyond its quota", RequestEvent{Tenant: "small"}, 2 * settings.OverQuotaWeight},
		{"retry", RequestEvent{Retry: true}, 2 * 0.6},
		{"beyond its quota, retry", RequestEvent{Tenant: "small", Retry: true}, 2 * settings.OverQuotaWeight * 0.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, settings, 1)
			e := test.event
			e.ID = 1
			e.Class = "safe"
			e.Function = "fn"
			e.TimeLeft = time.Second
			f.b.Handle(0, e)
			require.InDelta(t, test.want, f.b.requests[1].weight, 1e-9)
		})
	}
}
