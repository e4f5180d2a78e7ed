package drain

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Phase is whether and why a process drains its clients.
type Phase int

// Phases. Terminating is final.
const (
	Serving     Phase = iota // clients are served as usual
	Evacuating               // draining at the request of operators, who can cancel it with Rejoin
	Terminating              // draining after SIGTERM or an interrupt
)

var phaseNames = [...]string{Serving: "serving", Evacuating: "evacuating", Terminating: "terminating"}

// String returns the name of the phase in log lines.
func (p Phase) String() string { return phaseNames[p] }

// snapshot holds a phase and the schedules in progress. It is immutable.
type snapshot struct {
	phase   Phase
	running []runningSchedule
	changed chan struct{} // closed when this snapshot is replaced
}

// runningSchedule is a schedule in progress.
type runningSchedule struct {
	Schedule
	start time.Time
}

// State holds the drain phase of a process and the schedules in progress. It is safe for concurrent use, and
// none of its methods waits for an event.
type State struct {
	evacuation  Schedule
	termination Schedule

	updating sync.Mutex // held while current is replaced
	current  atomic.Pointer[snapshot]
}

// New returns a state in the phase Serving, with the schedules for an evacuation and a termination.
func New(evacuation, termination Schedule) *State {
	s := &State{evacuation: evacuation, termination: termination}
	s.current.Store(&snapshot{changed: make(chan struct{})})
	return s
}

// Evacuate starts an evacuation, unless a drain is in progress. It returns the resulting phase.
func (s *State) Evacuate(now time.Time) Phase {
	s.updating.Lock()
	defer s.updating.Unlock()
	if s.Phase() == Serving {
		s.replaceLocked(&snapshot{phase: Evacuating, running: []runningSchedule{{s.evacuation, now}}})
	}
	return s.Phase()
}

// Rejoin ends an evacuation, so that the process serves clients again. It returns the resulting phase.
func (s *State) Rejoin() Phase {
	s.updating.Lock()
	defer s.updating.Unlock()
	if s.Phase() == Evacuating {
		s.replaceLocked(&snapshot{phase: Serving})
	}
	return s.Phase()
}

// Terminate starts the final drain, unless it has started already. The schedule of an evacuation in progress
// stays in force: the limits of both schedules must be met.
func (s *State) Terminate(now time.Time) {
	s.updating.Lock()
	defer s.updating.Unlock()
	if s.Phase() != Terminating {
		running := append(slices.Clone(s.current.Load().running), runningSchedule{s.termination, now})
		s.replaceLocked(&snapshot{phase: Terminating, running: running})
	}
}

// replaceLocked replaces the current snapshot. The caller holds s.updating.
func (s *State) replaceLocked(next *snapshot) {
	next.changed = make(chan struct{})
	previous := s.current.Swap(next)
	close(previous.changed)
}

// Phase returns the current phase.
func (s *State) Phase() Phase { return s.current.Load().phase }

// Changed returns a channel that is closed at the next change of the phase.
func (s *State) Changed() <-chan struct{} { return s.current.Load().changed }

// Admits reports whether to accept a request that arrives at now and has the given deadline.
func (s *State) Admits(now, deadline time.Time) bool {
	for _, schedule := range s.current.Load().running {
		if !schedule.Admits(now.Sub(schedule.start), deadline.Sub(now)) {
			return false
		}
	}
	return true
}

// ActionFor returns what to do at now with a connection that was accepted at accepted and whose last request
// arrived at lastRequest.
func (s *State) ActionFor(now, accepted, lastRequest time.Time) Action {
	action := Keep
	for _, schedule := range s.current.Load().running {
		times := ConnTimes{Accepted: accepted.Sub(schedule.start), LastRequest: lastRequest.Sub(schedule.start)}
		action = max(action, schedule.ActionFor(now.Sub(schedule.start), times))
	}
	return action
}

// Times holds when the steps of the drains in progress are due. With two drains in progress, a step is due at
// the earlier of its two times.
type Times struct {
	RejectFrom time.Time // from then on, requests are no longer accepted
	AnswerBy   time.Time // all accepted requests have been answered
}

// Times returns when the steps of the drains in progress are due, and reports whether a drain is in progress.
func (s *State) Times() (times Times, draining bool) {
	for _, schedule := range s.current.Load().running {
		next := Times{
			RejectFrom: schedule.start.Add(schedule.AcceptAllFor),
			AnswerBy:   schedule.start.Add(schedule.AnswerBy),
		}
		if !draining {
			times, draining = next, true
			continue
		}
		times.RejectFrom = earlier(times.RejectFrom, next.RejectFrom)
		times.AnswerBy = earlier(times.AnswerBy, next.AnswerBy)
	}
	return times, draining
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Termination returns the schedule that starts at SIGTERM.
func (s *State) Termination() Schedule { return s.termination }
