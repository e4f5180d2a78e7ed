package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// StartTimes translates the start times of workers from the clock of the endpoint list to the balancer's
// clock. It never uses this machine's wall clock, which may be wrong by hours when the program starts or
// after a step.
//
// A start that the list reports has already happened. So when the report arrives, the list's clock shows
// at least the reported time. The largest difference between a reported time and the balancer's time of
// the report so far is therefore the best lower bound of the offset between the two clocks. While the
// list's clock runs correctly, a translated start is never earlier than the real one, and no worker is
// taken for warmer than it is. The translated start is too late by the delay of the report that
// determined the offset. In the first list, the latest start is taken to be at the present time.
//
// If the list's clock is wrong, or the list's times come from different clocks, then the age of a worker
// that starts while the list is followed is still taken to be at most permit.MaxNotificationDelay when
// the report arrives.
type StartTimes struct {
	hasList   bool          // the first list was translated
	hasOffset bool          // at least one start was reported
	offset    time.Duration // lower bound of the list's clock minus the balancer's clock
	starts    map[WorkerID]translatedStart
}

// ReportedStart is the start of a worker as the endpoint list reports it.
type ReportedStart struct {
	ID   WorkerID
	Time time.Duration // by the list's clock; 0 means long ago
}

// translatedStart is the last start of a worker, by both clocks.
type translatedStart struct {
	reported time.Duration // by the list's clock
	started  time.Duration // by the balancer's clock
}

// NewStartTimes returns a StartTimes that has not seen a list yet.
func NewStartTimes() *StartTimes { return &StartTimes{starts: map[WorkerID]translatedStart{}} }

// Translate returns the starts of an update that arrives at now by the balancer's clock, in the same
// order. 0 means long ago. A start that is reported again with the same time keeps its translation. If
// another time is reported for a worker, this is a new start, and its translation is later than that of
// the last one.
func (s *StartTimes) Translate(now time.Duration, reported []ReportedStart) []time.Duration {
	for _, t := range reported {
		if t.Time > 0 && (!s.hasOffset || t.Time-now > s.offset) {
			s.hasOffset = true
			s.offset = t.Time - now
		}
	}
	started := make([]time.Duration, 0, len(reported))
	for _, t := range reported {
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
	if known && last.reported == t.Time {
		return last.started
	}
	started := max(t.Time-s.offset, 1)
	if s.hasList {
		started = max(started, now-permit.MaxNotificationDelay)
	}
	if known {
		started = max(started, last.started+1)
	}
	s.starts[t.ID] = translatedStart{reported: t.Time, started: started}
	return started
}

// Forget drops the last start of a worker that has left.
func (s *StartTimes) Forget(id WorkerID) { delete(s.starts, id) }
