package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
)

// A call that exceeds a limit is rejected at once. Neither the call nor its body remains counted as in flight.
func TestSubmitBeyondTheLimitsIsOverloaded(t *testing.T) {
	c := newStoppedCore(t, 4, idempotentSettings()) // its limits are 10 calls in flight and 1 MiB of bodies
	_, err := c.Submit(&call.Call{Body: make([]byte, 1<<20+1)})
	require.ErrorIs(t, err, ErrOverloaded)
	assert.Zero(t, c.InFlight())
	assert.Zero(t, c.inFlightBodyBytes.Load())

	for range 10 {
		_, err = c.Submit(&call.Call{})
		require.NoError(t, err)
	}
	_, err = c.Submit(&call.Call{})
	require.ErrorIs(t, err, ErrOverloaded)
	assert.EqualValues(t, 10, c.InFlight())
}

// If the balancer does not answer a request in time, the core answers it as failed, so that the client gets an answer.
func TestOverdueRequestIsAnsweredByTheCore(t *testing.T) {
	c := newStoppedCore(t, 4, idempotentSettings())
	silent := &recordingBalancer{}
	c.balancer = silent
	var answers []call.Answer
	submitted := &call.Call{Deadline: time.Now().Add(-time.Second), Done: func(a call.Answer) { answers = append(answers, a) }}
	c.accept(submitted, &Handle{core: c})
	require.Empty(t, answers)
	c.fireTimers()
	require.Len(t, answers, 1)
	assert.Equal(t, call.Answer{Outcome: call.Failed, DeadlineExceeded: true}, answers[0])
	assert.Equal(t, balancer.ClientGoneEvent{ID: 1}, silent.events[len(silent.events)-1])
	assert.Zero(t, len(c.timers.heap))
}
