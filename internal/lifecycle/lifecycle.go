// Package lifecycle tracks the phase of the program from start to exit.
package lifecycle

import (
	"log/slog"
	"sync"
)

// Phase is a stage in the life of the program.
type Phase int

// Phases, in order. A program enters each phase at most once, except that it can alternate between Serving and Reloading.
const (
	Starting  Phase = iota // the endpoints are not known yet
	Serving                // calls are served
	Reloading              // the configuration is being read again while calls are served
	Draining               // shutdown has begun: new calls are accepted for a while, and calls in flight are answered
	Stopped                // no calls are in flight
)

var phaseNames = [...]string{
	Starting:  "starting",
	Serving:   "serving",
	Reloading: "reloading",
	Draining:  "draining",
	Stopped:   "stopped",
}

// String returns the name of the phase in log lines.
func (p Phase) String() string { return phaseNames[p] }

// Ready reports whether the program serves calls and is not shutting down.
func (p Phase) Ready() bool { return p == Serving || p == Reloading }

// Lifecycle holds the program's current phase. It is safe for concurrent use.
type Lifecycle struct {
	mu    sync.Mutex
	phase Phase
}

// New returns a Lifecycle in the phase Starting.
func New() *Lifecycle { return &Lifecycle{} }

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Enter changes the phase to next and logs the change, if the transition is allowed. It reports whether the phase changed.
func (l *Lifecycle) Enter(next Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !allowed(l.phase, next) {
		return false
	}
	slog.Info("phase: " + l.phase.String() + " -> " + next.String())
	l.phase = next
	return true
}

// allowed reports whether the transition between two phases is allowed: to any later phase, to Reloading only from Serving, and
// from Reloading back to Serving.
func allowed(from, to Phase) bool {
	switch {
	case to == Reloading:
		return from == Serving
	case from == Reloading && to == Serving:
		return true
	default:
		return to > from
	}
}
