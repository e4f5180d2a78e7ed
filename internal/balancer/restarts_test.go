package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newFleetWithGoneWorker returns a fleet with a worker that has served a call and then seems to have ended, syncAge after the
// last sync.
func newFleetWithGoneWorker(t *testing.T, syncAge time.Duration) (f *testFleet, w *worker) {
	t.Helper()
	f, _ = newLeaseFleet(t, 2)
	id := f.serve("safe", "fn")
	f.sync(f.now)
	f.advance(f.now + syncAge)
	f.event(PeerGoneEvent{Worker: id})
	return f, f.b.workers[id]
}

// A worker that was gone while discovery is out of sync may have restarted and be cold, and the dispatcher counts as notified of
// the restart. So the worker counts as cold: it gets only a part of the calls of a warm worker, and no copies are assumed to be
// loaded there (incident 3, sweep).
func TestReturnDuringAnOutageCountsAsAColdStart(t *testing.T) {
	f, w := newFleetWithGoneWorker(t, StaleSync)
	assert.Less(t, f.b.warmth(w), 0.3)
	assert.Zero(t, f.b.functions["fn"].placements[w.ID].copies)
	before := f.sentTo[w.ID]
	for i := range 40 {
		f.request("safe", fmt.Sprintf("f%d", i%3), 900*ms)
		f.endLoads(OK)
	}
	assert.LessOrEqual(t, f.sentTo[w.ID]-before, 1)
}

// The assumed start is the time of the first attempt that reaches the worker again.
func TestAssumedStartIsThatOfTheFirstContact(t *testing.T) {
	f, w := newFleetWithGoneWorker(t, StaleSync)
	f.advance(f.now + 500*ms)
	before := f.now
	f.b.recordFirstContact(&attempt{worker: w, sentAt: before})
	assert.Equal(t, before, w.slowStart.startedAt)
	f.b.recordFirstContact(&attempt{worker: w, sentAt: before + 1})
	assert.Equal(t, before, w.slowStart.startedAt)
}

// While syncs go on, the list reports restarts, so a closed connection alone is not taken for a restart.
func TestClosedConnectionIsNoRestartWhileSyncsGoOn(t *testing.T) {
	f, w := newFleetWithGoneWorker(t, StaleSync-100*ms)
	assert.InDelta(t, 1, f.b.warmth(w), 0)
	f.advance(f.now + 200*ms) // the last sync is now older than StaleSync, so a restart is assumed
	assert.Less(t, f.b.warmth(w), 0.3)
	f.sync(f.now)
	assert.InDelta(t, 1, f.b.warmth(w), 0, "the list reports no restart")
	assert.Empty(t, f.b.restarts.gone)
}

// A restart that the list reports still counts after the next sync.
func TestReportedRestartStaysAfterTheNextSync(t *testing.T) {
	f, w := newFleetWithGoneWorker(t, StaleSync)
	f.advance(f.now + time.Second)
	f.update(ScopeDelta, Worker{ID: w.ID, Weight: 1, Zone: "z0", Started: f.now - 500*ms})
	f.sync(f.now)
	assert.Less(t, f.b.warmth(w), 0.4)
}

// A restart that is assumed during an outage does not end a slow start that the list reported before the outage.
func TestAssumedRestartKeepsAReportedSlowStart(t *testing.T) {
	f, _ := newLeaseFleet(t, 2)
	f.update(ScopeDelta, Worker{ID: "w00", Weight: 1, Zone: "z0", Started: f.now})
	f.sync(f.now)
	f.advance(f.now + StaleSync)
	f.event(PeerGoneEvent{Worker: "w00"})
	f.advance(f.now + time.Second)
	f.sync(f.now)
	assert.InDelta(t, 0.2+0.8*4/10, f.b.warmth(f.b.workers["w00"]), 0.01, "4 s of the slow start of 10 s have passed")
}
