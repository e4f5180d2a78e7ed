package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fleetModel models the cost of loads. The fleet holds at most capacity loaded copies, one per function, and unloads the
// least recently used copy to make room. A copy that has been idle for longer than idleTTL is unloaded too.
type fleetModel struct {
	capacity int
	idleTTL  time.Duration
	loadTime time.Duration
	runTime  time.Duration
	lastUsed map[string]time.Time // end of the last run, by function of the copy
	loads    int                  // number of loads so far
}

func newFleetModel() *fleetModel {
	return &fleetModel{
		capacity: 24,
		idleTTL:  9 * time.Second,
		loadTime: 600 * time.Millisecond,
		runTime:  100 * time.Millisecond,
		lastUsed: map[string]time.Time{},
	}
}

// run runs the function, loads a copy if necessary, and returns how long the run takes, including the load.
func (f *fleetModel) run(function string, now time.Time) time.Duration {
	elapsed := f.runTime
	if used, ok := f.lastUsed[function]; !ok || now.Sub(used) > f.idleTTL {
		f.loads++
		elapsed += f.loadTime
	}
	f.lastUsed[function] = now.Add(elapsed)
	if len(f.lastUsed) > f.capacity {
		delete(f.lastUsed, f.leastRecentlyUsed())
	}
	return elapsed
}

// leastRecentlyUsed returns the function whose copy has been idle for longest. Among equals it returns the first by name,
// so that equal jobs always cause equal loads.
func (f *fleetModel) leastRecentlyUsed() string {
	oldest := ""
	for name, used := range f.lastUsed {
		order := used.Compare(f.lastUsed[oldest])
		if oldest == "" || order < 0 || order == 0 && name < oldest {
			oldest = name
		}
	}
	return oldest
}

// runEnd is the time at which a run in flight will end, with the ID of its job.
type runEnd struct {
	at time.Time
	id string
}

// runEnds is a heap of run ends, the earliest first.
type runEnds []runEnd

func (e runEnds) Len() int           { return len(e) }
func (e runEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e runEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runEnds) Push(x any)        { *e = append(*e, x.(runEnd)) }
func (e *runEnds) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// zipfArrivals generates the jobs of five minutes, which arrive as a Poisson process with the given rate per second. Their
// functions are drawn from 200 by Zipf's law.
func zipfArrivals(seed uint64, rate float64) []Job {
	const functions = 200
	const seconds = 300
	random := rand.New(rand.NewPCG(seed, 2))
	weights := make([]float64, functions)
	sum := 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), 1.0)
		sum += weights[i]
	}
	var jobs []Job
	for at := 0.0; at < seconds; at += random.ExpFloat64() / rate {
		remaining := random.Float64() * sum
		function := 0
		for function < functions-1 && remaining > weights[function] {
			remaining -= weights[function]
			function++
		}
		arrival := noon.Add(time.Duration(at * float64(time.Second)))
		jobs = append(jobs, Job{
			ID:        fmt.Sprint(len(jobs)),
			Tenant:    "big",
			Class:     "consulta",
			Function:  fmt.Sprint(function),
			Urgency:   3,
			NotBefore: arrival,
			Expires:   arrival.Add(time.Hour),
		})
	}
	return jobs
}

// runStats holds the statistics of the runs under one scheduling policy.
type runStats struct {
	loads     int
	runs      int
	totalWait time.Duration // sum of the times from the arrival of a job to the start of its run
	maxWait   time.Duration
}

func (s *runStats) addRun(wait time.Duration) {
	s.runs++
	s.totalWait += wait
	s.maxWait = max(s.maxWait, wait)
}

func (s *runStats) add(other runStats) {
	s.loads += other.loads
	s.runs += other.runs
	s.totalWait += other.totalWait
	s.maxWait = max(s.maxWait, other.maxWait)
}

func (s *runStats) meanWait() time.Duration { return s.totalWait / time.Duration(s.runs) }

func (s *runStats) loadsPer100Runs() float64 { return 100 * float64(s.loads) / float64(s.runs) }

func (s *runStats) String() string {
	return fmt.Sprintf("%.1f loads per 100 runs, mean wait %v, longest wait %v", s.loadsPer100Runs(),
		s.meanWait().Round(time.Millisecond), s.maxWait.Round(time.Millisecond))
}

// runInOrderOfArrival runs the jobs on a fleet model in the order of their arrival, at most concurrency at a time.
func runInOrderOfArrival(jobs []Job, concurrency int) runStats {
	var result runStats
	fleet := newFleetModel()
	freeAt := make([]time.Time, concurrency)
	for _, job := range jobs {
		slot := 0
		for i := range freeAt {
			if freeAt[i].Before(freeAt[slot]) {
				slot = i
			}
		}
		start := laterOf(job.NotBefore, freeAt[slot])
		freeAt[slot] = start.Add(fleet.run(job.Function, start))
		result.addRun(start.Sub(job.NotBefore))
	}
	result.loads = fleet.loads
	return result
}

// scheduledFleet runs the jobs that a scheduler starts on a fleet model, in simulated time.
type scheduledFleet struct {
	scheduler *Scheduler
	fleet     *fleetModel
	now       time.Time
	timer     time.Time            // zero: no timer is set
	jobs      map[string]Job       // by ID
	startedAt map[string]time.Time // start of the run, by ID of the job
	inFlight  runEnds
	result    runStats
}

func (s *scheduledFleet) handle(e Event) {
	for _, a := range s.scheduler.Handle(s.now, e) {
		switch a := a.(type) {
		case StartRun:
			job := s.jobs[a.ID]
			s.result.addRun(s.now.Sub(job.NotBefore))
			s.startedAt[a.ID] = s.now
			end := s.now.Add(s.fleet.run(job.Function, s.now))
			heap.Push(&s.inFlight, runEnd{end, a.ID})
		case SetTimer:
			s.timer = a.At
		}
	}
}

// step advances the time to the next arrival, end of a run or timer and handles it. It returns the jobs that have not
// arrived yet, and false if there was nothing to handle.
func (s *scheduledFleet) step(arrivals []Job) (remaining []Job, ok bool) {
	var next earliestTime
	if len(arrivals) > 0 {
		next.add(arrivals[0].NotBefore)
	}
	if s.inFlight.Len() > 0 {
		next.add(s.inFlight[0].at)
	}
	next.add(s.timer)
	if next.IsZero() {
		return arrivals, false
	}
	s.now = next.Time
	switch {
	case len(arrivals) > 0 && arrivals[0].NotBefore.Equal(s.now):
		s.jobs[arrivals[0].ID] = arrivals[0]
		s.handle(AddEvent{arrivals[0]})
		return arrivals[1:], true
	case s.inFlight.Len() > 0 && s.inFlight[0].at.Equal(s.now):
		end := heap.Pop(&s.inFlight).(runEnd)
		s.handle(RunEndedEvent{ID: end.id, Result: Served, Elapsed: s.now.Sub(s.startedAt[end.id])})
	default:
		s.timer = time.Time{}
		s.handle(TickEvent{})
	}
	return arrivals, true
}

// runScheduled runs the jobs on a fleet model in the order that the scheduler decides.
func runScheduled(t *testing.T, jobs []Job, c Config) runStats {
	t.Helper()
	scheduler, err := New(c, 1, noon)
	if err != nil {
		t.Fatal(err)
	}
	s := &scheduledFleet{
		scheduler: scheduler,
		fleet:     newFleetModel(),
		now:       noon,
		jobs:      map[string]Job{},
		startedAt: map[string]time.Time{},
	}
	arrivals := jobs
	for s.result.runs < len(jobs) || s.inFlight.Len() > 0 {
		var ok bool
		if arrivals, ok = s.step(arrivals); !ok {
			t.Fatalf("only %d of %d jobs have run, but no arrival, end of a run or timer is pending", s.result.runs, len(jobs))
		}
	}
	s.result.loads = s.fleet.loads
	return s.result
}

// The scheduler batches the jobs of a function, so that one load serves many runs: it must cause at most a third of the
// loads of running the jobs in order of arrival. The test logs the waiting times of both policies.
func TestBatchingSavesLoads(t *testing.T) {
	for _, rate := range []float64{10, 30, 60} {
		t.Run(fmt.Sprintf("%.0f per second", rate), func(t *testing.T) {
			c := testConfig()
			c.MaxConcurrency = 24
			var inOrder, batched runStats
			for seed := range uint64(3) {
				jobs := zipfArrivals(seed, rate)
				inOrder.add(runInOrderOfArrival(jobs, c.MaxConcurrency))
				batched.add(runScheduled(t, jobs, c))
			}
			t.Logf("in order of arrival: %v; batched: %v", &inOrder, &batched)
			assert.LessOrEqual(t, batched.loadsPer100Runs(), inOrder.loadsPer100Runs()/3)
		})
	}
}
