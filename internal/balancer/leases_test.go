package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/permit"
)

// newLeaseFleet returns a fleet with Settings.EndpointLeases, and the time of its endpoint list.
func newLeaseFleet(t *testing.T, workers int) (f *testFleet, listedAt time.Duration) {
	t.Helper()
	s := testSettings()
	s.EndpointLeases = true
	f = newFleet(t, s, 1)
	f.advance(time.Second)
	f.listWorkers(workers)
	return f, f.now
}

// leaseExpiry returns when a lease expires that was last renewed by a sync at a time.
func (f *testFleet) leaseExpiry(syncedAt time.Duration) time.Duration {
	return syncedAt + permit.NewLeaseTerms(f.settings.DrainGrace).AfterSync
}

// sync delivers a sync: all changes that discovery knew of at a time have been received.
func (f *testFleet) sync(asOf time.Duration) { f.event(EndpointsSyncedEvent{AsOf: asOf}) }

// No call or load order goes to a worker whose lease has expired. A request waits for a sync until its deadline, and is placed
// after the sync (incident 3).
func TestNothingIsSentOnceLeasesHaveEnded(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	f.advance(f.leaseExpiry(listedAt) - 2*LeaseChoiceMargin)
	f.serve("safe", "before")
	f.advance(f.now + permit.MaxNotificationDelay) // the lease renewed by the served call has expired, too
	sent, loads := len(f.sent), len(f.loads)
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 500*ms)
	assert.Len(t, f.sent, sent)
	assert.Len(t, f.loads, loads)
	assert.Empty(t, f.b.ready)
	assert.False(t, f.rejected[id], "the request waits")
	f.sync(f.now - 100*ms)
	f.advance(f.now + 20*ms)
	assert.Len(t, f.b.ready, 3)
	assert.Len(t, f.loads, loads+1)
	f.endLoads(OK)
	assert.Len(t, f.open[id].sends, 1)
	f.endLatestAttempt(id, OK, 10*ms)
}

// If all leases have expired and no sync comes, a request is rejected and not sent.
func TestRequestIsRejectedWithoutValidLeases(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	f.advance(f.leaseExpiry(listedAt))
	id := f.request("unsafe", "fn", 400*ms)
	f.advance(f.now + 400*ms)
	assert.True(t, f.rejected[id])
	assert.Empty(t, f.sent)
}

// Workers that serve calls stay available without syncs. A served call renews only the lease of its own worker.
func TestServedCallsRenewTheLeaseOfTheirWorker(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 6)
	lastServed := map[WorkerID]time.Duration{}
	for f.now < f.leaseExpiry(listedAt)+10*time.Second {
		f.advance(f.now + 2*time.Second)
		sentAt := f.now
		lastServed[f.serve("safe", "fn")] = sentAt
	}
	require.NotEmpty(t, f.b.ready)
	assert.Less(t, len(f.b.ready), 6)
	for _, w := range f.b.ready {
		assert.Less(t, f.now-lastServed[w.ID], permit.MaxNotificationDelay, "%s", w.ID)
	}
	f.sync(f.now)
	assert.Len(t, f.b.ready, 6)
}

// A worker that has been draining for long rejects calls, so a call that was served, missed or failed is evidence that its worker
// was ready, and renews the lease. A rejection, a reset and a call without an answer do not.
func TestAcceptedCallsRenewTheLease(t *testing.T) {
	for status, renews := range map[Status]bool{OK: true, Miss: true, Failed: true, Rejected: false, Reset: false, TimedOut: false,
		ConnectFailed: false, NotSent: false} {
		f, listedAt := newLeaseFleet(t, 3)
		w := f.b.workers["w00"]
		f.advance(listedAt + 5*time.Second)
		f.b.updateLease(w, OutcomeEvent{Status: status, WrittenAt: f.now, ConnectedSince: listedAt})
		f.advance(f.leaseExpiry(listedAt) + time.Second)
		assert.Equal(t, renews, f.b.available(w), "%v", status)
	}
}

// After a worker has rejected a call, syncs do not renew its lease until the worker serves a call or the list names it: discovery
// may report no changes because it is cut off itself.
func TestRejectionsStopSyncsFromRenewingTheLease(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 2)
	w := f.serve("safe", "fn")
	id := f.request("safe", "fn", 2*time.Second)
	require.Equal(t, w, f.firstWorker(id))
	f.endAttempt(id, 0, Rejected)
	for f.now < f.leaseExpiry(listedAt)+time.Second {
		f.advance(f.now + time.Second)
		f.sync(f.now)
	}
	require.Len(t, f.b.ready, 1)
	assert.NotEqual(t, w, f.b.ready[0].ID)
	f.update(ScopeDelta, Worker{ID: w, Weight: 1, Zone: "z0"})
	assert.Len(t, f.b.ready, 2, "the list names the worker")
}

// Guards against calls to workers that drained before the dispatcher started: the list used at the start may be old, so a worker
// that rejects a call gets no further calls until a new list names it.
func TestRejectionEndsALeaseByAnOldList(t *testing.T) {
	s := testSettings()
	s.EndpointLeases = true
	f := newFleet(t, s, 1)
	f.advance(time.Second)
	workers := []Worker{{ID: "w00", Zone: "z0", Weight: 1}, {ID: "w01", Zone: "z0", Weight: 1}}
	f.event(EndpointsEvent{Scope: ScopeStale, Workers: workers, AsOf: f.now})
	f.state["w00"], f.state["w01"] = Ready, Ready
	for _, w := range workers {
		f.workers[w.ID] = w
	}
	f.advance(f.now + 10*ms)
	id := f.request("safe", "fn", 2*time.Second)
	f.endLoads(OK)
	rejecting := f.firstWorker(id)
	f.advance(f.now + 10*ms)
	f.endAttempt(id, 0, Rejected)
	f.sync(f.now)
	require.Len(t, f.b.ready, 1)
	assert.NotEqual(t, rejecting, f.b.ready[0].ID)
	f.update(ScopeDelta, Worker{ID: rejecting, Zone: "z0", Weight: 1})
	assert.Len(t, f.b.ready, 2)
}

// Operators get a report of which leases expire or are renewed, and how many workers have a valid lease.
func TestLeaseChangesAreReported(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 2)
	f.advance(f.leaseExpiry(listedAt) - LeaseChoiceMargin)
	var reported []LeasesChanged
	f.now = f.leaseExpiry(listedAt) + 1
	for _, e := range []Event{TimerEvent{TimerID: f.b.timer.id}, EndpointsSyncedEvent{AsOf: f.now - 2}} {
		for _, a := range f.b.Handle(f.now, e) {
			if change, ok := a.(LeasesChanged); ok {
				reported = append(reported, change)
			}
		}
	}
	ids := []WorkerID{"w00", "w01"}
	assert.Equal(t, []LeasesChanged{{Workers: ids, Ended: 2, SyncAge: f.now - listedAt}, {Workers: ids, Renewed: 2, Live: 2, SyncAge: 2}}, reported)
}

// Without Settings.EndpointLeases, as in the simulator, listed workers stay available without syncs.
func TestWorkersStayAvailableWithoutEndpointLeases(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	f.advance(time.Minute)
	f.serve("safe", "fn")
	assert.Len(t, f.b.ready, 2)
}

// While discovery is out of sync, calls of a function go first to the worker of its group whose lease expires next, since only
// accepted calls renew leases then.
func TestCallsRenewTheLeaseThatExpiresNext(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	for range 12 { // makes the function hot, with the whole fleet as its group
		f.serve("safe", "fn")
	}
	f.advance(f.leaseExpiry(listedAt) - 2*time.Second)
	for range 30 {
		f.advance(f.now + 300*ms)
		f.serve("safe", "fn")
	}
	assert.Len(t, f.b.ready, 3, "no lease has expired, long after the first ones would have")
}

// Guards against calls to workers whose drain was not reported, while polls were answered without changes. Calls of a function go
// to the workers of its group with current evidence that they are ready, as many as the calls can renew, before the workers that
// are ready only by the list.
func TestCallsGoToWorkersWithEvidenceFirst(t *testing.T) {
	f, _ := newLeaseFleet(t, 6)
	for range 12 { // makes the function hot, with most of the fleet as its group
		f.serve("safe", "fn")
	}
	for range 10 { // a sync and a call every two seconds
		f.advance(f.now + 2*time.Second)
		f.sync(f.now)
		f.serve("safe", "fn")
	}
	hasEvidence := map[WorkerID]bool{}
	for _, w := range f.b.ready {
		hasEvidence[w.ID] = f.b.evidenceLeft(w) > 0
	}
	for range 10 {
		f.advance(f.now + 2*time.Second)
		f.sync(f.now)
		assert.True(t, hasEvidence[f.serve("safe", "fn")])
	}
	assert.Len(t, f.b.ready, 6)
}

// Calls of a rarely called function go to a worker with a copy and current evidence before the function's primary worker, if that
// is ready only by the list. The primary worker comes first again once there is evidence of it.
func TestCallsGoToWorkersWithEvidenceBeforeAPrimaryWithout(t *testing.T) {
	f, _ := newLeaseFleet(t, 8)
	primary := f.serve("safe", "fn")
	f.advance(f.now + 8*time.Second)
	f.sync(f.now)
	fn := f.b.functions["fn"]
	other := f.b.workerAt(fn, 3)
	require.NotEqual(t, primary, other.ID)
	fn.placement(other).setLoaded(1, f.now+time.Minute)
	fn.placement(f.b.workers[primary]).setLoaded(1, f.now+time.Minute)
	assert.Equal(t, primary, f.serve("safe", "fn"), "no worker has current evidence")
	fn.placement(f.b.workers[primary]).setLoaded(1, f.now+time.Minute)
	f.advance(f.now + 8*time.Second)
	f.sync(f.now)
	other.lease.RecordAccepted(f.now, 0, f.now)
	assert.Equal(t, other.ID, f.serve("safe", "fn"))
	f.b.workers[primary].lease.RecordAccepted(f.now, 0, f.now)
	assert.Equal(t, primary, f.serve("safe", "fn"))
}

// Load orders need a valid lease as calls do, also between the expiry of the lease and the next sweep, which updates the ready
// workers.
func TestNothingIsOrderedWithoutALease(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 1)
	f.serve("safe", "fn")
	fn := f.b.functions["fn"]
	f.b.now = f.leaseExpiry(listedAt) + permit.MaxNotificationDelay
	assert.False(t, f.b.orderLoad(fn, fn.placement(f.b.workers["w00"]), 2, 8))
	f.b.leases.syncedAt = f.b.now
	assert.True(t, f.b.orderLoad(fn, fn.placement(f.b.workers["w00"]), 2, 8))
}

// A request stops waiting for a load at a worker whose lease expires during the load.
func TestRequestStopsWaitingForALoadWithoutALease(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	f.advance(f.leaseExpiry(listedAt) - 200*ms)
	id := f.request("safe", "slow", 3*time.Second)
	r := f.b.requests[id]
	require.NotNil(t, r.waitingFor)
	loadingAt := r.waitingFor.worker
	for _, w := range f.b.ready {
		if w != loadingAt {
			w.lease.RecordAccepted(f.now, 0, f.b.leases.syncedAt)
		}
	}
	f.advance(f.now + 250*ms)
	require.NotNil(t, r.waitingFor, "at another worker")
	assert.NotEqual(t, loadingAt, r.waitingFor.worker)
}

// The expired lease of a worker with evidence from a new connection becomes valid again without further events, once the
// dispatcher counts as notified of a restart.
func TestLeaseOfAWorkerWithANewConnectionResumes(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 1)
	f.advance(listedAt + 3*time.Second)
	w := f.b.workers["w00"]
	connectedSince := f.now
	f.advance(f.now + 3*time.Second)
	f.b.updateLease(w, OutcomeEvent{Status: OK, WrittenAt: f.now, ConnectedSince: connectedSince})
	f.advance(f.leaseExpiry(listedAt) + 300*ms)
	assert.Empty(t, f.b.ready)
	f.advance(connectedSince + permit.MaxNotificationDelay + time.Second)
	assert.Len(t, f.b.ready, 1)
}

// Where most workers reject calls, they are full rather than draining. While syncs go on, contested leases exclude at most half
// of the fleet.
func TestContestedLeasesExcludeAtMostHalfOfTheFleet(t *testing.T) {
	for workers, excluded := range map[int]int{1: 0, 2: 1, 5: 2} {
		f, listedAt := newLeaseFleet(t, workers)
		for f.now < f.leaseExpiry(listedAt)+time.Second {
			f.advance(f.now + time.Second)
			f.sync(f.now)
		}
		for _, w := range f.b.workers {
			f.b.updateLease(w, OutcomeEvent{Status: Rejected, WrittenAt: f.now})
		}
		assert.Len(t, f.b.ready, workers-excluded, "%d workers", workers)
	}
}
