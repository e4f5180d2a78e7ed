package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// worker is what is known of one worker.
type worker struct {
	Worker
	zone          *zone   // that of Worker.Zone
	fullWeight    float64 // Worker.Weight, or the largest seen where weights are live
	hash          uint64  // of the ID
	rendezvousKey float64 // in the rendezvous order that is being made
	hotCalls      float64 // its part of this dispatcher's calls of hot functions
	removedAt     time.Duration
	outstanding   []*attempt // pending attempts, oldest first
	slowStart     slowStart
	window        concurrencyWindow // for this dispatcher's attempts in flight
	latency       latencyHistory
	lastHeard     time.Duration // last sign of life
	lastReset     time.Duration // when a connection to it last broke
	ejection      ejection
	fullUntil     time.Duration           // it rejected for lack of room
	classes       map[string]*classHealth // by class name
}

// classHealth is how a worker treats one class of requests.
type classHealth struct {
	lastOK         time.Duration
	failureScore   float64       // evidence that it fails more than the fleet does
	rejectedInARow int           // requests rejected since the last answer, which halves it
	ejectedUntil   time.Duration // no request of the class before this
}

func newWorker(id WorkerID, window float64) *worker {
	return &worker{
		hash:    hashString(string(id)),
		window:  concurrencyWindow{size: window},
		latency: newLatencyHistory(),
		classes: map[string]*classHealth{},
	}
}

// class returns the health record of a class.
func (w *worker) class(name string) *classHealth {
	health := w.classes[name]
	if health == nil {
		health = &classHealth{}
		w.classes[name] = health
	}
	return health
}

// restart resets what a fresh start makes obsolete.
func (w *worker) restart(window float64) {
	w.slowStart = slowStart{startedAt: w.Started, active: true}
	w.ejection.active = false
	w.window.size = window
	w.latency = newLatencyHistory()
	for _, health := range w.classes {
		health.rejectedInARow = 0
		health.ejectedUntil = 0
	}
}

// setState sets the state of the list and notes the moment of a removal.
func (w *worker) setState(state WorkerState, now time.Duration) {
	if state == Removed && w.State != Removed {
		w.removedAt = now
	}
	w.State = state
}

// slowStart follows a worker that is warming up after its start.
type slowStart struct {
	startedAt time.Duration
	active    bool
	sends     []time.Duration // this dispatcher's recent attempts there, while it is active
}

// hasRoom tells that a worker has not just rejected for lack of room, and its window is not full.
func (w *worker) hasRoom(now time.Duration) bool {
	return now >= w.fullUntil && !w.window.full(len(w.outstanding))
}

// warmth is the part of its capacity that a worker has for certain: from floor at its start to 1 after duration.
func (s *slowStart) warmth(now time.Duration, floor float64, duration time.Duration) float64 {
	if !s.active {
		return 1
	}
	age := now - s.startedAt
	if age >= duration || duration == 0 {
		s.active = false
		s.sends = nil
		return 1
	}
	return floor + (1-floor)*math.Max(0, float64(age))/float64(duration)
}

// zone is what is known of all workers of one zone together.
type zone struct {
	lastHeard       time.Duration // last sign of life of any of them
	lostTime        time.Duration // waited since then for attempts that ended without an answer
	outstandingTime time.Duration // ... and with those still pending
	ejection        ejection      // active while the zone is unreachable
}

// unavailable tells that a worker is out of placement: it is ejected, or its zone is unreachable.
func (w *worker) unavailable() bool { return w.ejection.active || w.zone.ejection.active }

// worker returns the record of a worker, a new one if it is not known.
func (b *Balancer) worker(id WorkerID) *worker {
	w := b.workers[id]
	if w == nil {
		w = newWorker(id, b.initialWindow())
		b.workers[id] = w
	}
	return w
}

// unloadAll notes that a worker holds no copies.
func (b *Balancer) unloadAll(w *worker) {
	for _, f := range b.functions {
		if p := f.placements[w.ID]; p != nil {
			p.setUnloaded()
		}
	}
}

// updateReady lists the ready workers anew, sorted by ID.
func (b *Balancer) updateReady() {
	b.ready = b.ready[:0]
	for _, w := range b.workers {
		if w.State == Ready {
			b.ready = append(b.ready, w)
		}
	}
	slices.SortFunc(b.ready, func(v, w *worker) int { return cmp.Compare(v.ID, w.ID) })
	b.epoch++
}

// zone returns the record of a zone.
func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// forget drops a removed worker, unless a load order to it is still pending.
func (b *Balancer) forget(id WorkerID) {
	for _, f := range b.functions {
		if p := f.placements[id]; p != nil && p.ordered {
			return
		}
	}
	for _, f := range b.functions {
		delete(f.placements, id)
	}
	delete(b.workers, id)
}

// markReachable notes a sign of life of a worker, and with it of its zone.
func (b *Balancer) markReachable(w *worker) {
	w.lastHeard = b.now
	*w.zone = zone{lastHeard: b.now}
}

// markHealthy notes that a worker answers as it should, which ends its ejection.
func (b *Balancer) markHealthy(w *worker) {
	b.markReachable(w)
	w.ejection.end()
}

// forgetRemoved drops workers that left so long ago that on their return they would be warm, or have a new start.
func (b *Balancer) forgetRemoved() {
	memory := b.settings.SlowStartDuration + b.settings.OverloadWindow
	for id, w := range b.workers {
		if w.State == Removed && len(w.outstanding) == 0 && b.now-w.removedAt > memory {
			b.forget(id)
		}
	}
}
