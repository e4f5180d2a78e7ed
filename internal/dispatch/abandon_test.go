package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/fakes"
)

// abandonTest is a core with a call that is to be abandoned.
type abandonTest struct {
	core    *dispatch.Core
	worker  *fakes.Worker
	call    *call.Call
	answers chan call.Answer
}

// Guards against attempts that begin after the client of an abandoned call has left, and against the loss of an outcome that its
// repeat needs. Every progress of the call at the time of Abandon: it gets one outcome, and a worker gets it no more than it had.
func TestAbandonedCall(t *testing.T) {
	served := call.Answer{Outcome: call.Served, Body: []byte("done"), MayHaveRun: true}
	notRun := call.Answer{Outcome: call.Rejected}
	for name, test := range map[string]struct {
		workerKnown bool
		prepare     func(a *abandonTest) progress
	}{
		"waits for a worker":                    {false, waitsForWorker},
		"before its first attempt":              {true, func(a *abandonTest) progress { return preparesAttempt(a, nil) }},
		"before its first attempt, which fails": {true, func(a *abandonTest) progress { return preparesAttempt(a, errCompleted) }},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAbandonTest(t, test.workerKnown)
			progress := test.prepare(a)
			handle := submit(t, a.core, a.call)
			progress.await()
			handle.Abandon()
			progress.resume()
			a.check(t, notRun, 0)
		})
	}
	for name, test := range map[string]struct {
		answer func(*fakes.Call)
		want   call.Answer
	}{
		"at a worker, served":       {func(c *fakes.Call) { c.AnswerOK("done") }, served},
		"at a worker, missed":       {func(c *fakes.Call) { c.Answer(fakes.CodeMiss, "", "") }, notRun},
		"at a worker, which breaks": {func(c *fakes.Call) { c.ResetConn() }, call.Answer{Outcome: call.Failed, MayHaveRun: true}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAbandonTest(t, true)
			handle := submit(t, a.core, a.call)
			received := a.worker.NextCall()
			handle.Abandon()
			test.answer(received)
			a.check(t, test.want, 1)
		})
	}
}

// progress brings a call to the point at which it is abandoned, and lets it go on from there.
type progress struct {
	await  func() // waits until the submitted call is at the point
	resume func() // called after Abandon
}

// waitsForWorker is the progress of a call for which no worker is known until it is abandoned.
func waitsForWorker(a *abandonTest) progress {
	return progress{func() {}, func() { a.core.UpdateEndpoints(fakes.Endpoints(a.worker)) }}
}

// errCompleted is an error with which the preparation of an attempt fails.
var errCompleted = errors.New("the invocation has completed")

// preparesAttempt is the progress of a call whose first attempt is being prepared, which ends with err after Abandon.
func preparesAttempt(a *abandonTest, err error) progress {
	preparing, finish := make(chan bool), make(chan bool)
	a.call.BeforeFirstAttempt = func() error {
		close(preparing)
		<-finish
		return err
	}
	return progress{func() { <-preparing }, func() { close(finish) }}
}

func newAbandonTest(t *testing.T, workerKnown bool) *abandonTest {
	a := &abandonTest{worker: fakes.NewWorker(t), answers: make(chan call.Answer, 2)}
	if workerKnown {
		a.core = startCore(t, fakes.Settings(), a.worker)
	} else {
		a.core = startCore(t, fakes.Settings())
	}
	a.call = newCall(1, "abandoned", func(answer call.Answer) { a.answers <- answer })
	return a
}

// check checks the outcome of the abandoned call. The worker gets a later call in its place.
func (a *abandonTest) check(t *testing.T, want call.Answer, calls int) {
	t.Helper()
	assert.Equal(t, want, fakes.Receive(t, a.answers))
	submit(t, a.core, newCall(2, "later", func(call.Answer) {}))
	assert.Equal(t, "later", a.worker.NextCall().Body)
	assert.Equal(t, calls, a.worker.CallCount("abandoned"))
	assert.Empty(t, a.answers, "a call has one outcome")
	require.Eventually(t, func() bool { return a.core.InFlight() == 1 }, time.Until(fakes.Deadline()), time.Millisecond)
}
