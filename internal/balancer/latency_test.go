package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLatencyRatio(t *testing.T) {
	pending := func(age time.Duration, expected float64) []*attempt {
		return []*attempt{{sentAt: time.Second - age, expected: expected}}
	}
	for _, test := range []struct {
		name     string
		answer   float64
		expected float64
		pending  []*attempt
		want     float64
	}{
		{"prior only", 0, 0, nil, 1},
		{"as expected", 2, 2, nil, 1},
		{"slow", 5, 1, nil, 3},
		{"fast", 0, 1, nil, 0.5},
		{"pending, not overdue", 0, 0, pending(500*ms, 1), 1},
		{"pending, overdue", 0, 0, pending(800*ms, 0.2), 1.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := newLatencyHistory()
			history.add(time.Second, test.answer, test.expected, time.Second)
			require.InDelta(t, test.want, history.ratio(time.Second, 1, time.Second, test.pending), 1e-9)
		})
	}
}
