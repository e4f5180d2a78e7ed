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

// foregroundClient is a client that waits for a foreground request.
type foregroundClient struct {
	outcome <-chan View // gets the view of the client; without an invocation if the request fails
	leave   func()      // the client closes its connection
}

// connect makes a foreground request in the background.
func (h *harness) connect(request invocation.Request) foregroundClient {
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	outcome := make(chan View, 1)
	go func() {
		view, _ := h.executor.Invoke(ctx, request)
		outcome <- view
	}()
	return foregroundClient{outcome, cancel}
}

// awaitNothingInProgress waits until the executor and the dispatcher hold nothing of any request.
func (h *harness) awaitNothingInProgress() {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		h.executor.reservations.mu.Lock()
		defer h.executor.reservations.mu.Unlock()
		return h.executor.InProgress() == 0 && h.core.InFlight() == 0 && len(h.executor.reservations.byKey) == 0
	}, 10*time.Second, time.Millisecond)
}

// requestKind is a kind of request: its class, and whether it has a key.
type requestKind struct {
	class string
	keyed bool
}

// requestKinds are all kinds of requests, by name.
var requestKinds = map[string]requestKind{
	"reserva":             {reserva, false},
	"reserva with a key":  {reserva, true},
	"consulta":            {consulta, false},
	"consulta with a key": {consulta, true},
}

// newRequestOf returns a request of a kind for a slot.
func (h *harness) newRequestOf(kind requestKind) invocation.Request {
	if kind.keyed {
		return h.newKeyedRequest(kind.class, "slot")
	}
	return h.newRequest(kind.class, "slot")
}

// A client leaves before its request is sent. The request must never be sent (review case 9), whatever it held is given back at once,
// and a repeat, with the same key too, is a new request that runs once.
func TestRequestIsGivenUpWhenItsClientLeaves(t *testing.T) {
	for name, kind := range requestKinds {
		t.Run(name, func(t *testing.T) {
			worker := fakes.NewWorker(t)
			h := newHarness(t, fakes.NewCore(t)) // knows no worker yet, so the request waits
			client := h.connect(h.newRequestOf(kind))
			h.awaitReserved()
			client.leave()
			fakes.Receive(t, client.outcome)
			h.awaitNothingInProgress()
			usage, err := h.executor.store.Usage("a")
			require.NoError(t, err)
			assert.Zero(t, usage.Invocations, "it counts against the quota")

			h.core.UpdateEndpoints(fakes.Endpoints(worker))
			repeat := h.connect(h.newRequestOf(kind))
			worker.NextCall().AnswerOK("booked")
			assert.Equal(t, "booked", string(fakes.Receive(t, repeat.outcome).Result))
			h.awaitNothingInProgress()
			assert.Equal(t, 1, worker.CallCount("slot"))
		})
	}
}

// A client leaves while the start of its request is being stored, just before the first byte is written. The request must not be sent.
func TestRequestIsGivenUpWhileItsStartIsStored(t *testing.T) {
	for name, kind := range requestKinds {
		if kind.class == consulta { // its start is not stored
			continue
		}
		t.Run(name, func(t *testing.T) {
			worker := fakes.NewWorker(t)
			h := newHarness(t, fakes.NewCore(t, worker))
			h.disk.held.Lock()
			client := h.connect(h.newRequestOf(kind))
			require.Eventually(t, func() bool { return h.disk.waiting.Load() > 0 }, 10*time.Second, time.Millisecond)
			client.leave()
			fakes.Receive(t, client.outcome)
			h.disk.held.Unlock()
			h.awaitNothingInProgress()
			repeat := h.connect(h.newRequestOf(kind))
			worker.NextCall().AnswerOK("booked")
			assert.Equal(t, "booked", string(fakes.Receive(t, repeat.outcome).Result))
			assert.Equal(t, 1, worker.CallCount("slot"))
		})
	}
}

// A client leaves while a worker may run its request. A request without a key is cancelled at the worker, as on the RESP frontend, and
// so is a consulta. A reserva with a key keeps its outcome for a repeat, and runs once.
func TestRequestThatMayRunWhenItsClientLeaves(t *testing.T) {
	for name, kind := range requestKinds {
		t.Run(name, func(t *testing.T) {
			worker := fakes.NewWorker(t)
			h := newHarness(t, fakes.NewCore(t, worker))
			client := h.connect(h.newRequestOf(kind))
			received := worker.NextCall()
			client.leave()
			fakes.Receive(t, client.outcome)
			keepsOutcome := kind == requestKind{reserva, true}
			if !keepsOutcome {
				assert.Equal(t, received.ID, fakes.Receive(t, worker.Cancelled))
				h.awaitNothingInProgress()
				return
			}
			repeat := h.connect(h.newRequestOf(kind))
			received.AnswerOK("booked")
			assert.Equal(t, "booked", string(fakes.Receive(t, repeat.outcome).Result))
			later := h.connect(h.newRequestOf(kind))
			assert.Equal(t, "booked", string(fakes.Receive(t, later.outcome).Result))
			assert.Equal(t, 1, worker.CallCount("slot"))
			h.awaitNothingInProgress()
		})
	}
}

// The client of a reserva with a key has left while a worker had it, and the worker did not run it. No further attempt of it begins.
// A repeat, before and after the worker's answer, is a new request.
func TestAbandonedRequestThatDidNotRunIsNotSentAgain(t *testing.T) {
	for name, repeatBefore := range map[string]bool{"repeat before": true, "repeat after": false} {
		t.Run(name, func(t *testing.T) {
			worker := fakes.NewWorker(t)
			h := newHarness(t, fakes.NewCore(t, worker))
			client := h.connect(h.newKeyedRequest(reserva, "slot"))
			received := worker.NextCall()
			client.leave()
			fakes.Receive(t, client.outcome)
			var repeat foregroundClient
			if repeatBefore {
				repeat = h.connect(h.newKeyedRequest(reserva, "slot"))
				h.awaitWaiting(1)
			}
			received.Answer(fakes.CodeMiss, "", "")
			if !repeatBefore {
				h.awaitNothingInProgress()
				assert.Equal(t, 1, worker.CallCount("slot"))
				repeat = h.connect(h.newKeyedRequest(reserva, "slot"))
			}
			worker.NextCall().AnswerOK("booked")
			assert.Equal(t, "booked", string(fakes.Receive(t, repeat.outcome).Result))
			assert.Equal(t, 2, worker.CallCount("slot"), "the miss and the repeat")
		})
	}
}

// A request is given up by its last client alone, and not at all once a client was told its ID.
func TestRequestGoesOnForOtherClients(t *testing.T) {
	for _, class := range []string{reserva, consulta} {
		for name, other := range map[string]func(*harness, invocation.Request) (outcome func() View){
			"another client waits": func(h *harness, request invocation.Request) func() View {
				second := h.connect(request)
				h.awaitWaiting(2)
				return func() View { return fakes.Receive(h.t, second.outcome) }
			},
			"a deferred repeat was accepted": func(h *harness, request invocation.Request) func() View {
				accepted, err := h.executor.Submit(request)
				require.NoError(h.t, err)
				return func() View { return h.wait(accepted.ID) }
			},
		} {
			t.Run(class+", "+name, func(t *testing.T) {
				worker := fakes.NewWorker(t)
				h := newHarness(t, fakes.NewCore(t)) // knows no worker yet
				request := h.newKeyedRequest(class, "slot")
				first := h.connect(request)
				h.awaitReserved()
				outcome := other(h, request)
				first.leave()
				fakes.Receive(t, first.outcome)
				h.core.UpdateEndpoints(fakes.Endpoints(worker))
				worker.NextCall().AnswerOK("booked")
				assert.Equal(t, "booked", string(outcome().Result))
				assert.Equal(t, 1, worker.CallCount("slot"))
			})
		}
	}
}

// The store fails while a client leaves. The request must not be sent, and its end is stored once the store works again.
func TestRequestIsGivenUpWhileTheStoreFails(t *testing.T) {
	worker := fakes.NewWorker(t)
	h := newHarness(t, fakes.NewCore(t, worker))
	client := h.connect(h.newRequest(reserva, "slot"))
	received := worker.NextCall()
	h.disk.full.Store(true)
	client.leave()
	fakes.Receive(t, client.outcome)
	assert.Equal(t, received.ID, fakes.Receive(t, worker.Cancelled))
	require.Eventually(t, func() bool { return h.disk.failures.Load() > 0 }, 10*time.Second, time.Millisecond)
	h.disk.full.Store(false)
	h.awaitNothingInProgress()
}

// awaitWaiting waits until the only foreground invocation has the given number of waiting clients.
func (h *harness) awaitWaiting(clients int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		h.executor.foreground.mu.Lock()
		defer h.executor.foreground.mu.Unlock()
		for _, fg := range h.executor.foreground.byID {
			fg.clients.mu.Lock()
			defer fg.clients.mu.Unlock()
			return fg.clients.waiting == clients
		}
		return false
	}, 10*time.Second, time.Millisecond)
}
