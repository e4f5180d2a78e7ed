package executor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
)

// cancelResult is what Cancel has returned.
type cancelResult struct {
	view View
	err  error
}

// awaitInFlight waits until the dispatcher has accepted a call.
func (h *harness) awaitInFlight() {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return h.core.InFlight() == 1 }, 10*time.Second, time.Millisecond)
}

// acceptances are the ways in which a client learns the ID of an invocation that is waiting for a worker.
var acceptances = map[string]func(h *harness, request invocation.Request) (id string){
	"deferred": func(h *harness, request invocation.Request) string {
		id := h.submit(request)
		h.awaitInFlight()
		return id
	},
	"foreground": func(h *harness, request invocation.Request) string {
		h.connect(request)
		h.awaitReserved()
		return h.submit(request)
	},
}

// Guards against attempts that begin after a client has cancelled: the cancellation is being stored, slowly, when a worker becomes
// available. The call must not be sent, and the client is told that it is cancelled.
func TestCancelledCallIsNotSentWhileItsEndIsStored(t *testing.T) {
	for _, class := range []string{reserva, consulta} {
		for name, accept := range acceptances {
			t.Run(class+", "+name, func(t *testing.T) {
				worker := fakes.NewWorker(t)
				h := newHarness(t, fakes.NewCore(t)) // knows no worker yet
				id := accept(h, h.newKeyedRequest(class, "slot"))
				h.disk.held.Lock()
				cancelled := make(chan cancelResult, 1)
				go func() {
					view, err := h.executor.Cancel("a", id)
					cancelled <- cancelResult{view, err}
				}()
				require.Eventually(t, func() bool { return h.disk.waiting.Load() > 0 }, 10*time.Second, time.Millisecond)
				h.core.UpdateEndpoints(fakes.Endpoints(worker))
				later := h.connect(h.newRequest(consulta, "later")) // never stored
				received := worker.NextCall()
				assert.Equal(t, "later", received.Body)
				received.AnswerOK("done")
				fakes.Receive(t, later.outcome)
				time.Sleep(time.Second) // a call that waits for a worker is sent within this
				assert.Zero(t, worker.CallCount("slot"))
				h.disk.held.Unlock()
				result := fakes.Receive(t, cancelled)
				require.NoError(t, result.err)
				assert.Equal(t, invocation.OutcomeCancelled, result.view.Outcome)
				h.awaitNothingInProgress()
				assert.Zero(t, worker.CallCount("slot"))
			})
		}
	}
}

// A cancellation that cannot be stored fails, and the invocation is still owed: it runs.
func TestInvocationIsOwedIfItsCancellationIsNotStored(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t)) // knows no worker yet
	id := acceptances["deferred"](h, h.newKeyedRequest(consulta, "slot"))
	h.disk.full.Store(true)
	_, err := h.executor.Cancel("a", id)
	require.ErrorIs(t, err, invocation.ErrStorage)
	h.disk.full.Store(false)
	h.core.UpdateEndpoints(fakes.Endpoints(worker))
	worker.NextCall().AnswerOK("booked")
	assert.Equal(t, "booked", string(h.wait(id).Result))
	assert.Equal(t, 1, worker.CallCount("slot"))
}
