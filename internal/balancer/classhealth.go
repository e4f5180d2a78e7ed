package balancer

import (
	"math"
	"time"
)

// classHealth is how a worker treats one class of requests.
type classHealth struct {
	lastOK         time.Duration
	failureScore   float64       // evidence that it fails more than the fleet does
	rejectedInARow int           // requests rejected since the last answer, which halves it
	ejectedUntil   time.Duration // no request of the class before this
}

// failureTest is a sequential test of whether a worker fails more than the fleet: Page's cumulated sum of log
// likelihood ratios, of a worker that fails at the high rate against one that fails at the usual rate.
type failureTest struct {
	failure float64 // evidence of one failure, above zero
	success float64 // evidence of one success, below zero
}

// newFailureTest tests for a failure rate above the usual one by an excess, bounded by maxRate.
func newFailureTest(usualRate, excess, maxRate float64) failureTest {
	highRate := math.Min(usualRate+excess, maxRate)
	return failureTest{
		failure: math.Log(highRate / usualRate),
		success: math.Log((1 - highRate) / (1 - usualRate)),
	}
}

// addFailure adds evidence of a failure, by its severity between 0 and 1. A score above the limit counts as
// that.
func (c *classHealth) addFailure(test failureTest, limit, severity float64) {
	c.failureScore = math.Min(c.failureScore, limit) + severity*test.failure
}

// addResult adds evidence of a result that counts as a failure by its severity, and else as a success.
func (c *classHealth) addResult(test failureTest, limit, severity float64) {
	score := math.Min(c.failureScore, limit) + severity*test.failure + (1-severity)*test.success
	c.failureScore = math.Max(0, score)
}
