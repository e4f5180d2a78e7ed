package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// worker is the balancer's record of one worker.
type worker struct {
	Worker
	zone              *zone         // the record of Worker.Zone
	fullWeight        float64       // Worker.Weight, or its largest value so far with Settings.LiveWeights
	hash              uint64        // hash of the ID
	inReady           bool          // the worker is in Balancer.ready
	rankedWeight      float64       // fullWeight at the last change of this worker in Balancer.changes
	hotCalls          float64       // the worker's share of this dispatcher's calls of hot functions
	removedAt         time.Duration // when the endpoint list last removed the worker
	pendingAttempts   []*attempt    // pending attempts, oldest first
	slowStart         slowStart
	window            concurrencyWindow // limits this dispatcher's attempts in flight
	latency           latencyHistory
	answers           decayingCount // its recent answers to this dispatcher
	lastContact       time.Duration // last sign of life: the worker answered an attempt, or loaded copies
	lastReset         time.Duration // when a connection to the worker last broke
	ejection          ejection
	countsAsFullUntil time.Duration           // the worker counts as full until then, as it rejected an attempt
	classes           map[string]*classHealth // by class name

	// The fields below come last because sweeps over thousands of workers read only the fields above.

	lease       permit.Lease
	goneAt      time.Duration // when the worker's process seemed to end, if no sync came since; else 0
	assumedCold bool          // an unreported restart after goneAt is assumed, so the worker counts as cold

	keepaliveStartedAt time.Duration // when the keepalive in progress started; 0 means that there is none
	keepaliveQueries   int           // number of queries in this keepalive
	noKeepaliveUntil   time.Duration // no keepalive starts before this time, since the last one failed
}

func newWorker(id WorkerID, window float64) *worker {
	return &worker{
		hash:    hashString(string(id)),
		window:  concurrencyWindow{size: window},
		latency: newLatencyHistory(),
		classes: map[string]*classHealth{},
	}
}

// healthOf returns a copy of the worker's health record for a class. It adds no record if there is none.
func (w *worker) healthOf(name string) classHealth {
	if health := w.classes[name]; health != nil {
		return *health
	}
	return classHealth{}
}

// class returns the worker's health record for a class, and adds one if there is none.
func (w *worker) class(name string) *classHealth {
	health := w.classes[name]
	if health == nil {
		health = &classHealth{}
		w.classes[name] = health
	}
	return health
}

// restart resets the state that no longer applies after a reported restart of the worker.
func (w *worker) restart(window float64) {
	w.slowStart = slowStart{startedAt: w.Started, active: true}
	w.assumedCold = false
	w.ejection.active = false
	w.window.size = window
	w.latency = newLatencyHistory()
	for _, health := range w.classes {
		health.consecutiveRejections = 0
		health.ejectedUntil = 0
	}
}

// setState sets the worker's state in the endpoint list, and records the time of a removal.
func (w *worker) setState(state WorkerState, now time.Duration) {
	if state == Removed && w.State != Removed {
		w.removedAt = now
	}
	w.State = state
}

// hasRoom reports whether the worker's concurrency window is not full, and the worker has not rejected an
// attempt recently for lack of capacity.
func (w *worker) hasRoom(now time.Duration) bool {
	return now >= w.countsAsFullUntil && !w.window.full(len(w.pendingAttempts))
}

// ejected reports whether the worker is excluded from placement, because it is ejected itself or its zone is
// ejected as unreachable.
func (w *worker) ejected() bool { return w.ejection.active || w.zone.ejection.active }
