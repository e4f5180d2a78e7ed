package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/descriptors"
	"kitefall/internal/discovery"
	"kitefall/internal/worker"
)

const testFunction = "7f3a9c21e0b4d655"

// newStoppedCore returns a core whose event loop does not run: the test calls the methods that the loop would call.
func newStoppedCore(t *testing.T, maxConns int, settings balancer.Settings) *Core {
	t.Helper()
	c, err := New(Config{
		MaxInFlight:  10,
		MaxBodyBytes: 1 << 20,
		Pool:         worker.Config{ConnLimit: worker.NewConnLimit(descriptors.NewShare(maxConns))},
		Settings:     settings,
	})
	require.NoError(t, err)
	return c
}

// addReadyEndpoint adds a worker that the endpoint list names as ready now, at an address where nothing listens.
func (c *Core) addReadyEndpoint(id balancer.WorkerID) {
	c.ensureEndpoint(id, "127.0.0.1:1").lease.RecordListed(c.clock.balancerTime(time.Now()))
}

// idempotentSettings returns settings with one class, whose requests may run more than once.
func idempotentSettings() balancer.Settings {
	return balancer.Settings{
		DrainGrace: time.Second,
		Classes:    []balancer.Class{{Name: "consulta", LatencyObjective: time.Second, Deadline: time.Second}},
	}
}

// newEndpoint returns a ready worker at an address where nothing listens.
func newEndpoint(id balancer.WorkerID) discovery.Endpoint {
	return discovery.Endpoint{Addr: "127.0.0.1:1", Worker: balancer.Worker{ID: id, Weight: 1}}
}

// Workers are replaced and calls are answered all the time. Keeping state of removed workers or answered calls would be a
// memory leak.
func TestNoStateRemainsOfRemovedWorkersAndAnsweredCalls(t *testing.T) {
	c := newStoppedCore(t, 4, idempotentSettings())
	for i := range 100 {
		endpoint := newEndpoint(balancer.WorkerID(fmt.Sprint("s-", i)))
		c.updateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{endpoint}})
		endpoint.State = balancer.Removed
		c.updateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{endpoint}})
	}
	assert.Empty(t, c.endpoints)

	timersBefore := len(c.timers.heap)
	for range 100 {
		answered := false
		submitted := &call.Call{Class: "consulta", Function: testFunction, Deadline: time.Now().Add(time.Hour),
			Done: func(call.Answer) { answered = true }}
		c.inFlight.Add(1)
		c.accept(submitted, &Handle{core: c})
		c.answer(c.requests[c.lastID], call.Answer{Outcome: call.Failed})
		require.True(t, answered)
	}
	assert.Empty(t, c.requests)
	assert.LessOrEqual(t, len(c.timers.heap), timersBefore+1, "at most the balancer's own timer may remain")
}

// A full connection pool is not the worker's fault. When it was reported to the balancer as a failed connection, the worker
// was ejected.
func TestFullPoolDoesNotCountAgainstWorker(t *testing.T) {
	c := newStoppedCore(t, 0, balancer.Settings{
		DrainGrace:  time.Second,
		MaxAttempts: 4,
		Classes: []balancer.Class{{Name: "reserva", Idempotency: balancer.NotIdempotent, LatencyObjective: time.Second,
			Deadline: time.Second}},
	})
	c.updateEndpoints(discovery.Update{Scope: balancer.ScopeFull, Endpoints: []discovery.Endpoint{newEndpoint("s-1")}})
	for range 2 {
		submitted := &call.Call{Class: "reserva", Function: testFunction, Deadline: time.Now().Add(time.Hour),
			Done: func(call.Answer) {}}
		c.accept(submitted, &Handle{core: c})
		assert.Len(t, c.requests[c.lastID].attempts, 1, "each call must be sent to the worker")
	}
}

// Start times of workers are passed to the balancer in its own time: the endpoint list's clock may differ by any amount.
func TestStartsAreTranslatedForTheBalancer(t *testing.T) {
	c := newStoppedCore(t, 4, idempotentSettings())
	scripted := &recordingBalancer{}
	c.balancer = scripted
	old, young, noStart := newEndpoint("old"), newEndpoint("young"), newEndpoint("ageless")
	old.ReportedStart = 400 * 24 * time.Hour
	young.ReportedStart = old.ReportedStart + time.Minute
	before := c.clock.balancerTime(time.Now())
	c.updateEndpoints(discovery.Update{Endpoints: []discovery.Endpoint{old, young, noStart}})
	workers := scripted.events[0].(balancer.EndpointsEvent).Workers
	assert.GreaterOrEqual(t, workers[1].Started, before, "the latest start of the first list counts as a start at this moment")
	assert.Equal(t, time.Minute, workers[1].Started-workers[0].Started)
	assert.Zero(t, workers[2].Started)
}

// BenchmarkEndpointChange measures a change of one worker's state in an endpoint list with many workers.
func BenchmarkEndpointChange(b *testing.B) {
	for _, workers := range []int{200, 3200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			previous := slog.Default()
			slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer slog.SetDefault(previous)
			c, err := New(Config{Pool: worker.Config{ConnLimit: worker.NewConnLimit(descriptors.NewShare(1))},
				Settings: idempotentSettings()})
			require.NoError(b, err)
			var all []discovery.Endpoint
			for i := range workers {
				id := balancer.WorkerID(fmt.Sprintf("s-%04d", i))
				all = append(all, discovery.Endpoint{Worker: balancer.Worker{ID: id, Weight: 1}, Addr: "127.0.0.1:1"})
			}
			c.updateEndpoints(discovery.Update{Scope: balancer.ScopeFull, Endpoints: all})
			changed := all[workers/2]
			for i := 0; b.Loop(); i++ {
				changed.State = balancer.WorkerState(i % 2) // ready, draining
				c.updateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{changed}})
			}
		})
	}
}
