package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/worker"
)

// On a long day workers are replaced by others all the time, and calls come and go: nothing of them may stay.
func TestNothingStaysOfWhatHasLeft(t *testing.T) {
	c, err := New(Config{MaxInFlight: 10, MaxBodyBytes: 1 << 20, Pool: worker.Config{ConnLimit: worker.NewConnLimit(4)},
		Settings: balancer.Settings{DrainGrace: time.Second, Classes: []balancer.Class{{Name: "consulta",
			LatencyObjective: time.Second, Deadline: time.Second}}}})
	require.NoError(t, err)
	for i := range 100 {
		e := discovery.Endpoint{Addr: "127.0.0.1:1", Worker: balancer.Worker{ID: balancer.WorkerID(fmt.Sprint("s-", i)), Weight: 1}}
		c.onList(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{e}})
		e.State = balancer.Removed
		c.onList(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{e}})
	}
	assert.Empty(t, c.links)
	before := len(c.timers)
	for range 100 {
		answered := false
		k := &call.Call{Class: "consulta", Function: "7f3a9c21e0b4d655", Deadline: time.Now().Add(time.Hour),
			Done: func(call.Answer) { answered = true }}
		c.open.Add(1)
		c.accept(k, &Handle{core: c})
		c.answer(c.calls[c.last], call.Answer{Outcome: call.Failed})
		require.True(t, answered)
	}
	assert.Empty(t, c.calls)
	assert.LessOrEqual(t, len(c.timers), before+1, "the module's own timer")
}

// That a link has no room is this side's own affair. Taken for a connection that failed, it left the worker out.
func TestNoRoomOnALinkSaysNothingOfTheWorker(t *testing.T) {
	c, err := New(Config{MaxInFlight: 10, MaxBodyBytes: 1 << 20, Pool: worker.Config{ConnLimit: worker.NewConnLimit(0)},
		Settings: balancer.Settings{DrainGrace: time.Second, MaxAttempts: 4, Classes: []balancer.Class{{Name: "reserva",
			Idempotency: balancer.NotIdempotent, LatencyObjective: time.Second, Deadline: time.Second}}}})
	require.NoError(t, err)
	c.onList(discovery.Update{Scope: balancer.ScopeFull, Endpoints: []discovery.Endpoint{{Addr: "127.0.0.1:1",
		Worker: balancer.Worker{ID: "s-1", Weight: 1}}}})
	for range 2 {
		c.accept(&call.Call{Class: "reserva", Function: "7f3a9c21e0b4d655", Deadline: time.Now().Add(time.Hour),
			Done: func(call.Answer) {}}, &Handle{core: c})
		assert.Len(t, c.calls[c.last].attempts, 1, "it is tried there")
	}
}
