package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecayingCountDecaysToOneEthInItsTimeConstant(t *testing.T) {
	var count decayingCount
	count.add(0, 4, time.Second)
	require.InDelta(t, 4/math.E, count.add(time.Second, 0, time.Second), 1e-9)
	require.InDelta(t, 4/math.E/math.E+1, count.add(2*time.Second, 1, time.Second), 1e-9)
}

func TestRunningMeans(t *testing.T) {
	mean := 10.0
	updateMean(&mean, 20, 0.1)
	require.InDelta(t, 11, mean, 1e-9)
	updateOrStartMean(&mean, 21, 0.1)
	require.InDelta(t, 12, mean, 1e-9)
	mean = 0
	updateOrStartMean(&mean, 7, 0.1)
	require.InDelta(t, 7, mean, 1e-9)
}

func TestTokenBucket(t *testing.T) {
	for _, test := range []struct {
		name       string
		tokens     float64
		want       bool
		wantTokens float64
	}{
		{"a whole token", 1, true, 0},
		{"more than one", 2.5, true, 1.5},
		{"less than one", 0.9, false, 0},
		{"no tokens", 0, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			bucket := tokenBucket{tokens: test.tokens, limit: 3}
			require.Equal(t, test.want, bucket.available())
			require.Equal(t, test.want, bucket.take())
			require.Equal(t, test.wantTokens, bucket.tokens)
		})
	}
	bucket := tokenBucket{tokens: 2.9, limit: 3}
	bucket.add(0.2)
	require.Equal(t, 3.0, bucket.tokens)
}
