package schedule

import (
	"cmp"
	"math"
	"time"

	"github.com/tidwall/btree"
)

// jobState is the state of a job in the scheduler.
type jobState int

const (
	delayed       jobState = iota // waits for the NotBefore of its first run
	awaitingRetry                 // waits for the NotBefore of a later run and for the retry budget
	ready                         // is in the queue of its tenant and function and may be selected
	running                       // has a run in flight
)

// jobEntry is a job with its state in the scheduler.
type jobEntry struct {
	Job
	sequence    uint64 // number of the job in the order in which jobs were added
	state       jobState
	readySince  time.Time // start of the state ready
	startedWarm bool      // whether a copy of its function was expected to be loaded when its run started
	classWeight float64   // from Config.Classes; jobs with a greater weight run first
	tenant      *tenant
	queue       *queue // set when the job becomes ready, kept while it runs
}

// tenant holds the ready jobs of one tenant, in one queue per function, and the values for weighted fair queueing
// among the tenants.
type tenant struct {
	name        string
	weight      float64
	virtualTime float64           // cost of its runs, divided by its weight; the tenant with the least is served first
	readyJobs   *orderedJobs      // all ready jobs, by readySince
	queues      map[string]*queue // by name of the function; none is empty
}

// queue holds the ready jobs of one tenant for one function, by priority.
type queue struct {
	function *function
	jobs     *orderedJobs
}

// head returns the job with the highest priority. The queue must not be empty.
func (q *queue) head() *jobEntry {
	first, _ := q.jobs.Min()
	return first
}

// function holds what the scheduler knows of one function: its jobs of all tenants, whether a copy is expected to be
// loaded, and its run times.
type function struct {
	name       string
	inFlight   int       // runs in flight
	readyCount int       // ready jobs
	warmUntil  time.Time // until then a copy is expected to be loaded even without a run in flight
	latency    runLatency
}

// isWarm reports whether a copy of the function is expected to be loaded. Otherwise the function is cold.
func (f *function) isWarm(now time.Time) bool { return f.inFlight > 0 || now.Before(f.warmUntil) }

// orderedJobs is a set of jobs, ordered by the function that newOrderedJobs was given.
type orderedJobs = btree.BTreeG[*jobEntry]

const treeDegree = 16

func newOrderedJobs(less func(a, b *jobEntry) bool) *orderedJobs {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: treeDegree})
}

func byExpiry(a, b *jobEntry) bool { return byTime(a, b, a.Expires, b.Expires) }

func byNotBefore(a, b *jobEntry) bool { return byTime(a, b, a.NotBefore, b.NotBefore) }

func byReadySince(a, b *jobEntry) bool { return byTime(a, b, a.readySince, b.readySince) }

// byTime reports whether a comes before b in the order of the given times; if these are equal, in the order in which the
// jobs were added.
func byTime(a, b *jobEntry, timeOfA, timeOfB time.Time) bool {
	if order := timeOfA.Compare(timeOfB); order != 0 {
		return order < 0
	}
	return a.sequence < b.sequence
}

// byPriority reports whether a comes before b in the order of a tenant's jobs: greater class weight first, then smaller
// Urgency value, then earlier Expires time.
func byPriority(a, b *jobEntry) bool {
	if a.classWeight != b.classWeight {
		return a.classWeight > b.classWeight
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return byExpiry(a, b)
}

// enqueue puts a job into the state ready and into its queue.
func (s *Scheduler) enqueue(now time.Time, e *jobEntry) {
	t := e.tenant
	if t.readyJobs.Len() == 0 { // a tenant gets no credit for its share of the time in which it had no ready jobs
		t.virtualTime = max(t.virtualTime, s.minVirtualTime())
	}
	q := t.queues[e.Function]
	if q == nil {
		q = &queue{function: s.functionNamed(e.Function), jobs: newOrderedJobs(byPriority)}
		t.queues[e.Function] = q
	}
	e.state = ready
	e.readySince = now
	e.queue = q
	q.jobs.Set(e)
	t.readyJobs.Set(e)
	q.function.readyCount++
}

// dequeue removes a ready job from its queue and leaves its state unchanged.
func (s *Scheduler) dequeue(e *jobEntry) {
	q := e.queue
	q.jobs.Delete(e)
	e.tenant.readyJobs.Delete(e)
	q.function.readyCount--
	if q.jobs.Len() == 0 {
		delete(e.tenant.queues, e.Function)
	}
}

// minVirtualTime returns the least virtual time of the tenants that have ready jobs, or 0 if no tenant has any.
func (s *Scheduler) minVirtualTime() float64 {
	least := math.Inf(1)
	for _, t := range s.tenants {
		if t.readyJobs.Len() > 0 {
			least = min(least, t.virtualTime)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// defaultTenantWeight is the weight of a tenant that Config.Tenants does not list.
const defaultTenantWeight = 1

// tenantNamed returns the tenant with the given name, and creates it if necessary.
func (s *Scheduler) tenantNamed(name string) *tenant {
	t := s.tenants[name]
	if t == nil {
		t = &tenant{
			name:      name,
			weight:    cmp.Or(s.config.Tenants[name], defaultTenantWeight),
			readyJobs: newOrderedJobs(byReadySince),
			queues:    map[string]*queue{},
		}
		s.tenants[name] = t
	}
	return t
}

// functionNamed returns the function with the given name, and creates it if necessary.
func (s *Scheduler) functionNamed(name string) *function {
	f := s.functions[name]
	if f == nil {
		f = &function{name: name}
		s.functions[name] = f
	}
	return f
}

// maxKnownFunctions is the number of functions above which functions without ready jobs or runs in flight are removed.
// Without such a bound memory could grow without end, as clients can name any number of functions.
const maxKnownFunctions = 4096

// removeFunctionIfIdle removes a function that has no ready jobs and no runs in flight, if there are more than
// maxKnownFunctions.
func (s *Scheduler) removeFunctionIfIdle(f *function) {
	if len(s.functions) > maxKnownFunctions && f.readyCount == 0 && f.inFlight == 0 {
		delete(s.functions, f.name)
	}
}
