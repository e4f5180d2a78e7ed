package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func testConfig() Config {
	c := Default()
	c.Tenants = map[string]float64{"big": 60, "small": 40}
	c.Classes = map[string]float64{"reserva": 2, "consulta": 1}
	return c
}

// simulation carries out the actions of a scheduler in simulated time.
type simulation struct {
	t         testing.TB
	scheduler *Scheduler
	now       time.Time
	timer     time.Time            // of the last SetTimer action
	jobs      map[string]Job       // by ID, as added last
	started   []string             // IDs of all runs, in the order of their start
	startedAt map[string]time.Time // start of the last run, by ID of the job
	running   []string             // IDs of the runs in flight, in the order of their start
	expired   []string             // IDs of the expired jobs, in the order of expiry
	retryAt   map[string]time.Time // by ID of the job; deleted by endFirst when it adds the job again
}

func newSimulation(t testing.TB, c Config) *simulation {
	t.Helper()
	scheduler, err := New(c, 7, noon)
	require.NoError(t, err)
	return &simulation{
		t:         t,
		scheduler: scheduler,
		now:       noon,
		jobs:      map[string]Job{},
		startedAt: map[string]time.Time{},
		retryAt:   map[string]time.Time{},
	}
}

// newSimulationWithOneRun returns a simulation with a concurrency limit of 1 and one run in flight. Jobs added to it wait
// until that run has ended.
func newSimulationWithOneRun(t *testing.T, c Config) *simulation {
	t.Helper()
	c.MinConcurrency = 1
	c.MaxConcurrency = 1
	sim := newSimulation(t, c)
	sim.add(Job{ID: "first", Function: "f"})
	return sim
}

// handle sends an event to the scheduler and carries out the resulting actions.
func (sim *simulation) handle(e Event) {
	for _, a := range sim.scheduler.Handle(sim.now, e) {
		switch a := a.(type) {
		case StartRun:
			sim.started = append(sim.started, a.ID)
			sim.running = append(sim.running, a.ID)
			sim.startedAt[a.ID] = sim.now
		case Retry:
			sim.retryAt[a.ID] = a.At
		case Expire:
			sim.expired = append(sim.expired, a.ID)
		case SetTimer:
			require.True(sim.t, a.At.After(sim.now))
			sim.timer = a.At
		}
	}
	require.Equal(sim.t, len(sim.running), sim.scheduler.Running())
}

// add adds a job to the scheduler, with default values for Expires, Class and Tenant if they are not set.
func (sim *simulation) add(job Job) {
	if job.Expires.IsZero() {
		job.Expires = sim.now.Add(time.Hour)
	}
	if job.Class == "" {
		job.Class = "consulta"
	}
	if job.Tenant == "" {
		job.Tenant = "big"
	}
	sim.jobs[job.ID] = job
	sim.handle(AddEvent{job})
}

// endFirst ends the run in flight that was started first. If the scheduler returns a time for the retry of the job,
// endFirst adds the job again. It returns the ID of the job.
func (sim *simulation) endFirst(r Result) string {
	id := sim.running[0]
	sim.running = sim.running[1:]
	sim.handle(RunEndedEvent{ID: id, Result: r, Elapsed: sim.now.Sub(sim.startedAt[id])})
	if at, ok := sim.retryAt[id]; ok {
		delete(sim.retryAt, id)
		if job := sim.jobs[id]; !at.IsZero() {
			job.Runs++
			job.NotBefore = at
			sim.add(job)
		}
	}
	return id
}

// endAll ends the runs in flight at the time of the call, but not those that are started when these end.
func (sim *simulation) endAll(r Result) {
	for range len(sim.running) {
		sim.endFirst(r)
	}
}

// advance advances the simulated time and sends a TickEvent.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.handle(TickEvent{})
}

func (sim *simulation) lastStarted() string { return sim.started[len(sim.started)-1] }
