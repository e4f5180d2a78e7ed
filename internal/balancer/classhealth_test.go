package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFailureTestWeighsFailuresAgainstSuccesses(t *testing.T) {
	test := newFailureTest(0.1, 0.3, 0.99)
	require.InDelta(t, math.Log(4), test.failure, 1e-9)
	require.InDelta(t, math.Log(0.6/0.9), test.success, 1e-9)
	bounded := newFailureTest(0.9, 0.3, 0.99)
	require.InDelta(t, math.Log(1.1), bounded.failure, 1e-9)
}

func TestFailureScoreStaysBetweenZeroAndOneFailureAboveTheLimit(t *testing.T) {
	const limit = 2.0
	test := failureTest{failure: 1.5, success: -0.4}
	var health classHealth
	for _, step := range []struct {
		severity float64
		want     float64
	}{
		{0, 0}, // the score is never negative
		{1, 1.5},
		{0, 1.1},
		{1, 2.6},
		{1, 3.5}, // a failure is added to the limit where the score is above it
		{0, 1.6}, // a success is added to the limit as well
		{0.5, 2.15},
	} {
		health.addResult(test, limit, step.severity)
		require.InDelta(t, step.want, health.failureScore, 1e-9)
	}
	health.addFailure(test, limit, 0.5)
	require.InDelta(t, 2.75, health.failureScore, 1e-9)
}
