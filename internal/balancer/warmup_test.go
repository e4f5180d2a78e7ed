package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWarmthGrowsFromFloorToOne(t *testing.T) {
	for _, test := range []struct {
		name       string
		now        time.Duration
		duration   time.Duration
		want       float64
		wantActive bool
	}{
		{"before the start", 0, 10 * time.Second, 0.2, true},
		{"at the start", time.Second, 10 * time.Second, 0.2, true},
		{"half way", 6 * time.Second, 10 * time.Second, 0.6, true},
		{"warm", 11 * time.Second, 10 * time.Second, 1, false},
		{"no slow start", time.Second, 0, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := slowStart{startedAt: time.Second, active: true, recentSends: []time.Duration{time.Second}}
			require.InDelta(t, test.want, s.warmth(test.now, 0.2, test.duration), 1e-9)
			require.Equal(t, test.wantActive, s.active)
			require.Equal(t, test.wantActive, s.recentSends != nil)
		})
	}
	require.Equal(t, 1.0, new(slowStart).warmth(0, 0.2, time.Second), "a worker that is not warming up has warmth 1")
}
