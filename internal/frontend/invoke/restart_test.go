package invoke_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/fakes"
)

// The dispatcher ends while a reserva is at a worker: nobody can tell any more whether it ran.
func TestNonIdempotentInvocationInFlightAtARestartIsNotRetried(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`, "Idempotency-Key", "k1")
	w.Next()
	f.restart(w)
	for range 2 {
		outcome := f.awaitOutcome(deferred.location())
		assert.Equal(t, problem{status: 502, name: "may-have-run", mayHaveRun: true}, outcome.problem)
	}
	resent := f.invoke(bookPath, `"slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, http.StatusBadGateway, resent.status, "a resend gets the same answer")
	assert.Equal(t, 1, w.CallCount(`"slot"`))
}

func TestIdempotentInvocationInFlightAtARestartIsRetried(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(lookPath, `"day"`)
	w.Next()
	f.restart(w)
	w.Next().OK(`"free"`)
	assert.Equal(t, `"free"`, f.awaitOutcome(deferred.location()).body)
}

// Without workers nothing is attempted, so even a reserva may run after a restart.
func TestNonIdempotentInvocationNeverAttemptedRunsOnceAfterARestart(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	f.restart(w)
	w.Next().OK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
	assert.Equal(t, 1, w.CallCount(`"slot"`))
}

// Workers die mid-call and others take their place: no reserva runs twice, each invocation has one outcome.
func TestWorkersThatDieMidCall(t *testing.T) {
	f := newTestFrontend(t)
	for i := range 8 {
		w := fakes.NewWorker(t)
		f.core.UpdateEndpoints(fakes.Endpoints(w))
		body := fmt.Sprintf(`"slot %d"`, i)
		deferred := f.invokeDeferred(bookPath, body, "Idempotency-Key", body)
		received := w.Next()
		wantProblem := ""
		if i%2 == 0 {
			received.ResetConn()
			wantProblem = "may-have-run"
		} else {
			received.OK(`"booked"`)
		}
		outcome := f.awaitOutcome(deferred.location())
		assert.Equal(t, wantProblem, outcome.problem.name, outcome.body)
		successor := fakes.NewWorker(t)
		f.core.UpdateEndpoints(fakes.Endpoints(successor)) // it would get the call, were it sent again
		resent := f.invoke(bookPath, body, "Idempotency-Key", body)
		assert.Equal(t, outcome.status, resent.status)
		assert.Equal(t, outcome.body, resent.body)
		assert.Equal(t, 1, w.CallCount(body))
		assert.Equal(t, 0, successor.CallCount(body))
	}
}
