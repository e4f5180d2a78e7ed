package schedule

import (
	"cmp"
	"math"
	"time"

	"github.com/tidwall/btree"
)

// state is where a job is on its way to its next run.
type state int

const (
	delayed       state = iota // first run, before its NotBefore
	awaitingRetry              // later run, until its NotBefore has come and the retry budget allows it
	ready                      // may run as soon as it is selected
	running
)

// entry is a job with its place in the scheduler.
type entry struct {
	Job
	sequence    uint64 // order of arrival
	state       state
	readySince  time.Time
	startedWarm bool    // a copy of its function was expected to be loaded when its run started
	classWeight float64 // jobs of greater weight go first
	tenant      *tenant
	queue       *queue // of the ready job; kept while it runs
}

// tenant has the ready jobs of one tenant, in one queue for each function.
type tenant struct {
	name        string
	weight      float64
	virtualTime float64           // cost of all its runs, divided by its weight; the tenant with the least goes first
	ready       *orderedJobs      // by the time since when they are ready
	queues      map[string]*queue // by function
}

// queue holds the ready jobs of one tenant for one function, the one to run first at the front.
type queue struct {
	function *function
	jobs     *orderedJobs
}

// head returns the job to run first. The queue must not be empty.
func (q *queue) head() *entry {
	first, _ := q.jobs.Min()
	return first
}

// function is what is known of the loaded copies of a function, and its load over all tenants.
type function struct {
	name      string
	inFlight  int
	ready     int
	warmUntil time.Time // a copy is expected to stay loaded until then
	latency   runLatency
}

// isWarm reports whether a copy of the function is expected to be loaded.
func (f *function) isWarm(now time.Time) bool { return f.inFlight > 0 || now.Before(f.warmUntil) }

// orderedJobs is an ordered set of jobs.
type orderedJobs = btree.BTreeG[*entry]

const treeDegree = 16

func newOrderedJobs(less func(a, b *entry) bool) *orderedJobs {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: treeDegree})
}

func byExpiry(a, b *entry) bool { return byTime(a, b, a.Expires, b.Expires) }

func byNotBefore(a, b *entry) bool { return byTime(a, b, a.NotBefore, b.NotBefore) }

func byReadySince(a, b *entry) bool { return byTime(a, b, a.readySince, b.readySince) }

// byTime orders a and b by a time of each, and by arrival where the times are equal.
func byTime(a, b *entry, timeOfA, timeOfB time.Time) bool {
	if order := timeOfA.Compare(timeOfB); order != 0 {
		return order < 0
	}
	return a.sequence < b.sequence
}

// byPriority is the order of a tenant's jobs: weight of the class, then urgency, then the earliest deadline.
func byPriority(a, b *entry) bool {
	if a.classWeight != b.classWeight {
		return a.classWeight > b.classWeight
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return byExpiry(a, b)
}

// enqueue makes a job ready to run.
func (s *Scheduler) enqueue(now time.Time, e *entry) {
	t := e.tenant
	if t.ready.Len() == 0 { // a tenant does not save up the share that it left unused
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
	t.ready.Set(e)
	q.function.ready++
}

// dequeue takes a ready job out of its queue.
func (s *Scheduler) dequeue(e *entry) {
	q := e.queue
	q.jobs.Delete(e)
	e.tenant.ready.Delete(e)
	q.function.ready--
	if q.jobs.Len() == 0 {
		delete(e.tenant.queues, e.Function)
	}
}

// minVirtualTime returns the least virtual time of the tenants that have ready jobs; 0 if there are none.
func (s *Scheduler) minVirtualTime() float64 {
	least := math.Inf(1)
	for _, t := range s.tenants {
		if t.ready.Len() > 0 {
			least = min(least, t.virtualTime)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

const defaultTenantWeight = 1

func (s *Scheduler) tenantNamed(name string) *tenant {
	t := s.tenants[name]
	if t == nil {
		t = &tenant{
			name:   name,
			weight: cmp.Or(s.config.Tenants[name], defaultTenantWeight),
			ready:  newOrderedJobs(byReadySince),
			queues: map[string]*queue{},
		}
		s.tenants[name] = t
	}
	return t
}

func (s *Scheduler) functionNamed(name string) *function {
	f := s.functions[name]
	if f == nil {
		f = &function{name: name}
		s.functions[name] = f
	}
	return f
}

// maxIdleFunctions is the number of known functions above which those without jobs are forgotten. Clients can name
// any number of functions.
const maxIdleFunctions = 4096

func (s *Scheduler) forgetIfIdle(f *function) {
	if len(s.functions) > maxIdleFunctions && f.ready == 0 && f.inFlight == 0 {
		delete(s.functions, f.name)
	}
}
