package balancer

import (
	"math"
	"time"
)

// classHealth holds a worker's record with one class of requests.
type classHealth struct {
	lastAnswerAt          time.Duration // time of the last answer
	failureScore          float64       // sum of the failure test; it is high for an outlier
	consecutiveRejections int           // consecutive rejections; an answer halves the count
	ejectedUntil          time.Duration // the worker gets no request of the class before this time
}

// failureTest is a sequential test of whether a worker fails more requests than the fleet. It is Page's
// CUSUM test: a cumulative sum of log-likelihood ratios of a high failure rate against the usual one.
type failureTest struct {
	failure float64 // log-likelihood ratio of one failure, above zero
	success float64 // log-likelihood ratio of one success, below zero
}

// newFailureTest returns the test for a failure rate of usualRate plus excess, or of maxRate if that is
// lower.
func newFailureTest(usualRate, excess, maxRate float64) failureTest {
	highRate := math.Min(usualRate+excess, maxRate)
	return failureTest{
		failure: math.Log(highRate / usualRate),
		success: math.Log((1 - highRate) / (1 - usualRate)),
	}
}

// addFailure adds a failure to the score, multiplied by its severity from 0 to 1. A score above the limit is
// first lowered to the limit.
func (c *classHealth) addFailure(test failureTest, limit, severity float64) {
	c.failureScore = math.Min(c.failureScore, limit) + severity*test.failure
}

// addResult adds a result to the score: severity, from 0 to 1, is the part that counts as a failure, and the
// rest counts as a success. A score above the limit is first lowered to the limit.
func (c *classHealth) addResult(test failureTest, limit, severity float64) {
	score := math.Min(c.failureScore, limit) + severity*test.failure + (1-severity)*test.success
	c.failureScore = math.Max(0, score)
}
