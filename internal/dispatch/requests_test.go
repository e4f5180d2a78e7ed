package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
)

// Beyond the limits a call is rejected at once, and what it had reserved is given back.
func TestSubmitBeyondTheLimitsIsOverloaded(t *testing.T) {
	c := newStoppedCore(t, 4, idempotentSettings()) // 10 calls, 1 MiB of bodies
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

// A balancer that stays silent past the deadline leaves no client without an answer.
func TestOverdueRequestIsAnsweredInTheBalancersPlace(t *testing.T) {
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
