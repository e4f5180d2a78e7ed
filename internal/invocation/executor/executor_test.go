package executor

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/call"
	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
)

// codeRejected is the code with which a full worker rejects a call.
const codeRejected = 67

// A deferred invocation whose first runs are rejected must be retried until it is served. Its history must begin with
// EventCreated and end with EventServed.
func TestRejectedRunIsRetried(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	var received atomic.Int64
	worker.Serve(func(c *fakes.Call) {
		if received.Add(1) <= 3 {
			c.Answer(codeRejected, "", "")
			return
		}
		c.AnswerOK("booked")
	})
	view := h.wait(h.submit(h.newRequest(reserva, "slot")))
	assert.Equal(t, invocation.OutcomeServed, view.Outcome)
	assert.Equal(t, "booked", string(view.Result))
	assert.Greater(t, view.Runs, 1)
	assert.Equal(t, invocation.EventCreated, view.History[0].Event)
	assert.Equal(t, invocation.EventServed, view.History[len(view.History)-1].Event)
}

// An invocation is cancelled while it waits, while it runs and after it was cancelled. Its outcome must be
// OutcomeCancelled each time, and a run that was written to a worker must be cancelled there. Another tenant must not find
// the invocation in any state.
func TestCancelInEveryState(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))

	delayed := h.newRequest(reserva, "later")
	delayed.NotBefore = h.executor.clock.Now().Add(30 * time.Second)
	waiting := h.submit(delayed)
	assertHiddenFromOtherTenants(h, waiting)
	view := cancelAsOwner(h, waiting)
	assert.Equal(t, invocation.OutcomeCancelled, view.Outcome)
	assert.False(t, view.MayHaveRun)

	running := h.submit(h.newRequest(reserva, "running"))
	received := worker.NextCall()
	assertHiddenFromOtherTenants(h, running)
	view = cancelAsOwner(h, running)
	assert.Equal(t, invocation.OutcomeCancelled, view.Outcome)
	assert.True(t, view.MayHaveRun)
	assert.Equal(t, received.ID, <-worker.Cancelled)

	received.AnswerOK("too late")
	assert.Equal(t, invocation.OutcomeCancelled, h.wait(running).Outcome)
	assertHiddenFromOtherTenants(h, running)
	view = cancelAsOwner(h, running)
	assert.Equal(t, invocation.OutcomeCancelled, view.Outcome, "a repeated cancellation must not change the outcome")
}

// Invocations are cancelled at various moments between their acceptance and their completion, also while their start is
// being stored. Each must have one outcome, and the scheduler and the dispatcher must hold no run at the end: a cancelled
// run that kept its place in the scheduler would lower the concurrency for good.
func TestCancelAtEveryMoment(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	worker.Serve(func(c *fakes.Call) { c.AnswerOK("x") })
	go func() { // keeps the worker from blocking on its channel of cancellations
		for range worker.Cancelled {
		}
	}()
	var cancelling sync.WaitGroup
	for i := range 300 {
		cancelling.Go(func() {
			view, err := h.executor.Submit(h.newRequest(reserva, fmt.Sprintf("race %d", i)))
			assert.NoError(t, err)
			for range i % 40 {
				h.executor.Wait(cancelledContext, "a", view.ID) // delays the cancellation by a varying time
			}
			cancelled, err := h.executor.Cancel("a", view.ID)
			assert.NoError(t, err)
			outcome := h.wait(view.ID).Outcome
			assert.Equal(t, cancelled.Outcome, outcome)
			expected := []invocation.Outcome{invocation.OutcomeCancelled, invocation.OutcomeServed}
			assert.Contains(t, expected, outcome)
		})
	}
	cancelling.Wait()
	idle := func() bool { return h.scheduledCount() == 0 && h.core.InFlight() == 0 }
	require.Eventually(t, idle, 10*time.Second, time.Millisecond)
}

// assertHiddenFromOtherTenants checks that another tenant can neither look up nor cancel the invocation.
func assertHiddenFromOtherTenants(h *harness, id string) {
	h.t.Helper()
	_, err := h.executor.Wait(cancelledContext, "b", id)
	assert.ErrorIs(h.t, err, invocation.ErrNotFound)
	_, err = h.executor.Cancel("b", id)
	assert.ErrorIs(h.t, err, invocation.ErrNotFound)
}

// cancelAsOwner cancels an invocation as the tenant that owns it.
func cancelAsOwner(h *harness, id string) View {
	h.t.Helper()
	view, err := h.executor.Cancel("a", id)
	require.NoError(h.t, err)
	return view
}

// The disk is full for a time. Meanwhile, requests that have to be stored must be refused, requests that need no storage
// must be served, and an outcome that could not be stored must not be returned. Once the disk has space again, the
// outcome of the earlier run must be returned. That run must have reached the worker once, and the refused requests never.
func TestFullDisk(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	id := h.submit(h.newRequest(reserva, "before"))
	received := worker.NextCall()
	h.disk.full.Store(true)
	_, err := h.executor.Submit(h.newRequest(reserva, "full"))
	assert.ErrorIs(t, err, invocation.ErrStorage)
	withKey := h.newRequest(reserva, "full too")
	withKey.IdempotencyKey = "k"
	_, err = h.executor.Invoke(context.Background(), withKey)
	assert.ErrorIs(t, err, invocation.ErrStorage)

	ephemeral := make(chan View, 1)
	go func() {
		view, err := h.executor.Invoke(context.Background(), h.newRequest(consulta, "needs no disk"))
		assert.NoError(t, err)
		ephemeral <- view
	}()
	worker.NextCall().AnswerOK("free")
	assert.Equal(t, "free", string((<-ephemeral).Result))

	received.AnswerOK("booked")
	assert.Equal(t, invocation.StateRunning, h.current(id).State, "an outcome that is not stored must not be returned")
	h.disk.full.Store(false)
	assert.Equal(t, "booked", string(h.wait(id).Result))
	assert.Equal(t, 1, worker.CallCount("before"))
	assert.Equal(t, 0, worker.CallCount("full"))
	assert.Equal(t, 0, worker.CallCount("full too"))
}

// A view of a served foreground invocation must contain its result, whether the invocation is in memory or stored.
func TestOutcomeIsVisibleWithResult(t *testing.T) {
	tests := map[string]struct {
		class  string
		stored bool
	}{
		"in memory":              {class: consulta, stored: false},
		"stored since its start": {class: reserva, stored: true},
	}
	h := newHarness(t, fakes.NewCore(t, fakes.NewWorker(t)))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := h.newRequest(test.class, "x")
			fg := newForeground(invocation.New(test.class, request, h.executor.clock.Now()), nil)
			if !request.Idempotent {
				require.NoError(t, h.executor.persistForegroundStart(fg))
			}
			input := inputFor(call.Answer{Outcome: call.Served})
			require.NoError(t, h.executor.stepForeground(fg, input, []byte("done")))
			view := fg.view()
			assert.Equal(t, invocation.OutcomeServed, view.Outcome)
			assert.Equal(t, "done", string(view.Result))
			assert.Equal(t, test.stored, view.Durable)
		})
	}
}

// Foreground and deferred requests with the same Idempotency-Key arrive at the same time. They must cause one run and get
// the same result. A different request with a used key must fail with ErrKeyReused.
func TestConcurrentRequestsUnderOneKey(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	worker.Serve(func(c *fakes.Call) { c.AnswerOK("booked") })
	for i := range 40 {
		var requests sync.WaitGroup
		body := fmt.Sprintf("slot %d", i)
		for n := range 6 {
			requests.Go(func() {
				request := h.newRequest(reserva, body)
				request.IdempotencyKey = body
				view, err := invokeOrSubmit(h, request, n%2 == 0)
				if assert.NoError(t, err) && view.State != invocation.StateCompleted {
					view = h.wait(view.ID)
				}
				assert.Equal(t, "booked", string(view.Result))
			})
		}
		requests.Wait()
		require.Equal(t, 1, worker.CallCount(body))
	}
	other := invocation.Request{Tenant: "a", IdempotencyKey: "slot 1", Function: "f", Fingerprint: []byte("other")}
	_, err := h.executor.Submit(other)
	assert.ErrorIs(t, err, invocation.ErrKeyReused)
}

// invokeOrSubmit makes a foreground request if invoke is set, and a deferred one otherwise.
func invokeOrSubmit(h *harness, request invocation.Request, invoke bool) (View, error) {
	if invoke {
		return h.executor.Invoke(context.Background(), request)
	}
	return h.executor.Submit(request)
}

// The program restarts with invocations in different states. A running reserva must fail as a dead letter, since it may
// have run; a running consulta must run again; a waiting invocation must run; one whose deadline has passed must expire;
// one whose function is no longer in the catalog must fail. The dead letter can then be redriven.
func TestRestart(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	runningReserva := h.submit(h.newRequest(reserva, "r"))
	runningConsulta := h.submit(h.newRequest(consulta, "c"))
	worker.NextCall()
	worker.NextCall()
	delayed := h.newRequest(reserva, "later")
	delayed.NotBefore = h.executor.clock.Now().Add(200 * time.Millisecond)
	waiting := h.submit(delayed)
	expiring := delayed
	expiring.NotBefore = h.executor.clock.Now().Add(time.Millisecond)
	expiring.Expires = h.executor.clock.Now().Add(2 * time.Millisecond)
	expiring.RunTimeout = time.Millisecond
	expired := h.submit(expiring)
	forRemovedFunction := delayed
	forRemovedFunction.Function = "g"
	withdrawn := h.submit(forRemovedFunction)
	h.catalog.removed["g"] = true

	h.restart(fakes.NewCore(t, worker))
	view := h.wait(runningReserva)
	assert.Equal(t, invocation.OutcomeFailed, view.Outcome)
	assert.True(t, view.MayHaveRun)
	assert.True(t, view.DeadLetter)
	received := worker.NextCall()
	assert.Equal(t, "c", received.Body)
	received.AnswerOK("free")
	assert.Equal(t, invocation.OutcomeServed, h.wait(runningConsulta).Outcome)
	worker.NextCall().AnswerOK("booked")
	assert.Equal(t, invocation.OutcomeServed, h.wait(waiting).Outcome)
	assert.Equal(t, invocation.OutcomeDeadlineExceeded, h.wait(expired).Outcome)
	assert.Equal(t, invocation.OutcomeFailed, h.wait(withdrawn).Outcome)

	successor, err := h.executor.Redrive(runningReserva, true, "looked it up: no such booking")
	require.NoError(t, err)
	worker.NextCall().AnswerOK("booked now")
	assert.Equal(t, "booked now", string(h.wait(successor.ID).Result))
	assert.Equal(t, invocation.OutcomeFailed, h.wait(runningReserva).Outcome, "a redrive must not change the dead letter's outcome")
}

// The machine's wall clock is set back by an hour between two starts, then forward, then back again. A clock that was set
// back must neither delay nor expire an invocation. A clock that was set forward must expire the invocations whose
// deadline it has passed, and no others.
func TestClockChangesBetweenStarts(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	dueSoon := h.newRequest(reserva, "soon")
	dueSoon.NotBefore = h.executor.clock.Now().Add(300 * time.Millisecond)
	dueInHalfMinute := h.newRequest(reserva, "minute")
	dueInHalfMinute.NotBefore = h.executor.clock.Now().Add(30 * time.Second)
	dueInHours := h.newRequest(reserva, "day")
	dueInHours.NotBefore = h.executor.clock.Now().Add(2 * time.Hour)
	dueInHours.Expires = h.executor.clock.Now().Add(24 * time.Hour)
	soonID := h.submit(dueSoon)
	halfMinuteID := h.submit(dueInHalfMinute)
	hoursID := h.submit(dueInHours)

	h.clockOffset = -time.Hour
	h.restart(fakes.NewCore(t, worker))
	worker.NextCall().AnswerOK("booked")
	assert.Equal(t, invocation.OutcomeServed, h.wait(soonID).Outcome, "a clock set back must not delay the run")
	h.clockOffset = time.Hour
	h.restart(fakes.NewCore(t, worker))
	assert.Equal(t, invocation.OutcomeDeadlineExceeded, h.wait(halfMinuteID).Outcome)
	h.clockOffset = -time.Hour
	h.restart(fakes.NewCore(t, worker))
	assert.Equal(t, invocation.StateWaiting, h.current(hoursID).State)
	assert.Equal(t, invocation.OutcomeServed, h.wait(soonID).Outcome, "a restart must not change an outcome")
}
