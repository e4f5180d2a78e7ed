package balancer

import (
	"math"
	"time"
)

// slowStart holds the warm-up of a worker after its start.
type slowStart struct {
	startedAt   time.Duration
	active      bool            // the worker is still warming up
	recentSends []time.Duration // times of this dispatcher's recent attempts at the worker, while active
}

// warmth returns the part of its capacity that a worker has at least. It rises linearly from floor at the
// start to 1 after duration, and ends the warm-up there.
func (s *slowStart) warmth(now time.Duration, floor float64, duration time.Duration) float64 {
	if !s.active {
		return 1
	}
	age := now - s.startedAt
	if age >= duration || duration == 0 {
		s.active = false
		s.recentSends = nil
		return 1
	}
	return floor + (1-floor)*math.Max(0, float64(age))/float64(duration)
}
