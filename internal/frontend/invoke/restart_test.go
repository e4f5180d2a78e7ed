package invoke_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/fakes"
)

// The dispatcher stops while a worker runs a call of class reserva, which is not idempotent. After the restart the dispatcher
// cannot know whether the function ran, so the invocation must fail as may-have-run and must not be retried.
func TestNonIdempotentInvocationInFlightAtARestartIsNotRetried(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(bookPath, `"slot"`, "Idempotency-Key", "k1")
	w.NextCall()
	f.restart(w)
	for range 2 {
		outcome := f.awaitOutcome(deferred.location())
		assert.Equal(t, problem{status: 502, name: "may-have-run", mayHaveRun: true}, outcome.problem)
	}
	resent := f.invoke(bookPath, `"slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, http.StatusBadGateway, resent.status, "a resend must get the same outcome")
	assert.Equal(t, 1, w.CallCount(`"slot"`))
}

func TestIdempotentInvocationInFlightAtARestartIsRetried(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	deferred := f.invokeDeferred(lookPath, `"day"`)
	w.NextCall()
	f.restart(w)
	w.NextCall().AnswerOK(`"free"`)
	assert.Equal(t, `"free"`, f.awaitOutcome(deferred.location()).body)
}

// Without workers no attempt was sent, so that even an invocation of class reserva may run after the restart.
func TestNonIdempotentInvocationNeverAttemptedRunsOnceAfterARestart(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t)
	deferred := f.invokeDeferred(bookPath, `"slot"`)
	f.restart(w)
	w.NextCall().AnswerOK(`"booked"`)
	assert.Equal(t, `"booked"`, f.awaitOutcome(deferred.location()).body)
	assert.Equal(t, 1, w.CallCount(`"slot"`))
}

// Half of the workers reset the connection during a call, and each worker is then replaced. No call of class reserva may run
// twice, and a resend must get the outcome of the first request.
func TestWorkerConnectionResetDoesNotRepeatCall(t *testing.T) {
	f := newTestFrontend(t)
	for i := range 8 {
		w := fakes.NewWorker(t)
		f.core.UpdateEndpoints(fakes.Endpoints(w))
		body := fmt.Sprintf(`"slot %d"`, i)
		deferred := f.invokeDeferred(bookPath, body, "Idempotency-Key", body)
		workerCall := w.NextCall()
		wantProblemName := ""
		if i%2 == 0 {
			workerCall.ResetConn()
			wantProblemName = "may-have-run"
		} else {
			workerCall.AnswerOK(`"booked"`)
		}
		outcome := f.awaitOutcome(deferred.location())
		assert.Equal(t, wantProblemName, outcome.problem.name, outcome.body)
		replacement := fakes.NewWorker(t)
		f.core.UpdateEndpoints(fakes.Endpoints(replacement)) // a second attempt would go to this worker
		resent := f.invoke(bookPath, body, "Idempotency-Key", body)
		assert.Equal(t, outcome.status, resent.status)
		assert.Equal(t, outcome.body, resent.body)
		assert.Equal(t, 1, w.CallCount(body))
		assert.Equal(t, 0, replacement.CallCount(body))
	}
}
