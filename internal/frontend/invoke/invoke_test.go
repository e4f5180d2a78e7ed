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
	go func() { w.NextCall().AnswerOK(`"booked"`) }()
	synchronous := f.invoke(bookPath, `"slot 1"`)
	assert.Equal(t, http.StatusOK, synchronous.status)
	assert.Equal(t, `"booked"`, synchronous.body)
	assert.Equal(t, "application/json", synchronous.header.Get("Content-Type"))

	deferred := f.invokeDeferred(bookPath, `"slot 2"`)
	assert.Equal(t, "respond-async", deferred.header.Get("Preference-Applied"))
	workerCall := w.NextCall()
	assert.Contains(t, workerCall.Fields, "profile=reserva,thing=7f3a9c21e0b4d655,max=")
	pending := f.mustSend(f.clientA, http.MethodGet, deferred.location(), "")
	assert.Equal(t, http.StatusAccepted, pending.status)
	workerCall.AnswerOK(`"booked too"`)
	assert.Equal(t, `"booked too"`, f.awaitOutcome(deferred.location()).body)

	go func() { w.NextCall().AnswerOK(`"booked at once"`) }()
	deferredWithWait := f.invoke(bookPath, `"slot 3"`, "Prefer", "respond-async, wait=10")
	assert.Equal(t, http.StatusOK, deferredWithWait.status)
	assert.Equal(t, `"booked at once"`, deferredWithWait.body)

	otherTenant := f.mustSend(f.clientB, http.MethodGet, deferred.location(), "")
	assert.Equal(t, problem{status: 404, name: "not-found"}, otherTenant.problem, "invocation visible to another tenant")
}

func TestPendingInvocationDocument(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	w.NextCall()
	pending := f.mustSend(f.clientA, http.MethodGet, deferred.location(), "")
	assert.Equal(t, "application/json", pending.header.Get("Content-Type"))
	assert.Equal(t, "1", pending.header.Get("Retry-After"))
	id := strings.TrimPrefix(deferred.location(), "/v1/invocations/")
	assert.Regexp(t, `^\{"deadline":"[^"]+","history":\[\{.+\}\],"runs":1,"status":"pending","ticket":"`+id+`"\}\n$`, pending.body)
}

// A device's connection breaks while the device waits for a synchronous invocation. The device resends the request with the
// same Idempotency-Key, deferred, and polls. The function must run once, and each resend must get the original outcome.
func TestResentInvocationGetsTheOriginalOutcome(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	ctx, cancel := context.WithCancel(context.Background())
	sendErr := make(chan error, 1)
	go func() {
		_, err := f.send(ctx, f.clientA, http.MethodPost, bookPath, `"slot"`, "Idempotency-Key", "k1")
		sendErr <- err
	}()
	workerCall := w.NextCall()
	cancel()
	require.Error(t, <-sendErr)
	deferred := f.invokeDeferred(bookPath, `"slot"`, "Idempotency-Key", "k1")
	workerCall.AnswerOK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
	f.restart(w)
	resent := f.invoke(bookPath, `"slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, http.StatusOK, resent.status, "the key is still known after a restart")
	assert.Equal(t, `"booked"`, resent.body, "the result is still known after a restart")
	assert.Equal(t, 1, w.CallCount(`"slot"`))
	reused := f.invoke(bookPath, `"other slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, problem{status: 422, name: "key-reused"}, reused.problem)
}

func TestLateAnswerDoesNotReplaceCancellation(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	workerCall := w.NextCall()
	cancelled := f.mustSend(f.clientA, http.MethodDelete, deferred.location(), "")
	assert.Equal(t, http.StatusNoContent, cancelled.status)
	assert.Equal(t, workerCall.ID, <-w.Cancelled)
	workerCall.AnswerOK(`"too late"`)
	go func() { w.NextCall().AnswerOK(`"next"`) }()
	// This answer comes on the same worker connection, so the dispatcher has read the late answer before it.
	assert.Equal(t, `"next"`, f.invoke(lookPath, `"day"`).body)
	outcome := f.awaitOutcome(deferred.location())
	assert.Equal(t, problem{status: 409, name: "given-up", mayHaveRun: true}, outcome.problem)
}

func TestLateAnswerDoesNotReplaceDeadlineOutcome(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`, "Request-Timeout", "0.2")
	workerCall := w.NextCall()
	outcome := f.awaitOutcome(deferred.location())
	assert.Equal(t, problem{status: 504, name: "deadline", mayHaveRun: true}, outcome.problem)
	workerCall.AnswerOK(`"too late"`)
	assert.Equal(t, http.StatusGatewayTimeout, f.awaitOutcome(deferred.location()).status)
}

func TestRejectionHasRetryAfter(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	const codeRejected = 67
	go func() {
		for workerCall := range w.Calls {
			workerCall.Answer(codeRejected, "", "")
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
	workerCall := w.NextCall()
	f.server.Drain()
	rejected := f.invoke(bookPath, `"late slot"`)
	assert.Equal(t, problem{status: 503, name: "refused", retryable: true}, rejected.problem)
	workerCall.AnswerOK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
}

func TestExpiredInvocationAndClosedStore(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	w.NextCall().AnswerOK(`"booked"`)
	require.Equal(t, http.StatusOK, f.awaitOutcome(deferred.location()).status)
	require.NoError(t, f.store.DeleteExpired(f.executor.Clock().Now().Add(2*time.Hour)))
	expired := f.awaitOutcome(deferred.location())
	assert.Equal(t, problem{status: 410, name: "expired"}, expired.problem)
	require.NoError(t, f.store.Close()) // from now on nothing can be stored
	notStored := f.invoke(bookPath, `"slot"`)
	assert.Equal(t, problem{status: 503, name: "storage", retryable: true}, notStored.problem)
	assert.Equal(t, 1, w.CallCount(`"slot"`), "an invocation that was not stored must not run")
	require.NoError(t, os.WriteFile(f.storePath, []byte(strings.Repeat("no database ", 4096)), 0o600))
	_, err := store.Open(f.storePath, store.Options{})
	assert.ErrorIs(t, err, invocation.ErrStorage)
}

// During an evacuation the server rejects new invocations, and after EndWaits no poll waits. Invocations in flight continue.
// After Rejoin the server accepts new invocations.
func TestEvacuationEndsWaitingPollsAndRejoinAcceptsInvocations(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	workerCall := w.NextCall()
	pollStatus := make(chan int, 1)
	go func() { pollStatus <- f.poll(deferred.location()).status }()
	require.Never(t, func() bool { return len(pollStatus) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
	f.server.Drain()
	// A request on an idle connection would fail if the server closed that connection at the same time.
	f.clientA.CloseIdleConnections()
	assert.Equal(t, problem{status: 503, name: "refused", retryable: true}, f.invoke(bookPath, `"late slot"`).problem)
	f.server.EndWaits()
	assert.Equal(t, http.StatusAccepted, <-pollStatus)
	assert.Equal(t, http.StatusAccepted, f.poll(deferred.location()).status, "polls after EndWaits do not wait either")
	f.server.Rejoin()
	workerCall.AnswerOK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
	next := f.invokeDeferred(bookPath, `"next slot"`)
	w.NextCall().AnswerOK(`"booked again"`)
	assert.Equal(t, `"booked again"`, f.awaitOutcome(next.location()).body)
}
