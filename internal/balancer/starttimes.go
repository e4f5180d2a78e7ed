package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// StartTimes translates the starts of workers, which the endpoint list tells by other clocks, into the
// balancer's time. It never looks at this machine's wall clock, which may be wrong by hours, at the start of
// the program or after a step.
//
// A start that is told has happened. So the list's clock was at least there when the balancer's clock was at
// the moment of the news, and the largest difference of the two seen so far is the best one known. While the
// list's clock runs true, a start is thereby never taken for earlier than it was, and a worker never for
// warmer than it is. It is taken for later by as much as the news of the latest start was late; in the first
// list, the latest start counts as one of this moment.
//
// Should the list's clock be wrong, or not be one clock, then the age of a worker that starts while the list
// is followed is still at most permit.MaxNotificationDelay when the news comes.
type StartTimes struct {
	hasList   bool          // the first list was taken in
	hasOffset bool          // a start was told
	offset    time.Duration // of the list's clock against the balancer's, at least
	starts    map[WorkerID]translatedStart
}

// ReportedStart is a start as the endpoint list tells it.
type ReportedStart struct {
	ID   WorkerID
	Time time.Duration // by the list's clock; 0: long ago
}

// translatedStart is the last start of a worker.
type translatedStart struct {
	told    time.Duration // by the list's clock
	started time.Duration // in the balancer's time
}

// NewStartTimes returns a translation that knows no list yet.
func NewStartTimes() *StartTimes { return &StartTimes{starts: map[WorkerID]translatedStart{}} }

// Translate takes in the starts of an update that comes at now, and returns them in the balancer's time, in
// the same order; 0: long ago. A start that is told again keeps its time; one that is told with another time
// is a new start, which is later.
func (s *StartTimes) Translate(now time.Duration, told []ReportedStart) []time.Duration {
	for _, t := range told {
		if t.Time > 0 && (!s.hasOffset || t.Time-now > s.offset) {
			s.hasOffset = true
			s.offset = t.Time - now
		}
	}
	started := make([]time.Duration, 0, len(told))
	for _, t := range told {
		started = append(started, s.translateOne(now, t))
	}
	s.hasList = true
	return started
}

func (s *StartTimes) translateOne(now time.Duration, t ReportedStart) time.Duration {
	if t.Time <= 0 {
		return 0
	}
	last, known := s.starts[t.ID]
	if known && last.told == t.Time {
		return last.started
	}
	started := max(t.Time-s.offset, 1)
	if s.hasList {
		started = max(started, now-permit.MaxNotificationDelay)
	}
	if known {
		started = max(started, last.started+1)
	}
	s.starts[t.ID] = translatedStart{told: t.Time, started: started}
	return started
}

// Forget drops what is known of a worker that is gone.
func (s *StartTimes) Forget(id WorkerID) { delete(s.starts, id) }
