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
	timer     time.Time
	jobs      map[string]Job
	started   []string // IDs of all runs, in the order of their start
	startedAt map[string]time.Time
	running   []string // IDs of the runs in flight, in the order of their start
	expired   []string
	retryAt   map[string]time.Time
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

// newSimulationWithOneRun has a concurrency of one and a run in flight: jobs that are added wait until it has ended.
func newSimulationWithOneRun(t *testing.T, c Config) *simulation {
	t.Helper()
	c.MinConcurrency = 1
	c.MaxConcurrency = 1
	sim := newSimulation(t, c)
	sim.add(Job{ID: "first", Function: "f"})
	return sim
}

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

// add hands over a job; fields that are not set get usual values.
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

// endFirst ends the run that was started first and adds its job again if it is to be retried. It returns its ID.
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

// endAll ends the runs that are in flight now, but not those that are started in their place.
func (sim *simulation) endAll(r Result) {
	for range len(sim.running) {
		sim.endFirst(r)
	}
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.handle(TickEvent{})
}

func (sim *simulation) lastStarted() string { return sim.started[len(sim.started)-1] }
