package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against incidents i11969c and i77f7d9: under overload, retries of requests that were already late took the
// room of fresh ones. Where clients mark no retries, one shows by its shortened time left.
func TestLateRetriesLeaveRoomForFreshRequests(t *testing.T) {
	for _, marks := range []bool{false, true} {
		s := testSettings()
		s.ClientsMarkRetries = marks
		f := newFleet(t, s, 1)
		f.listWorkers(1)
		f.serve("safe", "fn")
		for range 60 { // more than the worker may hold: requests wait
			f.request("safe", "fn", 2*time.Second)
		}
		f.advance(f.now + 20*ms)
		f.endAttempt(f.sent[len(f.sent)-1].ID, 0, OK) // room for one
		f.b.Handle(f.now, RequestEvent{ID: 9999, Class: "safe", Function: "fn", TimeLeft: time.Second, Concurrency: 1,
			Retry: marks})
		if r := f.b.requests[9999]; r.outstanding > 0 {
			t.Errorf("marks %v: a try whose aim has passed took the only room", marks)
		}
	}
}

// Guards against incidents i4ef3bc and i634825: a late retry with a few milliseconds left came while others waited for
// room, was left to the next sweep, and got no answer in time.
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
		f.advance(f.now + 2*ms) // the fleet asserts an answer by each deadline
	}
	f.advance(f.now + 50*ms)
}

// A rejection after half of a request's time costs more if no worker has seen it: by then it goes where its load is
// under way, or it is answered.
func TestUnsentRequestIsDecidedByHalfTime(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	loading := f.request("unsafe", "fn", 600*ms) // its order stays unanswered
	f.advance(f.now + 310*ms)
	if len(f.open[loading].sends) != 1 {
		t.Errorf("%d sends to where its load is under way", len(f.open[loading].sends))
	}
	f.update(ScopeFull)
	none := f.request("unsafe", "other", 600*ms)
	f.advance(f.now + 310*ms)
	if !f.rejected[none] {
		t.Error("no answer by half of its time, and nobody to send it to")
	}
}

// Any client can name a function that no worker knows. Tried again and again it used up the load budget, and each
// quick error was taken for a crowded store.
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
		t.Errorf("tried %d times", n)
	}
	if f.b.loads.window.size < window || len(f.b.stats.failureRate) > 0 && f.b.stats.failureRate["safe"] > 0 {
		t.Errorf("the store or the workers are blamed: window %v, bad %v", f.b.loads.window.size, f.b.stats.failureRate)
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
		{"both", RequestEvent{Tenant: "small", Retry: true}, 2 * settings.OverQuotaWeight * 0.6},
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
