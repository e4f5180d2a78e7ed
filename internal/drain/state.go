package drain

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Phase says whether clients are being sent away.
type Phase int

// The phases. From Terminating there is no way back.
const (
	Serving     Phase = iota // they are not
	Evacuating               // told by the operators; they may have the process take clients again
	Terminating              // told to end
)

var phaseNames = [...]string{Serving: "serving", Evacuating: "evacuating", Terminating: "terminating"}

// String returns the name of the phase in log lines.
func (p Phase) String() string { return phaseNames[p] }

// situation is a phase and the schedules that are under way. It is never changed.
type situation struct {
	phase    Phase
	underWay []runningSchedule
	changed  chan struct{} // closed when another situation takes its place
}

// runningSchedule is a schedule that has begun.
type runningSchedule struct {
	Schedule
	begun time.Time
}

// State holds whether a process sends its clients away. It is safe for concurrent use, and none of its
// methods waits.
type State struct {
	evacuation  Schedule
	termination Schedule

	changing sync.Mutex // held to replace current
	current  atomic.Pointer[situation]
}

// New returns the state of a process that serves, with the schedules by which it would send its clients away.
func New(evacuation, termination Schedule) *State {
	s := &State{evacuation: evacuation, termination: termination}
	s.current.Store(&situation{changed: make(chan struct{})})
	return s
}

// Evacuate begins to send the clients away, unless that has begun already. It returns the phase from now on.
func (s *State) Evacuate(now time.Time) Phase {
	s.changing.Lock()
	defer s.changing.Unlock()
	if s.Phase() == Serving {
		s.replaceLocked(&situation{phase: Evacuating, underWay: []runningSchedule{{s.evacuation, now}}})
	}
	return s.Phase()
}

// Rejoin has an evacuated process take clients again. It returns the phase from now on.
func (s *State) Rejoin() Phase {
	s.changing.Lock()
	defer s.changing.Unlock()
	if s.Phase() == Evacuating {
		s.replaceLocked(&situation{phase: Serving})
	}
	return s.Phase()
}

// Terminate begins to send the clients away for good, unless that has begun already. An evacuation that is
// under way goes on beside it: both have to be kept.
func (s *State) Terminate(now time.Time) {
	s.changing.Lock()
	defer s.changing.Unlock()
	if s.Phase() != Terminating {
		underWay := append(slices.Clone(s.current.Load().underWay), runningSchedule{s.termination, now})
		s.replaceLocked(&situation{phase: Terminating, underWay: underWay})
	}
}

// replaceLocked changes the situation. The caller holds s.changing.
func (s *State) replaceLocked(next *situation) {
	next.changed = make(chan struct{})
	previous := s.current.Swap(next)
	close(previous.changed)
}

// Phase returns the present phase.
func (s *State) Phase() Phase { return s.current.Load().phase }

// Changed returns a channel that is closed at the next change of the phase.
func (s *State) Changed() <-chan struct{} { return s.current.Load().changed }

// Admits reports whether a request is taken that comes now and whose client waits until a deadline.
func (s *State) Admits(now, deadline time.Time) bool {
	for _, schedule := range s.current.Load().underWay {
		if !schedule.Admits(now.Sub(schedule.begun), deadline.Sub(now)) {
			return false
		}
	}
	return true
}

// Judge returns what is to be done now with a connection that was made at a time, and on which the last
// request came at another.
func (s *State) Judge(now, accepted, lastRequest time.Time) Verdict {
	verdict := Keep
	for _, schedule := range s.current.Load().underWay {
		use := Use{Accepted: accepted.Sub(schedule.begun), LastRequest: lastRequest.Sub(schedule.begun)}
		verdict = max(verdict, schedule.Judge(now.Sub(schedule.begun), use))
	}
	return verdict
}

// Evacuation returns the schedule of an evacuation.
func (s *State) Evacuation() Schedule { return s.evacuation }

// Linger returns how long after SIGTERM new connections are still taken.
func (s *State) Linger() time.Duration { return s.termination.Linger }
