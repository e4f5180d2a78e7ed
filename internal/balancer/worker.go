package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// worker is what is known of one worker.
type worker struct {
	Worker
	zone         *zone   // that of Worker.Zone
	fullWeight   float64 // Worker.Weight, or the largest seen where weights are live
	hash         uint64  // of the ID
	listed       bool    // it is among the ready workers: the list calls it ready, and its lease is live
	listedWeight float64 // fullWeight when the list last changed it
	hotCalls     float64 // its part of this dispatcher's calls of hot functions
	removedAt    time.Duration
	outstanding  []*attempt // pending attempts, oldest first
	slowStart    slowStart
	window       concurrencyWindow // for this dispatcher's attempts in flight
	latency      latencyHistory
	lastContact  time.Duration // last sign of life
	lastReset    time.Duration // when a connection to it last broke
	ejection     ejection
	fullUntil    time.Duration           // it rejected for lack of room
	classes      map[string]*classHealth // by class name

	// Last, since sweeps over thousands of workers read the fields above.

	lease       permit.Lease
	goneAt      time.Duration // when its process seemed to end, with no sync since; 0: it did not
	assumedCold bool          // it is taken for cold since then, though the list has not told of a restart

	keepaliveAt      time.Duration // since when a keepalive is under way; 0: none is
	keepaliveAsks    int           // of that
	noKeepaliveUntil time.Duration
}

func newWorker(id WorkerID, window float64) *worker {
	return &worker{
		hash:    hashString(string(id)),
		window:  concurrencyWindow{size: window},
		latency: newLatencyHistory(),
		classes: map[string]*classHealth{},
	}
}

// healthOf returns the health of a class, to read.
func (w *worker) healthOf(name string) classHealth {
	if health := w.classes[name]; health != nil {
		return *health
	}
	return classHealth{}
}

// class returns the health record of a class, which is kept.
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
	w.assumedCold = false
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

// hasRoom reports whether a worker has not just rejected for lack of room, and its window is not full.
func (w *worker) hasRoom(now time.Duration) bool {
	return now >= w.fullUntil && !w.window.full(len(w.outstanding))
}

// unavailable reports whether a worker is out of placement: it is ejected, or its zone is unreachable.
func (w *worker) unavailable() bool { return w.ejection.active || w.zone.ejection.active }
