package balancer

import (
	"math"
	"time"
)

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	value     float64       // as of updatedAt
	updatedAt time.Duration // time of the last add
}

// add decays the count from its last update to now with the time constant, adds x and returns the result.
func (d *decayingCount) add(now time.Duration, x float64, timeConstant time.Duration) float64 {
	d.value = d.value*math.Exp(-float64(now-d.updatedAt)/float64(timeConstant)) + x
	d.updatedAt = now
	return d.value
}

// updateMean moves a running mean towards a sample by weight, a fraction of the difference.
func updateMean(mean *float64, sample, weight float64) { *mean += (sample - *mean) * weight }

// updateOrStartMean is like updateMean, but a mean of 0 counts as unset and is replaced by the sample.
func updateOrStartMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		weight = 1
	}
	updateMean(mean, sample, weight)
}

// seconds converts a number of seconds to a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// tokenBucket holds between zero and limit tokens, including fractions of tokens.
type tokenBucket struct{ tokens, limit float64 }

// add adds tokens, up to the limit.
func (b *tokenBucket) add(tokens float64) { b.tokens = math.Min(b.limit, b.tokens+tokens) }

// available reports whether the bucket holds at least one whole token.
func (b *tokenBucket) available() bool { return b.tokens >= 1 }

// take removes one token and returns true. If the bucket holds less than one token, take empties the
// bucket and returns false.
func (b *tokenBucket) take() bool {
	enough := b.available()
	b.tokens = math.Max(0, b.tokens-1)
	return enough
}
