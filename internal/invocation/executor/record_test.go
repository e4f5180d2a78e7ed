package executor

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
)

// invokeInBackground makes a foreground request. The returned channel gets its view, or a view without an invocation if the
// request fails.
func (h *harness) invokeInBackground(request invocation.Request) <-chan View {
	outcome := make(chan View, 1)
	go func() {
		view, _ := h.executor.Invoke(context.Background(), request)
		outcome <- view
	}()
	return outcome
}

// newKeyedRequest returns a request of tenant a with its body as Idempotency-Key.
func (h *harness) newKeyedRequest(class, body string) invocation.Request {
	request := h.newRequest(class, body)
	request.IdempotencyKey = body
	return request
}

// awaitReserved waits until a foreground request has reserved its key.
func (h *harness) awaitReserved() {
	h.t.Helper()
	reserved := func() bool {
		h.executor.foreground.mu.Lock()
		defer h.executor.foreground.mu.Unlock()
		return len(h.executor.foreground.byID) > 0
	}
	require.Eventually(h.t, reserved, 10*time.Second, time.Millisecond)
}

// A deferred repeat of a foreground request is accepted, and the program restarts before the outcome. An invocation whose
// acceptance was reported must still be known and get its outcome, and a reserva must run once (review case 3).
func TestAcceptedRepeatOfForegroundRequestOutlivesRestart(t *testing.T) {
	for name, test := range map[string]struct {
		class string
		sent  bool // a worker has received the call before the repeat
		want  invocation.Outcome
	}{
		"consulta, sent":     {consulta, true, invocation.OutcomeServed},
		"consulta, not sent": {consulta, false, invocation.OutcomeServed},
		"reserva, not sent":  {reserva, false, invocation.OutcomeServed},
		"reserva, sent":      {reserva, true, invocation.OutcomeFailed}, // it may have run
	} {
		t.Run(name, func(t *testing.T) {
			worker := fakes.NewWorker(t)
			var reachable []*fakes.Worker
			if test.sent {
				reachable = append(reachable, worker)
			}
			h := newHarness(t, fakes.NewCore(t, reachable...))
			h.invokeInBackground(h.newKeyedRequest(test.class, "slot"))
			h.awaitReserved()
			if test.sent {
				worker.NextCall()
			}
			accepted, err := h.executor.Submit(h.newKeyedRequest(test.class, "slot"))
			require.NoError(t, err)
			require.True(t, accepted.Durable)

			h.restart(fakes.NewCore(t, worker))
			if test.want == invocation.OutcomeServed {
				worker.NextCall().AnswerOK("done")
			}
			view := h.wait(accepted.ID)
			assert.Equal(t, test.want, view.Outcome, "%v", view.History)
			if test.class == reserva {
				assert.Equal(t, 1, worker.CallCount("slot"))
			}
		})
	}
}

// A deferred repeat of a foreground request that cannot be stored must be refused. The foreground request goes on.
func TestRepeatThatCannotBeStoredIsRefused(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	outcome := h.invokeInBackground(h.newKeyedRequest(consulta, "slots"))
	received := worker.NextCall()
	h.disk.full.Store(true)
	_, err := h.executor.Submit(h.newKeyedRequest(consulta, "slots"))
	require.ErrorIs(t, err, invocation.ErrStorage)
	h.disk.full.Store(false)
	received.AnswerOK("free")
	assert.Equal(t, "free", string((<-outcome).Result))
}

// A foreground invocation that a deferred repeat has caused to be stored can be cancelled by its ID, before and after a worker
// has received it.
func TestRecordedForegroundInvocationCanBeCancelled(t *testing.T) {
	for _, class := range []string{reserva, consulta} {
		worker := fakes.NewWorker(t)
		h := newHarness(t, fakes.NewCore(t, worker))
		outcome := h.invokeInBackground(h.newKeyedRequest(class, "slot"))
		worker.NextCall()
		accepted, err := h.executor.Submit(h.newKeyedRequest(class, "slot"))
		require.NoError(t, err)
		assert.Equal(t, invocation.OutcomeCancelled, cancelAsOwner(h, accepted.ID).Outcome)
		assert.Equal(t, invocation.OutcomeCancelled, (<-outcome).Outcome)
		assert.True(t, h.wait(accepted.ID).MayHaveRun)
	}
}

// newHarnessWithQuota returns a harness in which a tenant may have one stored invocation.
func newHarnessWithQuota(t *testing.T, workers ...*fakes.Worker) *harness {
	t.Helper()
	h := newHarness(t, fakes.NewCore(t))
	h.quota = 1
	h.restart(fakes.NewCore(t, workers...))
	return h
}

// fillQuota stores an invocation that does not run during the test.
func (h *harness) fillQuota() {
	h.t.Helper()
	waiting := h.newRequest(consulta, "fills the quota")
	waiting.NotBefore = h.executor.clock.Now().Add(30 * time.Second)
	h.submit(waiting)
}

// Over the quota, requests that have to be stored must be refused before a worker runs them, and requests that need no storage are
// served. A refused request must not be reported as accepted: no client could look it up (review case 3).
func TestForegroundRequestOverQuotaIsRefusedBeforeItRuns(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarnessWithQuota(t, worker)
	h.fillQuota()
	for name, request := range map[string]invocation.Request{
		"consulta with a key":   h.newKeyedRequest(consulta, "free slots"),
		"reserva with a key":    h.newKeyedRequest(reserva, "slot"),
		"reserva without a key": h.newRequest(reserva, "other slot"),
	} {
		for range 2 { // the key of a refused request is free
			_, err := h.executor.Invoke(context.Background(), request)
			assert.ErrorIs(t, err, invocation.ErrQuotaExceeded, name)
		}
		assert.Zero(t, worker.CallCount(string(request.Body)), name)
	}
	outcome := h.invokeInBackground(h.newRequest(consulta, "ephemeral"))
	worker.NextCall().AnswerOK("free")
	assert.Equal(t, "free", string((<-outcome).Result))
}

// The quota is reached while a foreground request runs, so that its outcome cannot be stored. The client that waits must get the
// outcome all the same: the result of a served request, and the error of one that did not run.
func TestOutcomeThatExceedsQuotaIsReturned(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarnessWithQuota(t, worker)
	outcome := h.invokeInBackground(h.newKeyedRequest(consulta, "slots"))
	received := worker.NextCall()
	h.fillQuota()
	received.AnswerOK("free")
	view := <-outcome
	require.NotNil(t, view.Invocation)
	assert.Equal(t, invocation.OutcomeServed, view.Outcome)
	assert.Equal(t, "free", string(view.Result))
	assert.False(t, view.Durable)
}

// The quota is reached after a foreground reserva was accepted and before it is sent: it must not be sent, and its client must get
// the error.
func TestReservaThatCannotBeStoredBeforeItIsSentFails(t *testing.T) {
	h := newHarnessWithQuota(t)
	worker := fakes.NewWorker(t)
	failed := make(chan error, 1)
	go func() {
		_, err := h.executor.Invoke(context.Background(), h.newKeyedRequest(reserva, "slot"))
		failed <- err
	}()
	h.awaitReserved()
	h.fillQuota()
	h.core.UpdateEndpoints(fakes.Endpoints(worker))
	assert.ErrorIs(t, fakes.Receive(t, failed), invocation.ErrQuotaExceeded)
	assert.Zero(t, worker.CallCount("slot"))
}

// A foreground request has not completed when its client is answered, for example because its outcome waits for the disk. Its
// invocation must be stored then, since the client is told where to look it up.
func TestForegroundInvocationIsStoredAtTheDeadlineOfItsClient(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	view, err := h.executor.Invoke(ctx, h.newKeyedRequest(consulta, "slots"))
	require.NoError(t, err)
	assert.NotEqual(t, invocation.StateCompleted, view.State)
	require.True(t, view.Durable)
	h.restart(fakes.NewCore(t, worker))
	worker.NextCall() // of the first run
	worker.NextCall().AnswerOK("free")
	assert.Equal(t, "free", string(h.wait(view.ID).Result))
}

// The outcome of a stored foreground invocation cannot be stored at first. Until it is, a client must get neither the outcome nor
// an outcome without its result: after a kill, another outcome would follow.
func TestOutcomeThatIsNotStoredYetIsNotReturned(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	outcome := h.invokeInBackground(h.newKeyedRequest(reserva, "slot"))
	received := worker.NextCall()
	accepted, err := h.executor.Submit(h.newKeyedRequest(reserva, "slot"))
	require.NoError(t, err)
	h.disk.full.Store(true)
	received.AnswerOK("booked")
	require.Eventually(t, func() bool { return h.disk.failures.Load() > 0 }, 10*time.Second, time.Millisecond)
	for range 100 {
		require.Equal(t, invocation.StateRunning, h.current(accepted.ID).State)
		time.Sleep(time.Millisecond)
	}
	h.disk.full.Store(false)
	assert.Equal(t, "booked", string((<-outcome).Result))
	assert.Equal(t, "booked", string(h.wait(accepted.ID).Result))
}
