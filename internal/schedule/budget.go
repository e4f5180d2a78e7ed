package schedule

import (
	"math"
	"time"
)

// tokenBucket is a token bucket that is refilled at a fixed rate and by calls of add, up to its capacity.
type tokenBucket struct {
	rate       float64 // tokens per second
	capacity   float64
	tokens     float64
	refilledAt time.Time // tokens includes the refill up to this time
}

// newTokenBucket returns a full bucket. A capacity below 1 is raised to 1, as the bucket could otherwise never hold a
// whole token.
func newTokenBucket(rate, capacity float64, now time.Time) tokenBucket {
	capacity = max(1, capacity)
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, refilledAt: now}
}

// refill adds the tokens that the rate has yielded since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}

// add adds tokens, up to the capacity.
func (b *tokenBucket) add(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// take removes the given number of tokens if the bucket holds as many, and reports whether it did.
func (b *tokenBucket) take(now time.Time, tokens float64) bool {
	b.refill(now)
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// zeroRateWait is the wait that availableAt assumes for a bucket without a refill rate.
const zeroRateWait = time.Minute

// availableAt returns when the bucket will hold the given number of tokens if add is not called until then.
func (b *tokenBucket) availableAt(now time.Time, tokens float64) time.Time {
	b.refill(now)
	if b.tokens >= tokens {
		return now
	}
	if b.rate <= 0 {
		return now.Add(zeroRateWait)
	}
	return now.Add(time.Duration(math.Ceil((tokens - b.tokens) / b.rate * float64(time.Second))))
}

// coldStartBudget limits the rate of cold starts: runs of functions of which no copy is expected to be loaded. The number
// of tokens may fall below 0.
type coldStartBudget struct{ tokenBucket }

func newColdStartBudget(c Config, now time.Time) coldStartBudget {
	return coldStartBudget{newTokenBucket(c.ColdStartBurst/coldStartPeriod.Seconds(), c.ColdStartBurst, now)}
}

// isAtLeastHalfFull reports whether at least half of the capacity is left. If so, cold starts do not wait for a batch.
func (b *coldStartBudget) isAtLeastHalfFull(now time.Time) bool {
	b.refill(now)
	return b.tokens >= b.capacity/2
}

// allowedAt returns when the budget allows the cold start of a job. A job that expires within nearExpiry may overdraw the
// budget, to minus its capacity at most.
func (b *coldStartBudget) allowedAt(now time.Time, job *jobEntry) time.Time {
	required := 1.0
	if job.Expires.Sub(now) <= nearExpiry {
		required = 1 - b.capacity
	}
	return b.availableAt(now, required)
}

// spend charges a cold start, even if this overdraws the budget.
func (b *coldStartBudget) spend() { b.tokens-- }

// chargeUnexpectedLoad charges a load that occurred although a copy was expected to be loaded. It overdraws the budget to
// minus its capacity at most.
func (b *coldStartBudget) chargeUnexpectedLoad() {
	b.tokens = max(-b.capacity, b.tokens-1)
}
