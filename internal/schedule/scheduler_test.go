package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNotBeforeAndExpiryOfAJob(t *testing.T) {
	sim := newSimulation(t, testConfig())
	sim.add(Job{ID: "later", Function: "f", NotBefore: noon.Add(time.Minute)})
	sim.add(Job{ID: "never", Function: "f", NotBefore: noon.Add(time.Minute), Expires: noon.Add(30 * time.Second)})
	sim.add(Job{ID: "removed", Function: "f", NotBefore: noon.Add(time.Minute)})
	assert.Equal(t, noon.Add(30*time.Second), sim.timer)
	sim.handle(RemoveEvent{"removed"})
	sim.advance(30 * time.Second)
	assert.Equal(t, []string{"never"}, sim.expired)
	assert.Equal(t, noon.Add(time.Minute), sim.timer)
	sim.advance(30 * time.Second)
	assert.Equal(t, []string{"later"}, sim.started)
	sim.running = nil
	sim.handle(RunAbortedEvent{"later"})
	assert.Zero(t, sim.scheduler.Waiting()+sim.scheduler.Running())
	sim.handle(RunEndedEvent{ID: "later", Result: Rejected}) // arrives after the abort, so it must be ignored
	assert.Empty(t, sim.retryAt)
}

// Equal events start equal runs in equal order: the random iteration order of maps must not affect the actions.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	startedRuns := func() []string {
		random := rand.New(rand.NewPCG(3, 4))
		sim := newSimulation(t, testConfig())
		for i := range 4000 {
			if random.IntN(2) == 0 {
				sim.add(Job{
					ID:        fmt.Sprint(i),
					Tenant:    []string{"big", "small", "other"}[random.IntN(3)],
					Function:  fmt.Sprint(random.IntN(30)),
					Urgency:   uint8(random.IntN(8)),
					Class:     []string{"reserva", "consulta"}[random.IntN(2)],
					NotBefore: sim.now.Add(time.Duration(random.IntN(3)) * time.Second),
				})
			}
			sim.advance(time.Duration(random.IntN(20)) * time.Millisecond)
			for len(sim.running) > 0 && random.IntN(3) > 0 {
				sim.endFirst(Result(random.IntN(3)))
			}
		}
		return sim.started
	}
	first := startedRuns()
	require.Greater(t, len(first), 500)
	for range 3 {
		require.Equal(t, first, startedRuns())
	}
}
