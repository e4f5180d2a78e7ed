// Package life names the phases of the program, from start to exit, as states of one object.
package life

import (
	"log"
	"sync"
)

// Phase is a state of the program.
type Phase int

// The phases, in the only order in which they come.
const (
	Starting Phase = iota // the list of workers is not known yet
	Serving
	Draining // told to end: new calls are still taken for a while, open ones are answered
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "stopped"}[p]
}

// Life is the program's present phase.
type Life struct {
	mu    sync.Mutex
	phase Phase
}

// New returns a life that is starting.
func New() *Life { return &Life{} }

// Phase returns the present phase.
func (l *Life) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Enter moves on to a later phase and tells whether it did; phases never come twice or go back.
func (l *Life) Enter(p Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p <= l.phase {
		return false
	}
	log.Printf("phase: %s -> %s", l.phase, p)
	l.phase = p
	return true
}
