// Package lifecycle names the phases of the program, from start to exit, as states of one object.
package lifecycle

import (
	"log/slog"
	"sync"
)

// Phase is a state of the program.
type Phase int

// The phases, in their order. A program goes through each at most once, except for Serving and Reloading, between which
// it alternates.
const (
	Starting  Phase = iota // the endpoints are not known yet
	Serving                // calls are served
	Reloading              // the configuration is read again; calls are served meanwhile
	Draining               // told to end: new calls are taken for a while, those in flight are answered
	Stopped                // nothing is in flight any more
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

// Ready reports whether the program serves calls and has not been told to end.
func (p Phase) Ready() bool { return p == Serving || p == Reloading }

// Lifecycle holds the program's present phase. It is safe for concurrent use.
type Lifecycle struct {
	mu    sync.Mutex
	phase Phase
}

// New returns a Lifecycle in the phase Starting.
func New() *Lifecycle { return &Lifecycle{} }

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Enter changes to the phase next and logs that, if the transition is allowed. It reports whether the phase has changed.
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

// allowed reports whether a program may change from one phase to another: to any later one, but to Reloading only from
// Serving, and back from there.
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
