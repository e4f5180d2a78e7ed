package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// goneWorker returns a fleet with a busy worker that was gone for a moment, where the last sync is so old.
func goneWorker(t *testing.T, syncAge time.Duration) (f *testFleet, w *worker) {
	t.Helper()
	f, _ = newLeaseFleet(t, 2)
	id := f.serve("safe", "fn")
	f.sync(f.now)
	f.advance(f.now + syncAge)
	f.event(PeerGoneEvent{Worker: id})
	return f, f.b.workers[id]
}

// A worker that comes back while discovery is silent may be cold, and counts as told of: it is sent a part of what it could do,
// and holds no copies (incident 3, sweep).
func TestReturnDuringAnOutageIsTakenForAColdStart(t *testing.T) {
	f, w := goneWorker(t, StaleSync)
	assert.Less(t, f.b.warmth(w), 0.3)
	assert.Zero(t, f.b.functions["fn"].placements[w.ID].copies)
	before := f.sentTo[w.ID]
	for i := range 40 {
		f.request("safe", fmt.Sprintf("f%d", i%3), 900*ms)
		f.endLoads(OK)
	}
	assert.LessOrEqual(t, f.sentTo[w.ID]-before, 1)
}

// The start is taken for the moment of the first contact.
func TestAssumedStartIsThatOfTheFirstContact(t *testing.T) {
	f, w := goneWorker(t, StaleSync)
	f.advance(f.now + 500*ms)
	before := f.now
	f.b.noteFirstContact(&attempt{worker: w, sentAt: before})
	assert.Equal(t, before, w.slowStart.startedAt)
	f.b.noteFirstContact(&attempt{worker: w, sentAt: before + 1})
	assert.Equal(t, before, w.slowStart.startedAt)
}

// While the list is followed, it tells of restarts: a connection that breaks says nothing.
func TestBreakIsNoRestartWhileTheListIsFollowed(t *testing.T) {
	f, w := goneWorker(t, StaleSync-100*ms)
	assert.InDelta(t, 1, f.b.warmth(w), 0)
	f.advance(f.now + 200*ms) // without a sync it may have been one after all
	assert.Less(t, f.b.warmth(w), 0.3)
	f.sync(f.now)
	assert.InDelta(t, 1, f.b.warmth(w), 0, "the list tells of none")
	assert.Empty(t, f.b.restarts.gone)
}

// A restart that the list tells of stays.
func TestToldRestartStaysAfterTheNextSync(t *testing.T) {
	f, w := goneWorker(t, StaleSync)
	f.advance(f.now + time.Second)
	f.update(ScopeDelta, Worker{ID: w.ID, Weight: 1, Zone: "z0", Started: f.now - 500*ms})
	f.sync(f.now)
	assert.Less(t, f.b.warmth(w), 0.4)
}

// What is assumed during an outage does not end the slow start that the list had told of before.
func TestAssumedRestartKeepsASlowStartThatWasTold(t *testing.T) {
	f, _ := newLeaseFleet(t, 2)
	f.update(ScopeDelta, Worker{ID: "w00", Weight: 1, Zone: "z0", Started: f.now})
	f.sync(f.now)
	f.advance(f.now + StaleSync)
	f.event(PeerGoneEvent{Worker: "w00"})
	f.advance(f.now + time.Second)
	f.sync(f.now)
	assert.InDelta(t, 0.2+0.8*4/10, f.b.warmth(f.b.workers["w00"]), 0.01, "4 s of 10 s have passed since its start")
}
