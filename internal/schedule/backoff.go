package schedule

import (
	"math"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings caps the exponent of the backoff, so that the computed bound stays finite for any number of runs.
const maxBackoffDoublings = 30

// backoff computes the pauses between the runs of a job: exponential backoff with full jitter, so that jobs rejected at
// the same time are not all retried at the same time.
type backoff struct {
	base   time.Duration // upper bound of the pause after the first run
	max    time.Duration // upper bound of every pause
	random *rand.Rand
}

// pause returns a random pause for a job that has run the given number of times, at least 1. The pause is at least 0 and
// below a bound that doubles with each run, up to max.
func (b *backoff) pause(runs int) time.Duration {
	doublings := min(runs-1, maxBackoffDoublings)
	bound := float64(b.base) * math.Pow(2, float64(doublings))
	return time.Duration(b.random.Float64() * min(bound, float64(b.max)))
}
