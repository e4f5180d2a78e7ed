package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The jobs of a tenant run in the order of their class weight, then of their urgency, then of their expiry.
func TestJobsOfATenantRunByPriority(t *testing.T) {
	sim := newSimulationWithOneRun(t, testConfig())
	soon := noon.Add(20 * time.Minute)
	late := noon.Add(40 * time.Minute)
	sim.add(Job{ID: "late", Function: "f", Urgency: 3, Expires: late})
	sim.add(Job{ID: "soon", Function: "f", Urgency: 3, Expires: soon})
	sim.add(Job{ID: "urgent", Function: "f", Urgency: 1, Expires: late})
	sim.add(Job{ID: "weight", Function: "f", Urgency: 7, Expires: late, Class: "reserva"})
	for range 5 {
		sim.advance(10 * time.Millisecond)
		sim.endFirst(Served)
	}
	assert.Equal(t, []string{"first", "weight", "urgent", "soon", "late"}, sim.started)
}

// One tenant adds 10,000 jobs before another adds 10: all 10 are served before 120 of the first tenant are.
func TestTenantWithFewJobsDoesNotWaitForOneWithMany(t *testing.T) {
	c := testConfig()
	sim := newSimulation(t, c)
	for i := range 10000 {
		sim.add(Job{ID: fmt.Sprint("big", i), Tenant: "big", Function: fmt.Sprint(i % 20)})
	}
	for i := range 10 {
		sim.add(Job{ID: fmt.Sprint("small", i), Tenant: "small", Function: fmt.Sprint(i)})
	}
	served := map[byte]int{} // by the first letter of the tenant
	rounds := 0
	for ; served['s'] < 10; rounds++ {
		sim.advance(5 * time.Millisecond)
		if len(sim.running) > 0 {
			served[sim.endFirst(Served)[0]]++
		}
		require.Less(t, rounds, 3000)
	}
	assert.Less(t, served['b'], 120, "jobs of tenant big served, after %d rounds", rounds)
}

// The tenants big and small have the weights 60 and 40. While big has no jobs, small gets all runs. When big adds jobs,
// it gets its share at once, but no credit for the time in which it had no jobs.
func TestIdleTenantGetsNoCreditForUnusedShare(t *testing.T) {
	c := testConfig()
	c.ColdStartBurst = 100
	c.BatchSize = 1
	sim := newSimulationWithOneRun(t, c)
	added := 0
	addJobs := func(tenant string, count int) {
		for range count {
			added++
			sim.add(Job{ID: fmt.Sprintf("%s%d", tenant, added), Tenant: tenant, Function: "f"})
		}
	}
	run := func(count int) map[byte]int {
		started := map[byte]int{} // by the first letter of the tenant
		for range count {
			sim.advance(time.Millisecond)
			sim.endFirst(Served)
			started[sim.lastStarted()[0]]++
		}
		return started
	}
	addJobs("small", 2000)
	assert.Equal(t, 500, run(500)['s'], "a tenant gets all runs while no other tenant has jobs")
	addJobs("big", 2000)
	started := run(1000)
	assert.InDelta(t, 600, started['b'], 5, "the tenant that was idle gets its share at once, and not more")
}

// A job that has been ready for the starvation limit runs before jobs of higher priority that were added later, and not
// before that limit.
func TestStarvedJobRunsFirst(t *testing.T) {
	c := testConfig()
	sim := newSimulationWithOneRun(t, c)
	sim.add(Job{ID: "starved", Function: "g", Urgency: 7})
	for i := 0; ; i++ {
		require.Less(t, sim.now.Sub(noon), c.StarvationLimit+time.Second)
		sim.add(Job{ID: fmt.Sprint("prior", i), Function: "f", Urgency: 0, Class: "reserva"})
		sim.advance(100 * time.Millisecond)
		sim.endFirst(Served)
		if sim.lastStarted() == "starved" {
			break
		}
	}
	assert.GreaterOrEqual(t, sim.now.Sub(noon), c.StarvationLimit)
}

// BenchmarkSelectJob measures the end of one run and the start of the next among 100,000 waiting jobs of 200 functions and
// two tenants.
func BenchmarkSelectJob(b *testing.B) {
	sim := newSimulation(b, testConfig())
	random := rand.New(rand.NewPCG(1, 1))
	added := 0
	add := func() {
		added++
		sim.add(Job{
			ID:       fmt.Sprint(added),
			Tenant:   []string{"big", "small"}[added%2],
			Function: fmt.Sprint(random.IntN(200)),
			Urgency:  uint8(added % 8),
		})
	}
	for range 100000 {
		add()
	}
	b.ResetTimer()
	for range b.N {
		sim.now = sim.now.Add(10 * time.Millisecond)
		if len(sim.running) > 0 {
			sim.endFirst(Served)
			add()
		} else {
			sim.handle(TickEvent{})
		}
	}
}
