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

// fleetModel is a small model of what loads cost. It has room for so many copies and unloads the one that was idle
// for longest; a copy that was idle for longer than idleTTL is gone. A load takes a while, and so does a run.
type fleetModel struct {
	capacity int
	idleTTL  time.Duration
	loadTime time.Duration
	runTime  time.Duration
	lastUsed map[string]time.Time // by the function of the copy
	loads    int
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

// run returns how long a run of the function takes.
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

// leastRecentlyUsed returns the function whose copy was idle for longest; of several, the first by name, so that
// equal jobs always cause equal loads.
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

// runEnd is the end of a run that is in flight.
type runEnd struct {
	at time.Time
	id string
}

// runEnds is a heap, the next end first.
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

// zipfArrivals draws jobs of 200 functions by Zipf's law, at a rate per second, for five minutes.
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
		rest := random.Float64() * sum
		function := 0
		for function < functions-1 && rest > weights[function] {
			rest -= weights[function]
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

// outcome is what a policy came to.
type outcome struct {
	loads     int
	runs      int
	totalWait time.Duration // from arrival to the start of the run
	maxWait   time.Duration
}

func (o *outcome) addRun(wait time.Duration) {
	o.runs++
	o.totalWait += wait
	o.maxWait = max(o.maxWait, wait)
}

func (o *outcome) add(other outcome) {
	o.loads += other.loads
	o.runs += other.runs
	o.totalWait += other.totalWait
	o.maxWait = max(o.maxWait, other.maxWait)
}

func (o *outcome) meanWait() time.Duration { return o.totalWait / time.Duration(o.runs) }

func (o *outcome) loadsPer100Runs() float64 { return 100 * float64(o.loads) / float64(o.runs) }

func (o *outcome) String() string {
	return fmt.Sprintf("%.1f loads for 100 runs, mean wait %v, longest %v", o.loadsPer100Runs(),
		o.meanWait().Round(time.Millisecond), o.maxWait.Round(time.Millisecond))
}

// runInOrderOfArrival runs the jobs in the order of their arrival, up to a concurrency.
func runInOrderOfArrival(jobs []Job, concurrency int) outcome {
	var result outcome
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

// scheduledFleet lets a scheduler run jobs on a fleet model, in simulated time.
type scheduledFleet struct {
	scheduler *Scheduler
	fleet     *fleetModel
	now       time.Time
	timer     time.Time // zero: none is set
	jobs      map[string]Job
	startedAt map[string]time.Time
	inFlight  runEnds
	result    outcome
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

// step carries out what comes next: an arrival, the end of a run or the timer. It reports false if nothing comes, and
// returns the jobs that have not arrived yet.
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

// runScheduled runs the jobs in the order of the scheduler.
func runScheduled(t *testing.T, jobs []Job, c Config) outcome {
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
			t.Fatalf("%d of %d have run and nothing is to come", s.result.runs, len(jobs))
		}
	}
	s.result.loads = s.fleet.loads
	return s.result
}

// Runs of one function are batched, so that one load serves many: there are at most a third of the loads that the
// order of arrival needs. What that costs in waiting is logged.
func TestBatchingSavesLoads(t *testing.T) {
	for _, rate := range []float64{10, 30, 60} {
		t.Run(fmt.Sprintf("%.0f per second", rate), func(t *testing.T) {
			c := testConfig()
			c.MaxConcurrency = 24
			var inOrder, batched outcome
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
