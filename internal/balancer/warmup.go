package balancer

import (
	"math"
	"time"
)

// slowStart follows a worker that is warming up after its start.
type slowStart struct {
	startedAt time.Duration
	active    bool
	sends     []time.Duration // this dispatcher's recent attempts there, while it is active
}

// warmth is the part of its capacity that a worker has for certain: from floor at its start to 1 after
// duration.
func (s *slowStart) warmth(now time.Duration, floor float64, duration time.Duration) float64 {
	if !s.active {
		return 1
	}
	age := now - s.startedAt
	if age >= duration || duration == 0 {
		s.active = false
		s.sends = nil
		return 1
	}
	return floor + (1-floor)*math.Max(0, float64(age))/float64(duration)
}
