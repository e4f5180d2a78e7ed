package balancer

import (
	"cmp"
	"time"
)

const (
	defaultLoadTime = 1.0 // seconds that a load takes, until one has been seen
	loadWaitFactor  = 2.0 // a request waits for a load for this many usual load times
)

// function is what is known of one function.
type function struct {
	id             FunctionID
	class          string  // of its last request
	concurrency    int     // requests that one copy runs at a time
	loadTime       float64 // usual time of a load, seconds
	meanAnswer     float64 // mean answer time, seconds
	calls          decayingCount
	rotation       int  // of its group, one step a request
	known          bool // a request was answered, or a load succeeded
	errors         int  // before that
	lastErrorAt    time.Duration
	erroredWorkers []*worker // that returned the last of them
	references     int       // unanswered requests and pending load orders

	// The group: the workers that serve it in turn, groupSize of them from groupStart in rendezvous order. A
	// rare function has a group of one, its primary worker.
	hot        bool
	groupStart int
	groupSize  int
	demand     float64 // even shares of workers that it needs, by the queue depths its requests met
	rendezvous rendezvous
	placements map[WorkerID]*placement
}

// placement is what is believed of one function at one worker.
type placement struct {
	worker       *worker
	copies       int
	inFlight     int           // this dispatcher's attempts
	loadedUntil  time.Duration // believed to be loaded until then
	missed       bool          // the last attempt there was a miss
	missingUntil time.Duration // believed not to be loaded until then, whatever other dispatchers do
	avoidUntil   time.Duration // it rejected or did not answer: other workers go first until then
	ordered      bool          // a load order is pending
	orderedAt    time.Duration
	keepalive    keepaliveStep // of the pending load order
	noOrderUntil time.Duration
}

// functionOf returns the function that a request names, with the request's figures noted.
func (b *Balancer) functionOf(e RequestEvent) *function {
	f := b.functions[e.Function]
	if f == nil {
		f = &function{id: e.Function, groupSize: 1, placements: map[WorkerID]*placement{}}
		f.rendezvous.hash = hashString(string(e.Function))
		b.functions[e.Function] = f
	}
	f.concurrency = max(1, e.Concurrency)
	if f.loadTime == 0 {
		f.loadTime = cmp.Or(e.LoadTime.Seconds(), defaultLoadTime)
	}
	return f
}

// countError notes an error, and reports whether the function is known, so that the error says something of
// the worker or the store.
func (f *function) countError(now time.Duration) (known bool) {
	if !f.known {
		f.errors++
		f.lastErrorAt = now
	}
	return f.known
}

// demote makes a function rare: only its primary worker serves it.
func (f *function) demote() {
	f.hot = false
	f.groupStart = 0
	f.groupSize = 1
}

// loadPatience is how long a request waits for a load of the function.
func (f *function) loadPatience() time.Duration { return seconds(loadWaitFactor * f.loadTime) }

// look returns the record of the function at a worker, to be read until the next look. For a worker of which
// nothing is known nothing is kept: a request may look at any number of workers.
func (b *Balancer) look(f *function, w *worker) *placement {
	if p := f.placements[w.ID]; p != nil {
		return p
	}
	b.emptyPlacement = placement{worker: w}
	return &b.emptyPlacement
}

// placement returns the record of the function at a worker, which is kept.
func (f *function) placement(w *worker) *placement {
	p := f.placements[w.ID]
	if p == nil {
		p = &placement{worker: w}
		f.placements[w.ID] = p
	}
	return p
}

// distrustCopies ends the belief that copies are loaded, at all workers.
func (f *function) distrustCopies(now time.Duration) {
	for _, p := range f.placements {
		p.loadedUntil = min(p.loadedUntil, now)
	}
}

// setLoaded notes a number of copies believed to stay loaded until a time.
func (p *placement) setLoaded(copies int, until time.Duration) {
	p.copies = copies
	p.loadedUntil = until
	p.missed = false
	p.missingUntil = 0
}

// setUnloaded notes that no copy is loaded.
func (p *placement) setUnloaded() {
	p.copies = 0
	p.loadedUntil = 0
}

// setMissing notes a miss.
func (p *placement) setMissing(until time.Duration) {
	p.setUnloaded()
	p.missed = true
	p.missingUntil = until
}
