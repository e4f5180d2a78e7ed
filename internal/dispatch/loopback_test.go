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

// startCore starts a core that knows the given workers and stops it when the test ends.
func startCore(t *testing.T, settings balancer.Settings, workers ...*fakes.Worker) *dispatch.Core {
	t.Helper()
	core := fakes.NewCoreWithSettings(t, settings, workers...)
	t.Cleanup(core.Stop)
	return core
}

// startHookedCore starts a core that knows one worker and has a BalancerHook. The core is stopped when the test ends.
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

// submit submits a call and requires that the core accepts it.
func submit(t *testing.T, core *dispatch.Core, submitted *call.Call) *dispatch.Handle {
	t.Helper()
	handle, err := core.Submit(submitted)
	require.NoError(t, err)
	return handle
}

// A client cancels its call while the call is queued and the event loop is late. The loop processes the call before the
// cancellation, but must not start an attempt of it, whether or not the settings allow attempts to be cancelled.
func TestCallCancelledInTheQueueDoesNotStart(t *testing.T) {
	for name, canCancel := range map[string]bool{"attempts can be cancelled": true, "attempts cannot be cancelled": false} {
		t.Run(name, func(t *testing.T) {
			w := fakes.NewWorker(t)
			settings := fakes.Settings()
			settings.CanCancel = canCancel
			settings.LoadOrders = false // the first attempt does not wait for a load
			core, hook := startHookedCore(t, settings, fakes.PoolConfig(), w, func(balancer.Event) {})

			resume := make(chan bool)
			hook.Inject(func() []balancer.Action { <-resume; return nil })
			cancelled := submit(t, core, newCall(1, "cancelled", func(call.Answer) { t.Error("a cancelled call was answered") }))
			submit(t, core, newCall(2, "waiting", func(call.Answer) {}))
			firstBody := make(chan string, 1)
			// This action is queued before Cancel, so it is executed before the loop processes the cancellation.
			hook.Inject(func() []balancer.Action { firstBody <- w.NextCall().Body; return nil })
			cancelled.Cancel()
			close(resume)

			assert.Equal(t, "waiting", fakes.Receive(t, firstBody))
			oneInFlight := func() bool { return core.InFlight() == 1 }
			require.Eventually(t, oneInFlight, time.Until(fakes.Deadline()), time.Millisecond)
		})
	}
}

// A call whose BeforeFirstAttempt fails is rejected and not sent to a worker.
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

// A call that is cancelled while its BeforeFirstAttempt runs is not sent to a worker.
func TestCallCancelledWhileBeingPersistedDoesNotStart(t *testing.T) {
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
			submitted := newCall(1, "x", func(call.Answer) { t.Error("a cancelled call was answered") })
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
			assert.True(t, outcome.Answered, "the outcome must report that the client no longer waits for an answer")
			assert.Zero(t, w.CallCount("x"))
		})
	}
}

// Once an attempt has answered a call, the call is finished, even if the settings do not allow attempts to be cancelled.
// Another attempt of the call that still waits for a connection must not start.
func TestAnsweredCallStartsNoMoreAttempts(t *testing.T) {
	w := fakes.NewWorker(t)
	settings := fakes.Settings()
	settings.CanCancel = false
	core := startCore(t, settings, w)
	answered := make(chan call.Answer, 1)
	handle := submit(t, core, newCall(1, "x", func(a call.Answer) { answered <- a }))
	w.NextCall().AnswerOK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
	assert.True(t, handle.Finished())
}

// loadOrderSender makes a core send load orders to its only worker.
type loadOrderSender struct {
	hook  *dispatch.BalancerHook
	id    balancer.WorkerID
	ended chan balancer.LoadEndedEvent
}

func newLoadOrderSender(t *testing.T, pool worker.Config, w *fakes.Worker) *loadOrderSender {
	t.Helper()
	sender := &loadOrderSender{id: fakes.Endpoints(w).Endpoints[0].ID, ended: make(chan balancer.LoadEndedEvent, 16)}
	_, sender.hook = startHookedCore(t, fakes.Settings(), pool, w, func(e balancer.Event) {
		if ended, ok := e.(balancer.LoadEndedEvent); ok {
			sender.ended <- ended
		}
	})
	return sender
}

// send sends a load order, waits for its end and returns its status.
func (s *loadOrderSender) send(startWithin time.Duration) balancer.Status {
	s.hook.Inject(func() []balancer.Action {
		return []balancer.Action{balancer.Load{Worker: s.id, Function: testFunction, Copies: 1, StartWithin: startWithin}}
	})
	return (<-s.ended).Status
}

// A connection pool without room for a load order is not the worker's fault. When it was reported to the balancer as a failed
// connection, the worker was ejected.
func TestLoadOrderAtFullPoolDoesNotCountAgainstWorker(t *testing.T) {
	pool := fakes.PoolConfig()
	pool.MaxConns = 0
	sender := newLoadOrderSender(t, pool, fakes.NewWorker(t))
	assert.Equal(t, balancer.NotSent, sender.send(0))
}

// A load order is rejected if it cannot be sent within StartWithin: the balancer's load budget assumes that later orders do not
// arrive.
func TestLoadOrderIsRejectedAfterStartWithin(t *testing.T) {
	w := fakes.NewWorker(t)
	sender := newLoadOrderSender(t, fakes.PoolConfig(), w)
	wantStatus := map[time.Duration]balancer.Status{1: balancer.Rejected, time.Minute: balancer.OK}
	for startWithin, want := range wantStatus {
		assert.Equal(t, want, sender.send(startWithin), "start within %v", startWithin)
	}
	assert.Len(t, w.LoadOrderTimes(), 1)
}

// A change of the endpoint list may leave out a worker's address. The worker's connections then stay open, with the requests in
// flight on them.
func TestChangeWithoutAddressKeepsConnections(t *testing.T) {
	w := fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	answered := make(chan call.Answer, 2)
	done := func(a call.Answer) { answered <- a }

	submit(t, core, newCall(1, "a", done))
	first := w.NextCall()
	from := first.RemoteAddr()
	first.AnswerOK("")
	require.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)

	endpoint := fakes.Endpoints(w).Endpoints[0]
	endpoint.Addr = ""
	core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{endpoint}})
	submit(t, core, newCall(2, "b", done))
	second := w.NextCall()
	assert.Equal(t, from, second.RemoteAddr())
	second.AnswerOK("")
	require.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
}

// If one update names a worker both as draining and as ready, the last entry applies, in either order.
func TestLastEntryOfAnUpdateApplies(t *testing.T) {
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
			w.NextCall().AnswerOK("")
			assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
		} else {
			assert.Equal(t, call.Rejected, fakes.Receive(t, answered).Outcome)
			assert.Zero(t, w.CallCount("x"))
		}
	}
}

// A full list that arrives in place of a change removes the workers that it does not name. Calls are then sent to the workers
// that it names, or rejected if it names none.
func TestFullListRemovesAbsentWorkers(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	answered := make(chan call.Answer, 1)
	done := func(a call.Answer) { answered <- a }

	core.UpdateEndpoints(fakes.Endpoints(other))
	submit(t, core, newCall(1, "x", done))
	other.NextCall().AnswerOK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)

	core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeFull}) // the list names no worker: calls are rejected
	submitted := newCall(2, "y", done)
	submitted.Deadline = time.Now().Add(200 * time.Millisecond)
	submit(t, core, submitted)
	assert.Equal(t, call.Rejected, fakes.Receive(t, answered).Outcome)

	core.UpdateEndpoints(fakes.Endpoints(w))
	submit(t, core, newCall(3, "z", done))
	w.NextCall().AnswerOK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
	assert.Zero(t, w.CallCount("x")+w.CallCount("y")+other.CallCount("y")+other.CallCount("z"))
}

// Guards against bodies that fill the memory although few are counted: the body of a cancelled call counts until no attempt of it is
// pending, and only then is the end of the call reported.
func TestBodyOfACancelledCallCountsUntilItsAttemptsEnd(t *testing.T) {
	w := fakes.NewWorker(t)
	settings := fakes.Settings()
	settings.CanCancel = false
	core := startCore(t, settings, w)
	ended := make(chan bool, 1)
	large := newCall(1, string(make([]byte, 1<<20)), func(call.Answer) {})
	large.Ended = func(mayHaveRun bool) { ended <- mayHaveRun }
	handle := submit(t, core, large)
	received := w.NextCall()
	handle.Cancel()
	require.Eventually(t, func() bool { return core.InFlight() == 0 }, time.Until(fakes.Deadline()), time.Millisecond)
	_, err := core.Submit(newCall(2, "small", func(call.Answer) {}))
	assert.ErrorIs(t, err, dispatch.ErrOverloaded)
	assert.Empty(t, ended)
	received.AnswerOK("done")
	assert.True(t, fakes.Receive(t, ended))
	submit(t, core, newCall(3, "small", func(call.Answer) {}))
}

// Guards against attempts for clients that have left unnoticed, behind requests that are unread: nothing is sent once the frontend
// can tell (incident of floods).
func TestNothingIsSentForAClientThatIsGone(t *testing.T) {
	w := fakes.NewWorker(t)
	core := startCore(t, fakes.Settings(), w)
	answered := make(chan call.Answer, 1)
	submitted := newCall(1, "gone", func(a call.Answer) { answered <- a })
	submitted.ClientGone = func() bool { return true }
	submitted.Deadline = time.Now().Add(500 * time.Millisecond)
	submit(t, core, submitted)
	assert.False(t, fakes.Receive(t, answered).MayHaveRun)
	assert.Zero(t, w.CallCount("gone"))
}
