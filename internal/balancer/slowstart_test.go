package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/permit"
)

// Guards rule 4, no overload in slow start: a worker that has just started gets at most this dispatcher's share of the
// overload multiple of its capacity.
func TestSlowStartLimitsSends(t *testing.T) {
	s := testSettings()
	f := newFleet(t, s, 1)
	f.now = 20 * time.Second
	f.update(ScopeFull, Worker{ID: "cold", Weight: 1, Started: f.now})
	for i := range 50 {
		f.request("safe", fmt.Sprintf("f%d", i%3), 900*ms)
		f.endLoads(OK)
	}
	if n := f.sentTo["cold"]; n > 1 {
		t.Errorf("%d requests to a worker that has just started and has answered none, want at most 1", n)
	}
	if f.sentTo["cold"] == 0 {
		t.Error("no request to a worker that has just started")
	}
}

// Guards against incident 3: a worker that was warming up was sent too much. A worker's answer rate is estimated from
// the answers of all workers that the endpoint list names as ready. Here four of nine workers lose their leases. An
// estimate that left them out would take the rate of each other worker to be about twice as high.
func TestAnswerRateCountsWorkersWithoutALease(t *testing.T) {
	f, _ := newLeaseFleet(t, 8)
	f.b.settings.Dispatchers = 10
	for i := range 200 {
		f.serve("safe", fmt.Sprintf("f%d", i%20))
		f.advance(f.now + 20*ms)
		f.sync(f.now)
	}
	f.update(ScopeDelta, Worker{ID: "cold", Weight: 1, Started: f.now})
	rate := func() float64 {
		r := f.b.requests[f.request("safe", "f1", time.Second)]
		f.b.updateHotSet()
		return f.b.answerRate(r, f.b.workers["cold"])
	}
	before := rate()
	contested := 0
	for _, w := range f.b.workers {
		if w.ID != "cold" && contested < 4 {
			f.b.updateLease(w, OutcomeEvent{Status: Rejected, WrittenAt: f.now})
			contested++
		}
	}
	f.b.now += permit.MaxNotificationDelay + time.Second
	f.b.leases.syncedAt = f.b.now
	f.b.applyLeases()
	require.Len(t, f.b.ready, 5)
	assert.LessOrEqual(t, rate(), 1.1*before)
}

// Guards against the incident of floods, where a cold worker was sent more than its budget: in rolling restarts, the answers of all
// workers must not be taken for those of the few that are still warm. Here six of eight workers restart or go.
func TestAnswerRateCountsWarmWorkersOnly(t *testing.T) {
	f, _ := newLeaseFleet(t, 8)
	f.b.settings.Dispatchers = 100 // the rate follows from the answers rather than from their mean time
	for i := range 150 {
		f.serve("safe", fmt.Sprintf("f%d", i%20))
		f.advance(f.now + 20*ms)
		f.sync(f.now)
	}
	rate := func(id WorkerID) float64 {
		r := f.b.requests[f.request("safe", "f1", time.Second)]
		f.b.updateHotSet()
		return f.b.answerRate(r, f.b.workers[id])
	}
	f.update(ScopeDelta, Worker{ID: "cold", Weight: 1, Started: f.now})
	before := rate("cold")
	var ids []WorkerID
	for id := range f.b.workers {
		if id != "cold" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for i, id := range ids[:6] {
		changed := f.workers[id]
		changed.State = Removed
		if i%2 == 0 {
			changed.State, changed.Started = Ready, f.now
		}
		f.update(ScopeDelta, changed)
	}
	assert.LessOrEqual(t, rate("cold"), 1.5*before)
}
