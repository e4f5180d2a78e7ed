package balancer

import "time"

// StartTimes translates the starts of workers, which the endpoint list tells by its own clock, into the
// balancer's time. It never looks at this machine's wall clock, which may be wrong by hours, at the start of
// the program or after a step.
//
// A start that is told has happened. So the list's clock was at least there when the balancer's clock was at
// the moment of the news, and the largest difference of the two seen so far is the best one known. A start is
// thereby never taken for earlier than it was, and a worker never for warmer than it is. It is taken for
// later by as much as the news of the latest start was late; at the start of the program, the latest start of
// the list counts as one of this moment.
//
// It relies on the list telling all starts by one clock.
type StartTimes struct {
	known  bool
	offset time.Duration // of the list's clock against the balancer's, at least
	starts map[WorkerID]translatedStart
}

// translatedStart is the last start of a worker.
type translatedStart struct {
	told    time.Duration // by the list's clock
	started time.Duration // in the balancer's time
}

// NewStartTimes returns a translation that knows no starts yet.
func NewStartTimes() *StartTimes { return &StartTimes{starts: map[WorkerID]translatedStart{}} }

// Observe takes in a start that was told at now. All starts of an update are to be observed before the first
// of them is translated. A start of 0 was long ago, and is ignored.
func (s *StartTimes) Observe(now, told time.Duration) {
	if told == 0 {
		return
	}
	if offset := told - now; !s.known || offset > s.offset {
		s.known = true
		s.offset = offset
	}
}

// Translate returns the start of a worker in the balancer's time; 0: long ago. A start that is told again
// keeps its time, and one that is told as later than the last is later.
func (s *StartTimes) Translate(id WorkerID, told time.Duration) time.Duration {
	if told == 0 {
		return 0
	}
	last := s.starts[id]
	if last.told == told {
		return last.started
	}
	started := max(told-s.offset, 1)
	if told > last.told {
		started = max(started, last.started+1)
	}
	s.starts[id] = translatedStart{told: told, started: started}
	return started
}

// Forget drops what is known of a worker that is gone.
func (s *StartTimes) Forget(id WorkerID) { delete(s.starts, id) }
