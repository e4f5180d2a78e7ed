package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/dispatch"
	"kitefall/internal/fakes"
	"kitefall/internal/worker"
)

const testFunction = "7f3a9c21e0b4d655"

func newCall(id uint64, body string, done func(call.Answer)) *call.Call {
	return &call.Call{ID: id, Class: "reserva", Function: testFunction, Body: []byte(body),
		Deadline: time.Now().Add(4 * time.Second), Done: done}
}

// startCore starts a core that knows the workers, and stops it when the test ends.
func startCore(t *testing.T, settings balancer.Settings, workers ...*fakes.Worker) *dispatch.Core {
	t.Helper()
	core := fakes.NewCoreWithSettings(t, settings, workers...)
	t.Cleanup(core.Stop)
	return core
}

// startHookedCore starts a core that knows one worker, with a hook before its balancer.
func startHookedCore(t *testing.T, settings balancer.Settings, pool worker.Config, w *fakes.Worker,
	observe func(balancer.Event)) (*dispatch.Core, *dispatch.BalancerHook) {
	t.Helper()
	core, err := dispatch.New(dispatch.Config{Settings: settings, Seed: 1, Pool: pool, MaxInFlight: 100, MaxBodyBytes: 1 << 20})
	require.NoError(t, err)
	hook := dispatch.HookBalancer(core, observe)
	go core.Run()
	t.Cleanup(core.Stop)
	core.UpdateEndpoints(fakes.Endpoints(w))
	return core, hook
}

// submit hands in a call, which must be accepted.
func submit(t *testing.T, core *dispatch.Core, submitted *call.Call) *dispatch.Handle {
	t.Helper()
	handle, err := core.Submit(submitted)
	require.NoError(t, err)
	return handle
}

// The client cancels while its call is queued, and the event loop is late: no attempt of the call starts, though the loop
// learns of the call before it learns of its end. Whether the settings allow to cancel attempts makes no difference.
func TestCallCancelledInTheQueueDoesNotStart(t *testing.T) {
	for name, canCancel := range map[string]bool{"attempts can be cancelled": true, "attempts cannot be cancelled": false} {
		t.Run(name, func(t *testing.T) {
			w := fakes.NewWorker(t)
			settings := fakes.Settings()
			settings.CanCancel = canCancel
			settings.LoadOrders = false // no wait for a load before the first attempt
			core, hook := startHookedCore(t, settings, fakes.PoolConfig(), w, func(balancer.Event) {})

			resume := make(chan bool)
			hook.Inject(func() []balancer.Action { <-resume; return nil })
			cancelled := submit(t, core, newCall(1, "cancelled", func(call.Answer) { t.Error("answered, though its client had cancelled") }))
			submit(t, core, newCall(2, "waiting", func(call.Answer) {}))
			firstBody := make(chan string, 1)
			// Before the loop learns that the first call is cancelled.
			hook.Inject(func() []balancer.Action { firstBody <- w.Next().Body; return nil })
			cancelled.Cancel()
			close(resume)

			assert.Equal(t, "waiting", fakes.Receive(t, firstBody))
			oneInFlight := func() bool { return core.InFlight() == 1 }
			require.Eventually(t, oneInFlight, time.Until(fakes.Deadline()), time.Millisecond)
		})
	}
}

// A call whose BeforeFirstAttempt fails is rejected and does not reach a worker.
func TestCallThatCannotBePersistedIsRejected(t *testing.T) {
	w := fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	answered := make(chan call.Answer, 1)
	submitted := newCall(1, "x", func(a call.Answer) { answered <- a })
	submitted.BeforeFirstAttempt = func() error { return errors.New("disk full") }
	submit(t, core, submitted)
	assert.Equal(t, call.Answer{Outcome: call.Rejected}, fakes.Receive(t, answered))
	assert.Zero(t, core.InFlight())
	assert.Zero(t, w.CallCount("x"))
}

// A call that is cancelled while its BeforeFirstAttempt runs does not reach a worker.
func TestCallCancelledWhileItIsPersistedDoesNotStart(t *testing.T) {
	for name, canCancel := range map[string]bool{"attempts can be cancelled": true, "attempts cannot be cancelled": false} {
		t.Run(name, func(t *testing.T) {
			w := fakes.NewWorker(t)
			settings := fakes.Settings()
			settings.CanCancel = canCancel
			settings.LoadOrders = false
			outcomes := make(chan balancer.OutcomeEvent, 1)
			core, _ := startHookedCore(t, settings, fakes.PoolConfig(), w, func(e balancer.Event) {
				if outcome, ok := e.(balancer.OutcomeEvent); ok {
					outcomes <- outcome
				}
			})
			persisting, persisted := make(chan bool), make(chan bool)
			submitted := newCall(1, "x", func(call.Answer) { t.Error("answered, though its client had cancelled") })
			submitted.BeforeFirstAttempt = func() error {
				close(persisting)
				<-persisted
				return nil
			}
			handle := submit(t, core, submitted)
			<-persisting
			handle.Cancel()
			close(persisted)
			outcome := fakes.Receive(t, outcomes)
			assert.Equal(t, balancer.NotSent, outcome.Status)
			assert.True(t, outcome.Answered, "nobody waits for it any more")
			assert.Zero(t, w.CallCount("x"))
		})
	}
}

// A call that another attempt has answered is finished also where the settings do not allow to cancel attempts: one that
// still waits for a connection must not start.
func TestAnsweredCallStartsNoMoreAttempts(t *testing.T) {
	w := fakes.NewWorker(t)
	settings := fakes.Settings()
	settings.CanCancel = false
	core := startCore(t, settings, w)
	answered := make(chan call.Answer, 1)
	handle := submit(t, core, newCall(1, "x", func(a call.Answer) { answered <- a }))
	w.Next().OK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
	assert.True(t, handle.Finished())
}

// loadOrderer has a core send load orders to its one worker.
type loadOrderer struct {
	hook  *dispatch.BalancerHook
	id    balancer.WorkerID
	ended chan balancer.LoadEndedEvent
}

func newLoadOrderer(t *testing.T, pool worker.Config, w *fakes.Worker) *loadOrderer {
	t.Helper()
	orderer := &loadOrderer{id: fakes.Endpoints(w).Endpoints[0].ID, ended: make(chan balancer.LoadEndedEvent, 16)}
	_, orderer.hook = startHookedCore(t, fakes.Settings(), pool, w, func(e balancer.Event) {
		if ended, ok := e.(balancer.LoadEndedEvent); ok {
			orderer.ended <- ended
		}
	})
	return orderer
}

// order sends a load order and returns the status with which it ends.
func (o *loadOrderer) order(startWithin time.Duration) balancer.Status {
	o.hook.Inject(func() []balancer.Action {
		return []balancer.Action{balancer.Load{Worker: o.id, Function: testFunction, Copies: 1, StartWithin: startWithin}}
	})
	return (<-o.ended).Status
}

// That a pool has no room for a load order does not come from the worker. Reported as a failed connection, it got the
// worker ejected.
func TestLoadOrderWithoutRoomDoesNotCountAgainstWorker(t *testing.T) {
	pool := fakes.PoolConfig()
	pool.MaxConns = 0
	orderer := newLoadOrderer(t, pool, fakes.NewWorker(t))
	assert.Equal(t, balancer.NotSent, orderer.order(0))
}

// A load order starts within the time that the balancer's load budget counts with, or not at all.
func TestLoadOrderStartsWithinItsTimeOrNotAtAll(t *testing.T) {
	w := fakes.NewWorker(t)
	orderer := newLoadOrderer(t, fakes.PoolConfig(), w)
	wantStatus := map[time.Duration]balancer.Status{1: balancer.Rejected, time.Minute: balancer.OK}
	for startWithin, want := range wantStatus {
		assert.Equal(t, want, orderer.order(startWithin), "start within %v", startWithin)
	}
	assert.Len(t, w.LoadOrderTimes(), 1)
}

// A change of the endpoint list may leave out a worker's address: its connections stay, and with them what is in flight.
func TestChangeWithoutAddressKeepsConnections(t *testing.T) {
	w := fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	answered := make(chan call.Answer, 2)
	done := func(a call.Answer) { answered <- a }

	submit(t, core, newCall(1, "a", done))
	first := w.Next()
	from := first.From()
	first.OK("")
	require.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)

	endpoint := fakes.Endpoints(w).Endpoints[0]
	endpoint.Addr = ""
	core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{endpoint}})
	submit(t, core, newCall(2, "b", done))
	second := w.Next()
	assert.Equal(t, from, second.From())
	second.OK("")
	require.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
}

// Where one update names a worker as draining and as ready, the last entry counts, in either order.
func TestLastEntryOfAnUpdateCounts(t *testing.T) {
	w := fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	ready := fakes.Endpoints(w).Endpoints[0]
	draining := ready
	draining.State = balancer.Draining
	answered := make(chan call.Answer, 1)
	for i, endpoints := range [][]discovery.Endpoint{{ready, draining}, {draining, ready}} {
		core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: endpoints})
		submitted := newCall(uint64(i+1), "x", func(a call.Answer) { answered <- a })
		submitted.Deadline = time.Now().Add(200 * time.Millisecond)
		submit(t, core, submitted)
		if endpoints[1].State == balancer.Ready {
			w.Next().OK("")
			assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
		} else {
			assert.Equal(t, call.Rejected, fakes.Receive(t, answered).Outcome)
			assert.Zero(t, w.CallCount("x"))
		}
	}
}

// A full list where a change was expected removes the workers that it does not name, also while a call waits for its
// connection there.
func TestFullListRemovesAbsentWorkers(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	answered := make(chan call.Answer, 1)
	done := func(a call.Answer) { answered <- a }

	core.UpdateEndpoints(fakes.Endpoints(other))
	submit(t, core, newCall(1, "x", done))
	other.Next().OK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)

	core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeFull}) // names no worker: calls are rejected
	submitted := newCall(2, "y", done)
	submitted.Deadline = time.Now().Add(200 * time.Millisecond)
	submit(t, core, submitted)
	assert.Equal(t, call.Rejected, fakes.Receive(t, answered).Outcome)

	core.UpdateEndpoints(fakes.Endpoints(w))
	submit(t, core, newCall(3, "z", done))
	w.Next().OK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
	assert.Zero(t, w.CallCount("x")+w.CallCount("y")+other.CallCount("y")+other.CallCount("z"))
}
