package balancer

import (
	"cmp"
	"time"
)

const (
	defaultLoadTime = 1.0 // seconds; assumed if a function's first request states no load time
	loadWaitFactor  = 2.0 // a request waits for a load for at most this many usual load times
)

// function is the state of one function.
type function struct {
	id                  FunctionID
	class               string        // class of its last request
	concurrency         int           // requests that one copy runs at the same time
	loadTime            float64       // running mean of the time that a load takes, in seconds
	meanAnswer          float64       // running mean of the answer time, in seconds
	calls               decayingCount // this dispatcher's requests for it, weighted by work
	rotation            int           // group member at which a request starts its search; each request adds one
	succeeded           bool          // a request has been answered, or a load has succeeded
	errorsBeforeSuccess int           // number of errors while succeeded was false
	lastErrorAt         time.Duration // when errorsBeforeSuccess was last raised
	erroredWorkers      []*worker     // workers that returned the latest of these errors
	references          int           // number of unanswered requests and pending load orders

	// The group consists of groupSize workers, from index groupStart on in rendezvous order, that serve the
	// function in turn. A rare function has a group of one, its primary worker.
	hot        bool
	groupStart int
	groupSize  int

	demand     float64 // workers that it needs, estimated from the queue depths that its requests found
	rendezvous rendezvous
	placements map[WorkerID]*placement
}

// placement is what this dispatcher assumes about one function at one worker.
type placement struct {
	worker       *worker
	copies       int           // loaded at the worker, as last reported or inferred
	inFlight     int           // pending attempts of this dispatcher
	loadedUntil  time.Duration // until then the copies are assumed to be loaded
	missed       bool          // an attempt missed, and no copy has been reported as loaded since
	missingUntil time.Duration // until then no copy counts as loaded, not even by other dispatchers' calls
	avoidUntil   time.Duration // until then other workers go first: an attempt was neither served nor a miss
	orderPending bool          // a load order is pending
	orderedAt    time.Duration // when the last load order was sent
	keepalive    keepaliveStep // step of the keepalive that the pending load order belongs to
	noOrderUntil time.Duration // no load order is sent before this time
}

// functionOf returns the function that a request names, updated with what the request states about it. A
// function that is not known yet is added.
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

// countError records an error, and reports whether a request or a load of the function has succeeded. Only
// then does the error count against the worker or the function store.
func (f *function) countError(now time.Duration) (succeeded bool) {
	if !f.succeeded {
		f.errorsBeforeSuccess++
		f.lastErrorAt = now
	}
	return f.succeeded
}

// demote makes a function rare: its group is reduced to its primary worker.
func (f *function) demote() {
	f.hot = false
	f.groupStart = 0
	f.groupSize = 1
}

// maxLoadWait returns the longest time that a request waits for a load of the function.
func (f *function) maxLoadWait() time.Duration { return seconds(loadWaitFactor * f.loadTime) }

// peekPlacement returns the placement of a function at a worker for reading; it is valid until the next call
// of peekPlacement. It adds no placement to the function, because a request may examine any number of
// workers.
func (b *Balancer) peekPlacement(f *function, w *worker) *placement {
	if p := f.placements[w.ID]; p != nil {
		return p
	}
	b.emptyPlacement = placement{worker: w}
	return &b.emptyPlacement
}

// placement returns the placement of the function at a worker. It adds one if there is none.
func (f *function) placement(w *worker) *placement {
	p := f.placements[w.ID]
	if p == nil {
		p = &placement{worker: w}
		f.placements[w.ID] = p
	}
	return p
}

// expireCopies makes the copies at all workers count as not loaded from now on.
func (f *function) expireCopies(now time.Duration) {
	for _, p := range f.placements {
		p.loadedUntil = min(p.loadedUntil, now)
	}
}

// setLoaded records a number of copies that are assumed to stay loaded until a time.
func (p *placement) setLoaded(copies int, until time.Duration) {
	p.copies = copies
	p.loadedUntil = until
	p.missed = false
	p.missingUntil = 0
}

// setUnloaded records that no copy is loaded.
func (p *placement) setUnloaded() {
	p.copies = 0
	p.loadedUntil = 0
}

// setMissing records a miss: until a time, no copy is assumed to be loaded.
func (p *placement) setMissing(until time.Duration) {
	p.setUnloaded()
	p.missed = true
	p.missingUntil = until
}
