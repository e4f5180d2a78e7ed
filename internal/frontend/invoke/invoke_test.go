package invoke_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

func TestSynchronousAndDeferredInvocations(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	go func() { w.Next().OK(`"booked"`) }()
	synchronous := f.invoke(bookPath, `"slot 1"`)
	assert.Equal(t, http.StatusOK, synchronous.status)
	assert.Equal(t, `"booked"`, synchronous.body)
	assert.Equal(t, "application/json", synchronous.header.Get("Content-Type"))

	deferred := f.invokeDeferred(bookPath, `"slot 2"`)
	assert.Equal(t, "respond-async", deferred.header.Get("Preference-Applied"))
	received := w.Next()
	assert.Contains(t, received.Fields, "profile=reserva,thing=7f3a9c21e0b4d655,max=")
	pending := f.mustSend(f.clientA, http.MethodGet, deferred.location(), "")
	assert.Equal(t, http.StatusAccepted, pending.status)
	received.OK(`"booked too"`)
	assert.Equal(t, `"booked too"`, f.awaitOutcome(deferred.location()).body)

	go func() { w.Next().OK(`"booked at once"`) }()
	waitedFor := f.invoke(bookPath, `"slot 3"`, "Prefer", "respond-async, wait=10")
	assert.Equal(t, http.StatusOK, waitedFor.status)
	assert.Equal(t, `"booked at once"`, waitedFor.body)

	other := f.mustSend(f.clientB, http.MethodGet, deferred.location(), "")
	assert.Equal(t, problem{status: 404, name: "not-found"}, other.problem, "only its tenant sees an invocation")
}

func TestPendingInvocationIsDescribed(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	w.Next()
	pending := f.mustSend(f.clientA, http.MethodGet, deferred.location(), "")
	assert.Equal(t, "application/json", pending.header.Get("Content-Type"))
	assert.Equal(t, "1", pending.header.Get("Retry-After"))
	id := strings.TrimPrefix(deferred.location(), "/v1/invocations/")
	assert.Regexp(t, `^\{"deadline":"[^"]+","history":\[\{.+\}\],"runs":1,"status":"pending","ticket":"`+id+`"\}\n$`, pending.body)
}

// The link breaks while a device waits; it resends, and later polls.
func TestResentInvocationFindsItsOutcome(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	ctx, cancel := context.WithCancel(context.Background())
	sendErr := make(chan error, 1)
	go func() {
		_, err := f.send(ctx, f.clientA, http.MethodPost, bookPath, `"slot"`, "Idempotency-Key", "k1")
		sendErr <- err
	}()
	received := w.Next()
	cancel()
	require.Error(t, <-sendErr)
	deferred := f.invokeDeferred(bookPath, `"slot"`, "Idempotency-Key", "k1")
	received.OK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
	f.restart(w)
	resent := f.invoke(bookPath, `"slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, http.StatusOK, resent.status, "also after a restart")
	assert.Equal(t, `"booked"`, resent.body, "also after a restart")
	assert.Equal(t, 1, w.CallCount(`"slot"`))
	reused := f.invoke(bookPath, `"other slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, problem{status: 422, name: "key-reused"}, reused.problem)
}

func TestCancelledInvocationKeepsItsOutcome(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	received := w.Next()
	cancelled := f.mustSend(f.clientA, http.MethodDelete, deferred.location(), "")
	assert.Equal(t, http.StatusNoContent, cancelled.status)
	assert.Equal(t, received.ID, <-w.Cancelled)
	received.OK(`"too late"`)
	go func() { w.Next().OK(`"next"`) }()
	assert.Equal(t, `"next"`, f.invoke(lookPath, `"day"`).body) // on the same connection: the late answer has been read
	outcome := f.awaitOutcome(deferred.location())
	assert.Equal(t, problem{status: 409, name: "given-up", mayHaveRun: true}, outcome.problem)
}

func TestDeadlineExceededStaysTheOutcome(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`, "Request-Timeout", "0.2")
	received := w.Next()
	outcome := f.awaitOutcome(deferred.location())
	assert.Equal(t, problem{status: 504, name: "deadline", mayHaveRun: true}, outcome.problem)
	received.OK(`"too late"`)
	assert.Equal(t, http.StatusGatewayTimeout, f.awaitOutcome(deferred.location()).status)
}

func TestRejectionSaysWhenToRetry(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	const codeFull = 67
	go func() {
		for received := range w.Calls {
			received.Answer(codeFull, "", "")
		}
	}()
	rejected := f.invoke(bookPath, `"slot"`)
	assert.Equal(t, problem{status: 503, name: "refused", retryable: true}, rejected.problem)
	assert.Equal(t, "1", rejected.header.Get("Retry-After"))
}

func TestDrainingServerRejectsNewInvocationsAndAnswersPolls(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	received := w.Next()
	f.server.Drain()
	rejected := f.invoke(bookPath, `"late slot"`)
	assert.Equal(t, problem{status: 503, name: "refused", retryable: true}, rejected.problem)
	received.OK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
}

func TestExpiredInvocationAndBrokenStore(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	w.Next().OK(`"booked"`)
	require.Equal(t, http.StatusOK, f.awaitOutcome(deferred.location()).status)
	require.NoError(t, f.store.DeleteExpired(f.executor.Clock().Now().Add(2*time.Hour)))
	expired := f.awaitOutcome(deferred.location())
	assert.Equal(t, problem{status: 410, name: "expired"}, expired.problem)
	require.NoError(t, f.store.Close()) // from here on nothing can be stored
	notStored := f.invoke(bookPath, `"slot"`)
	assert.Equal(t, problem{status: 503, name: "storage", retryable: true}, notStored.problem)
	assert.Equal(t, 1, w.CallCount(`"slot"`), "what is not stored does not run")
	require.NoError(t, os.WriteFile(f.storePath, []byte(strings.Repeat("no database ", 4096)), 0o600))
	_, err := store.Open(f.storePath, store.Options{})
	assert.ErrorIs(t, err, invocation.ErrStorage)
}

// An evacuated server rejects new invocations and lets no poll wait; those in flight go on, and it takes clients again.
func TestEvacuationEndsWaitsAndRejoinTakesClientsAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	received := w.Next()
	waited := make(chan int, 1)
	go func() { waited <- f.poll(deferred.location()).status }()
	require.Never(t, func() bool { return len(waited) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
	f.server.Evacuate()
	f.clientA.CloseIdleConnections() // as the server does: what crosses that would be an error of the client's
	assert.Equal(t, problem{status: 503, name: "refused", retryable: true}, f.invoke(bookPath, `"late slot"`).problem)
	f.server.EndWaits()
	assert.Equal(t, http.StatusAccepted, <-waited)
	assert.Equal(t, http.StatusAccepted, f.poll(deferred.location()).status, "nor do later ones wait")
	f.server.Rejoin()
	received.OK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
	again := f.invokeDeferred(bookPath, `"next slot"`)
	w.Next().OK(`"booked again"`)
	assert.Equal(t, `"booked again"`, f.awaitOutcome(again.location()).body)
}
