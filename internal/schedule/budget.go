package schedule

import (
	"math"
	"time"
)

// tokenBucket is a token bucket that is filled at a rate and by tokens that are added.
type tokenBucket struct {
	rate     float64 // tokens per second
	capacity float64
	tokens   float64
	filledAt time.Time
}

// newTokenBucket returns a full bucket, with room for one token at least.
func newTokenBucket(rate, capacity float64, now time.Time) tokenBucket {
	capacity = max(1, capacity)
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, filledAt: now}
}

func (b *tokenBucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.rate*elapsed.Seconds())
		b.filledAt = now
	}
}

func (b *tokenBucket) add(now time.Time, tokens float64) {
	b.fill(now)
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// take takes tokens out if there are enough of them, and reports whether there were.
func (b *tokenBucket) take(now time.Time, tokens float64) bool {
	b.fill(now)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// maxRefillWait stands for the wait for tokens of a bucket that has no rate.
const maxRefillWait = time.Minute

// availableAt returns when the bucket will hold so many tokens by its rate alone.
func (b *tokenBucket) availableAt(now time.Time, tokens float64) time.Time {
	b.fill(now)
	if b.tokens >= tokens {
		return now
	}
	if b.rate <= 0 {
		return now.Add(maxRefillWait)
	}
	return now.Add(time.Duration(math.Ceil((tokens - b.tokens) / b.rate * float64(time.Second))))
}

// coldStartBudget bounds how many runs of functions without a loaded copy are started. It may be overdrawn.
type coldStartBudget struct{ tokenBucket }

func newColdStartBudget(c Config, now time.Time) coldStartBudget {
	return coldStartBudget{newTokenBucket(c.ColdStartBurst/coldStartPeriod.Seconds(), c.ColdStartBurst, now)}
}

// isAmple reports whether cold starts are not scarce.
func (b *coldStartBudget) isAmple(now time.Time) bool {
	b.fill(now)
	return b.tokens >= b.capacity/2
}

// allowedAt returns when the cold start of a job is allowed. One whose deadline is near may overdraw the budget.
func (b *coldStartBudget) allowedAt(now time.Time, job *entry) time.Time {
	required := 1.0
	if job.Expires.Sub(now) <= nearExpiry {
		required = 1 - b.capacity
	}
	return b.availableAt(now, required)
}

// spend charges a cold start.
func (b *coldStartBudget) spend() { b.tokens-- }

// chargeUnexpected charges a load that was not expected, down to a bound.
func (b *coldStartBudget) chargeUnexpected() {
	b.tokens = max(-b.capacity, b.tokens-1)
}
