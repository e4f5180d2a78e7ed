package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/worker"
)

// recordingBalancer records all events and answers each RequestEvent with the actions of onRequest.
type recordingBalancer struct {
	events    []balancer.Event
	onRequest func(balancer.RequestEvent) []balancer.Action
}

func (b *recordingBalancer) Handle(_ time.Duration, e balancer.Event) []balancer.Action {
	b.events = append(b.events, e)
	if request, ok := e.(balancer.RequestEvent); ok && b.onRequest != nil {
		return b.onRequest(request)
	}
	return nil
}

// outcomes returns the statuses of all recorded OutcomeEvents.
func (b *recordingBalancer) outcomes() []balancer.Status {
	var statuses []balancer.Status
	for _, e := range b.events {
		if outcome, ok := e.(balancer.OutcomeEvent); ok {
			statuses = append(statuses, outcome.Status)
		}
	}
	return statuses
}

func TestAttemptStateTransitions(t *testing.T) {
	states := []attemptState{attemptPreparing, attemptInFlight, attemptNotRun, attemptMayHaveRun}
	allowed := map[[2]attemptState]bool{
		{attemptPreparing, attemptInFlight}:  true,
		{attemptPreparing, attemptNotRun}:    true,
		{attemptInFlight, attemptNotRun}:     true,
		{attemptInFlight, attemptMayHaveRun}: true,
	}
	for _, from := range states {
		for _, to := range states {
			a := &attempt{state: from}
			want := allowed[[2]attemptState{from, to}]
			assert.Equal(t, want, a.setState(to), "from %d to %d", from, to)
			if want {
				assert.Equal(t, to, a.state)
			} else {
				assert.Equal(t, from, a.state, "a transition that is not allowed must not change the state")
			}
		}
	}
}

func TestFinalStateOfEachStatus(t *testing.T) {
	for status, want := range map[balancer.Status]attemptState{
		balancer.Failed:        attemptMayHaveRun,
		balancer.OK:            attemptMayHaveRun,
		balancer.TimedOut:      attemptMayHaveRun,
		balancer.Reset:         attemptMayHaveRun,
		balancer.Cancelled:     attemptMayHaveRun,
		balancer.Rejected:      attemptNotRun,
		balancer.ConnectFailed: attemptNotRun,
		balancer.NotSent:       attemptNotRun,
		balancer.Miss:          attemptNotRun,
	} {
		assert.Equal(t, want, finalState(status), "status %d", status)
	}
}

// A result or a timeout of an attempt that has already ended is ignored: the client gets one answer and the balancer one
// outcome.
func TestResultOfEndedAttemptIsIgnored(t *testing.T) {
	c := newStoppedCore(t, 4, idempotentSettings())
	c.config.Pool.MaxConns = 1
	c.config.Pool.MaxStreams = 1
	scripted := &recordingBalancer{onRequest: func(r balancer.RequestEvent) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: r.ID, Worker: "s-1"}}
	}}
	c.balancer = scripted
	c.addReadyEndpoint("s-1")
	var answers []call.Answer
	submitted := &call.Call{Class: "consulta", Function: testFunction, Deadline: time.Now().Add(time.Hour),
		Done: func(a call.Answer) { answers = append(answers, a) }}
	c.accept(submitted, &Handle{core: c})
	r := c.requests[c.lastID]
	require.Len(t, r.attempts, 1)
	require.Equal(t, attemptInFlight, r.attempts[0].state)

	c.handle(attemptEnded{attempt: r.attempts[0], result: worker.Result{Status: balancer.OK}})
	c.handle(attemptEnded{attempt: r.attempts[0], result: worker.Result{Status: balancer.Reset}})
	c.handle(attemptTimedOut{attempt: r.attempts[0]})

	require.Len(t, answers, 1)
	assert.Equal(t, call.Served, answers[0].Outcome)
	assert.Equal(t, []balancer.Status{balancer.OK}, scripted.outcomes())
	assert.Empty(t, c.requests)
}
