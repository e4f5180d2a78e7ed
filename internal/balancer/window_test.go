package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConcurrencyWindowIncreasesByOnePerWindowOfSuccesses(t *testing.T) {
	w := concurrencyWindow{size: 4}
	for range 4 {
		w.increase()
	}
	require.InDelta(t, 5, w.size, 0.1)
	require.False(t, w.full(4))
	require.True(t, w.full(5))
}

func TestConcurrencyWindowDecreasesOncePerInterval(t *testing.T) {
	for _, test := range []struct {
		name string
		now  time.Duration
		want float64
	}{
		{"within the interval", 1900 * ms, 8},
		{"at the end of the interval", 2 * time.Second, 8},
		{"after the interval", 2001 * ms, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := concurrencyWindow{size: 8, decreasedAt: time.Second}
			w.decrease(test.now, time.Second, 4)
			require.Equal(t, test.want, w.size)
		})
	}
}
