// Package life names the phases of the program, from start to exit, as states of one object.
package lifecycle

import (
	"log/slog"
	"sync"
)

// Phase is a state of the program.
type Phase int

// The phases, in the order in which they come. Only Reloading comes again and again: the program leaves
// Serving for it and goes back.
const (
	Starting Phase = iota // the list of workers is not known yet
	Serving
	Reloading // reads the configuration again; calls are served all the while
	Draining  // told to end: new calls are still taken for a while, open ones are answered
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "reloading", "draining", "stopped"}[p]
}

// Up tells that the program takes calls and has not been told to end.
func (p Phase) Ready() bool { return p == Serving || p == Reloading }

// Life is the program's present phase.
type Lifecycle struct {
	mu    sync.Mutex
	phase Phase
}

// New returns a life that is starting.
func New() *Lifecycle { return &Lifecycle{} }

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Enter moves on to a later phase, or from Reloading back to Serving, and tells whether it did.
func (l *Lifecycle) Enter(p Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	back := l.phase == Reloading && p == Serving
	if p <= l.phase && !back || p == Reloading && l.phase != Serving {
		return false
	}
	slog.Info("phase: " + l.phase.String() + " -> " + p.String())
	l.phase = p
	return true
}
