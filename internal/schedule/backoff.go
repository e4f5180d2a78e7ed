package schedule

import (
	"math"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings keeps the bound of the backoff finite.
const maxBackoffDoublings = 30

// backoff draws the pauses between the runs of a job, with full jitter: jobs that were rejected together do not come
// back together.
type backoff struct {
	base   time.Duration
	max    time.Duration
	random *rand.Rand
}

// pause returns a random pause after so many runs, from 0 to a bound that doubles with each run.
func (b *backoff) pause(runs int) time.Duration {
	doublings := min(runs-1, maxBackoffDoublings)
	bound := float64(b.base) * math.Pow(2, float64(doublings))
	return time.Duration(b.random.Float64() * min(bound, float64(b.max)))
}
