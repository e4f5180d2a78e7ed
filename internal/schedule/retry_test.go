package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The pause before a retry is at least RetryAfter of the rejection, and at most RetryAfter plus the bound of the backoff,
// which doubles with each run. The random part differs between the pauses.
func TestRetryPauseIsBetweenRetryAfterAndBackoff(t *testing.T) {
	c := testConfig()
	c.MaxRuns = 4
	sim := newSimulation(t, c)
	sim.add(Job{ID: "t", Function: "f"})
	pauses := map[time.Duration]bool{}
	for run := 1; run <= 4; run++ {
		for n := 0; len(sim.running) == 0; n++ {
			require.Less(t, n, 100)
			sim.now = sim.timer
			sim.handle(TickEvent{})
		}
		id := sim.running[0]
		sim.running = nil
		sim.handle(RunEndedEvent{ID: id, Result: Rejected, RetryAfter: time.Second})
		at, ok := sim.retryAt["t"]
		require.True(t, ok)
		if run == 4 {
			assert.True(t, at.IsZero(), "no retry after the last of MaxRuns runs")
			break
		}
		pause := at.Sub(sim.now)
		assert.GreaterOrEqual(t, pause, time.Second)
		assert.LessOrEqual(t, pause, time.Second+c.Backoff<<(run-1))
		pauses[pause] = true
		sim.add(Job{ID: "t", Function: "f", Runs: run, NotBefore: at})
	}
	assert.Len(t, pauses, 3)
	assert.Zero(t, sim.scheduler.Waiting())
}

// The retry budget allows RetryRatio retries for each first run and RetryRate retries per second, and saves up RetryBurst.
// The test has no first runs, so that 10 s allow for RetryBurst retries plus 10 times RetryRate.
func TestRetryBudget(t *testing.T) {
	c := testConfig()
	c.MaxRuns = 1000
	c.RetryRate = 2
	c.RetryRatio = 0.1
	c.RetryBurst = 5
	sim := newSimulation(t, c)
	for i := range 300 {
		sim.add(Job{ID: fmt.Sprint(i), Function: "f", Runs: 1})
	}
	for range 10000 {
		sim.advance(time.Millisecond)
		for len(sim.running) > 0 {
			sim.endFirst(Served)
		}
	}
	assert.InDelta(t, 5+2*10, len(sim.started), 2)
}
