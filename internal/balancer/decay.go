package balancer

import (
	"math"
	"time"
)

// decayingCount is a count that decays exponentially with a time constant.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

// add decays the count up to now, adds x and returns the result.
func (d *decayingCount) add(now time.Duration, x float64, timeConstant time.Duration) float64 {
	d.value = d.value*math.Exp(-float64(now-d.updatedAt)/float64(timeConstant)) + x
	d.updatedAt = now
	return d.value
}

// updateMean moves a running mean towards a sample by the sample's weight.
func updateMean(mean *float64, sample, weight float64) { *mean += (sample - *mean) * weight }

// updateOrStartMean is updateMean, but the first sample becomes the mean.
func updateOrStartMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		weight = 1
	}
	updateMean(mean, sample, weight)
}

// seconds converts a number of seconds to a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// tokenBucket holds a number of tokens between zero and a limit.
type tokenBucket struct{ tokens, limit float64 }

func (b *tokenBucket) add(tokens float64) { b.tokens = math.Min(b.limit, b.tokens+tokens) }

func (b *tokenBucket) available() bool { return b.tokens >= 1 }

// take removes one token. Without a whole one it empties the bucket and returns false.
func (b *tokenBucket) take() bool {
	enough := b.available()
	b.tokens = math.Max(0, b.tokens-1)
	return enough
}
