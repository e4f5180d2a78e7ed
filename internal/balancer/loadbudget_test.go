package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadBudgetCountsPendingOrders(t *testing.T) {
	var budget loadBudget
	f := &function{}
	p := &placement{}
	budget.begin(f, p, time.Second)
	require.Equal(t, 1, budget.inFlight)
	require.Equal(t, 1, f.references, "a function with a pending order must not be forgotten")
	require.Equal(t, placement{ordered: true, orderedAt: time.Second}, *p)
	budget.end(f, p)
	require.Zero(t, budget.inFlight)
	require.Zero(t, f.references)
	require.False(t, p.ordered)
}

// Requests are counted once, at their arrival, whichever is taken first.
func TestRequestsEarnLoadsInOrderOfArrival(t *testing.T) {
	for _, test := range []struct {
		name   string
		window time.Duration
		want   []time.Duration
	}{
		{"with a budget", time.Second, []time.Duration{1, 2}},
		{"without", 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &Balancer{settings: Settings{LoadWindow: test.window}}
			early := &request{deadline: 1}
			late := &request{deadline: 2}
			b.earnLoads(late)
			b.earnLoads(early)
			b.earnLoads(late)
			require.Equal(t, test.want, b.loads.requests)
		})
	}
}
