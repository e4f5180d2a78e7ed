package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A stalled fleet gets one run at a time, at intervals of Config.ProbeInterval or longer. When the fleet serves a run
// again, the concurrency limit restarts at the minimum, and all jobs are served before they expire.
func TestStalledFleetIsProbedAndRecoversSlowly(t *testing.T) {
	c := testConfig()
	sim := newSimulation(t, c)
	for i := range 8000 {
		sim.add(Job{ID: fmt.Sprint(i), Function: fmt.Sprint(i % 50), Expires: noon.Add(24 * time.Hour)})
	}
	for range 60 {
		sim.advance(20 * time.Millisecond)
		sim.endAll(Served)
	}
	require.Greater(t, sim.scheduler.ConcurrencyLimit(), 16)
	for n := 0; !sim.scheduler.Stalled(); n++ {
		require.Less(t, n, 1000)
		sim.advance(50 * time.Millisecond)
		sim.endAll(Rejected)
	}
	before := len(sim.started)
	stalledAt := sim.now
	for sim.now.Sub(stalledAt) < 20*time.Second {
		sim.advance(10 * time.Millisecond)
		require.LessOrEqual(t, len(sim.running), 1)
		for len(sim.running) > 0 {
			sim.endFirst(Rejected)
		}
	}
	// A probe may cause a load, so the cold-start budget limits probes too: there may be fewer than one per ProbeInterval.
	assert.LessOrEqual(t, len(sim.started)-before, int(20*time.Second/c.ProbeInterval)+1)
	assert.GreaterOrEqual(t, len(sim.started)-before, 8)
	for n := 0; len(sim.running) == 0; n++ {
		require.Less(t, n, 500, "%+v", sim.scheduler)
		sim.advance(10 * time.Millisecond)
	}
	sim.endFirst(Served)
	assert.False(t, sim.scheduler.Stalled())
	assert.Equal(t, c.MinConcurrency, sim.scheduler.ConcurrencyLimit())
	for rounds := 0; sim.scheduler.Waiting() > 0 || len(sim.running) > 0; rounds++ {
		require.Less(t, rounds, 100000)
		sim.advance(20 * time.Millisecond)
		sim.endAll(Served)
	}
	assert.Empty(t, sim.expired, "all jobs are served, none expires")
}

// While foreground invocations are rejected, the concurrency limit of deferred runs decreases to the minimum and does
// not grow.
func TestRejectedForegroundInvocationsDecreaseConcurrency(t *testing.T) {
	sim := newSimulation(t, testConfig())
	for i := range 9000 {
		sim.add(Job{ID: fmt.Sprint(i), Function: fmt.Sprint(i % 4)})
	}
	serve := func(rounds int) {
		for range rounds {
			sim.advance(20 * time.Millisecond)
			sim.endAll(Served)
		}
	}
	serve(40)
	fullLimit := sim.scheduler.ConcurrencyLimit()
	require.Greater(t, fullLimit, 20)
	for range 20 {
		sim.handle(ForegroundEvent{Rejected: true})
		serve(10)
	}
	assert.Equal(t, 2, sim.scheduler.ConcurrencyLimit())
	serve(60)
	assert.Greater(t, sim.scheduler.ConcurrencyLimit(), 2, "the limit grows again once no foreground request is rejected")
	assert.Less(t, sim.scheduler.ConcurrencyLimit(), fullLimit)
}

// When the runs of all functions become slower, the concurrency limit decreases although all runs are served.
func TestSlowRunsDecreaseConcurrency(t *testing.T) {
	sim := newSimulation(t, testConfig())
	for i := range 4000 {
		sim.add(Job{ID: fmt.Sprint(i), Function: fmt.Sprint(i % 4)})
	}
	serve := func(rounds int, runTime time.Duration) {
		for range rounds {
			sim.advance(runTime)
			sim.endAll(Served)
		}
	}
	serve(30, 20*time.Millisecond)
	before := sim.scheduler.ConcurrencyLimit()
	serve(20, 400*time.Millisecond)
	assert.Less(t, sim.scheduler.ConcurrencyLimit(), before/2)
}
