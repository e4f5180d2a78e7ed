package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/permit"
)

// newLeaseFleet returns a fleet whose leases end, with the time at which it was listed.
func newLeaseFleet(t *testing.T, workers int) (f *testFleet, listedAt time.Duration) {
	t.Helper()
	s := testSettings()
	s.EndpointLeases = true
	f = newFleet(t, s, 1)
	f.advance(time.Second)
	f.listWorkers(workers)
	return f, f.now
}

// leaseEnd returns when what is known at a time of a worker ends.
func (f *testFleet) leaseEnd(synced time.Duration) time.Duration {
	return synced + permit.NewLeaseTerms(f.settings.DrainGrace).Synced
}

// sync tells that discovery knew nothing more at a time.
func (f *testFleet) sync(asOf time.Duration) { f.event(EndpointsSyncedEvent{AsOf: asOf}) }

// A worker counts as ready no longer than what was told of it: nothing is sent or ordered beyond that. A request waits for
// a sync as long as it has time, and goes on once there is one (incident 3).
func TestNothingIsSentOnceLeasesHaveEnded(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	f.advance(f.leaseEnd(listedAt) - 2*LeaseChoiceMargin)
	f.serve("safe", "before")
	f.advance(f.now + permit.MaxNotificationDelay) // past the lease by the call that was served, too
	sent, loads := len(f.sent), len(f.loads)
	id := f.request("safe", "fn", 2*time.Second)
	f.advance(f.now + 500*ms)
	assert.Len(t, f.sent, sent)
	assert.Len(t, f.loads, loads)
	assert.Empty(t, f.b.ready)
	assert.False(t, f.rejected[id], "it waits")
	f.sync(f.now - 100*ms)
	f.advance(f.now + 20*ms)
	assert.Len(t, f.b.ready, 3)
	assert.Len(t, f.loads, loads+1)
	f.endLoads(OK)
	assert.Len(t, f.open[id].sends, 1)
	f.endLatestAttempt(id, OK, 10*ms)
}

// Without a sync a request is rejected, never sent.
func TestRequestIsRejectedWhereNoLeaseIsLeft(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	f.advance(f.leaseEnd(listedAt))
	id := f.request("unsafe", "fn", 400*ms)
	f.advance(f.now + 400*ms)
	assert.True(t, f.rejected[id])
	assert.Empty(t, f.sent)
}

// The fleet serves on with the workers that serve: a call that is served renews the lease of its worker alone.
func TestServedCallsKeepTheirWorkers(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 6)
	lastServed := map[WorkerID]time.Duration{}
	for f.now < f.leaseEnd(listedAt)+10*time.Second {
		f.advance(f.now + 2*time.Second)
		begin := f.now
		lastServed[f.serve("safe", "fn")] = begin
	}
	require.NotEmpty(t, f.b.ready)
	assert.Less(t, len(f.b.ready), 6)
	for _, w := range f.b.ready {
		assert.Less(t, f.now-lastServed[w.ID], permit.MaxNotificationDelay, "%s", w.ID)
	}
	f.sync(f.now)
	assert.Len(t, f.b.ready, 6)
}

// A worker that drains takes no call: one that it has served, missed or failed at is a proof. A rejection, a reset and a call that
// was never answered prove nothing.
func TestAcceptedCallsRenewTheLease(t *testing.T) {
	for status, renews := range map[Status]bool{OK: true, Miss: true, Failed: true, Rejected: false, Reset: false, TimedOut: false,
		ConnectFailed: false, NotSent: false} {
		f, listedAt := newLeaseFleet(t, 3)
		w := f.b.workers["w00"]
		f.advance(listedAt + 5*time.Second)
		f.b.recordLease(w, OutcomeEvent{Status: status, WrittenAt: f.now, ConnectedSince: listedAt})
		f.advance(f.leaseEnd(listedAt) + time.Second)
		assert.Equal(t, renews, f.b.available(w), "%v", status)
	}
}

// A sync does not renew the lease of a worker that rejects, until it serves or the list names it: discovery may
// have nothing new since it is cut off itself.
func TestRejectionsContestTheSync(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 2)
	w := f.serve("safe", "fn")
	id := f.request("safe", "fn", 2*time.Second)
	require.Equal(t, w, f.firstWorker(id))
	f.endAttempt(id, 0, Rejected)
	for f.now < f.leaseEnd(listedAt)+time.Second {
		f.advance(f.now + time.Second)
		f.sync(f.now)
	}
	require.Len(t, f.b.ready, 1)
	assert.NotEqual(t, w, f.b.ready[0].ID)
	f.update(ScopeDelta, Worker{ID: w, Weight: 1, Zone: "z0"})
	assert.Len(t, f.b.ready, 2, "the list names it")
}

// Guards against calls to workers that drained before the start: the list of the start may be old, and a worker that rejects is
// left alone until the list names it.
func TestRejectionEndsALeaseByTheListOfTheStart(t *testing.T) {
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

// The operators are told which leases end, and how many are left.
func TestChangesOfLeasesAreTold(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 2)
	f.advance(f.leaseEnd(listedAt) - LeaseChoiceMargin)
	var told []LeasesChanged
	f.now = f.leaseEnd(listedAt) + 1
	for _, e := range []Event{TimerEvent{TimerID: f.b.timer.id}, EndpointsSyncedEvent{AsOf: f.now - 2}} {
		for _, a := range f.b.Handle(f.now, e) {
			if change, ok := a.(LeasesChanged); ok {
				told = append(told, change)
			}
		}
	}
	ids := []WorkerID{"w00", "w01"}
	assert.Equal(t, []LeasesChanged{{Workers: ids, Ended: 2, SyncAge: f.now - listedAt}, {Workers: ids, Renewed: 2, Live: 2, SyncAge: 2}}, told)
}

// Where the settings do not have leases end, as in the simulator, what the list says stays.
func TestWithoutLeasesTheListStays(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	f.advance(time.Minute)
	f.serve("safe", "fn")
	assert.Len(t, f.b.ready, 2)
}

// While discovery is silent, calls of a function go first to the worker of its group whose lease ends next: only calls that are
// served renew it.
func TestCallsRenewTheLeaseThatEndsNext(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	for range 12 { // hot: its group is the whole fleet
		f.serve("safe", "fn")
	}
	f.advance(f.leaseEnd(listedAt) - 2*time.Second)
	for range 30 {
		f.advance(f.now + 300*ms)
		f.serve("safe", "fn")
	}
	assert.Len(t, f.b.ready, 3, "none has ended, long after the first ones would have")
}

// Guards against calls to workers that drained unheard while polls were answered with nothing new: calls of a function go to
// workers of its group that have proven to be ready, as many as they can keep so, before those of which only the list tells.
func TestCallsGoToProvenWorkersFirst(t *testing.T) {
	f, _ := newLeaseFleet(t, 6)
	for range 12 { // hot: its group is most of the fleet
		f.serve("safe", "fn")
	}
	for range 10 { // syncs go on, and a call comes every two seconds
		f.advance(f.now + 2*time.Second)
		f.sync(f.now)
		f.serve("safe", "fn")
	}
	proven := map[WorkerID]bool{}
	for _, w := range f.b.ready {
		proven[w.ID] = f.b.evidenceLeft(w) > 0
	}
	for range 10 {
		f.advance(f.now + 2*time.Second)
		f.sync(f.now)
		assert.True(t, proven[f.serve("safe", "fn")])
	}
	assert.Len(t, f.b.ready, 6)
}

// The same for a rare function: a worker that has a copy and was heard of goes before its home, of which only the list tells. The
// home is the first again once it was heard of.
func TestCallsGoToProvenWorkersBeforeAnUnprovenHome(t *testing.T) {
	f, _ := newLeaseFleet(t, 8)
	home := f.serve("safe", "fn")
	f.advance(f.now + 8*time.Second)
	f.sync(f.now)
	fn := f.b.functions["fn"]
	other := f.b.workerAt(fn, 3)
	require.NotEqual(t, home, other.ID)
	fn.placement(other).setLoaded(1, f.now+time.Minute)
	fn.placement(f.b.workers[home]).setLoaded(1, f.now+time.Minute)
	assert.Equal(t, home, f.serve("safe", "fn"), "nobody was heard of")
	fn.placement(f.b.workers[home]).setLoaded(1, f.now+time.Minute)
	f.advance(f.now + 8*time.Second)
	f.sync(f.now)
	other.lease.Accepted(f.now, 0, f.now)
	assert.Equal(t, other.ID, f.serve("safe", "fn"))
	f.b.workers[home].lease.Accepted(f.now, 0, f.now)
	assert.Equal(t, home, f.serve("safe", "fn"))
}

// Load orders need a lease as calls do, also in the moment before the next sweep finds that it has ended.
func TestNothingIsOrderedWithoutALease(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 1)
	f.serve("safe", "fn")
	fn := f.b.functions["fn"]
	f.b.now = f.leaseEnd(listedAt) + permit.MaxNotificationDelay
	assert.False(t, f.b.orderLoad(fn, fn.placement(f.b.workers["w00"]), 2, 8))
	f.b.leases.syncedAt = f.b.now
	assert.True(t, f.b.orderLoad(fn, fn.placement(f.b.workers["w00"]), 2, 8))
}

// A request does not wait for a load at a worker whose lease has ended meanwhile.
func TestRequestLeavesALoadWithoutALease(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 3)
	f.advance(f.leaseEnd(listedAt) - 200*ms)
	id := f.request("safe", "slow", 3*time.Second)
	r := f.b.requests[id]
	require.NotNil(t, r.waitingFor)
	orderedAt := r.waitingFor.worker
	for _, w := range f.b.ready {
		if w != orderedAt {
			w.lease.Accepted(f.now, 0, f.b.leases.syncedAt)
		}
	}
	f.advance(f.now + 250*ms)
	require.NotNil(t, r.waitingFor, "at another worker")
	assert.NotEqual(t, orderedAt, r.waitingFor.worker)
}

// The lease of a worker that was reached anew is live again by itself once its return counts as told.
func TestLeaseOfAWorkerReachedAnewResumes(t *testing.T) {
	f, listedAt := newLeaseFleet(t, 1)
	f.advance(listedAt + 3*time.Second)
	w := f.b.workers["w00"]
	connected := f.now
	f.advance(f.now + 3*time.Second)
	f.b.recordLease(w, OutcomeEvent{Status: OK, WrittenAt: f.now, ConnectedSince: connected})
	f.advance(f.leaseEnd(listedAt) + 300*ms)
	assert.Empty(t, f.b.ready)
	f.advance(connected + permit.MaxNotificationDelay + time.Second)
	assert.Len(t, f.b.ready, 1)
}

// A fleet whose workers reject is full rather than draining: with discovery well, contests never take more than half of it.
func TestContestsLeaveHalfOfTheFleet(t *testing.T) {
	for workers, most := range map[int]int{1: 0, 2: 1, 5: 2} {
		f, listedAt := newLeaseFleet(t, workers)
		for f.now < f.leaseEnd(listedAt)+time.Second {
			f.advance(f.now + time.Second)
			f.sync(f.now)
		}
		for _, w := range f.b.workers {
			f.b.recordLease(w, OutcomeEvent{Status: Rejected, WrittenAt: f.now})
		}
		assert.Len(t, f.b.ready, workers-most, "%d workers", workers)
	}
}
