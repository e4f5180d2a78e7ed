package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEjectionStartsOnce(t *testing.T) {
	var e ejection
	e.start(time.Second, 100*ms)
	e.start(2*time.Second, time.Hour)
	require.Equal(t, ejection{active: true, probeAt: 1100 * ms, backoff: 100 * ms}, e)
}

func TestProbesOfAnEjectionBackOffToALimit(t *testing.T) {
	var e ejection
	e.start(0, 100*ms)
	for _, want := range []time.Duration{200 * ms, 400 * ms, 500 * ms, 500 * ms} {
		e.postponeProbe(time.Second, 500*ms)
		require.Equal(t, time.Second+want, e.probeAt)
	}
	e.end()
	require.False(t, e.active)
	require.Zero(t, e.backoff)
}
