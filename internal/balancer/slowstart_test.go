package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/permit"
)

// Guards rule 4: a worker that has just started gets no more than this dispatcher's share of the overload multiple.
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
		t.Errorf("%d requests to a worker that has just started, of which nothing is known", n)
	}
	if f.sentTo["cold"] == 0 {
		t.Error("a fresh worker is never tried")
	}
}

// A worker's rate is estimated by the answers of all workers that the list calls ready. Those without a lease have their part in
// it: left out, each of the others would pass for one of twice the rate, and one that warms up be sent too much (incident 3).
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
			f.b.recordLease(w, OutcomeEvent{Status: Rejected, WrittenAt: f.now})
			contested++
		}
	}
	f.b.now += permit.MaxNotificationDelay + time.Second
	f.b.leases.syncedAt = f.b.now
	f.b.reviewLeases()
	require.Len(t, f.b.ready, 5)
	assert.LessOrEqual(t, rate(), 1.1*before)
}
