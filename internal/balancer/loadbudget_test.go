package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/permit"
)

func TestLoadBudgetCountsPendingOrders(t *testing.T) {
	var budget loadBudget
	f := &function{}
	p := &placement{}
	budget.orderSent(f, p, time.Second)
	require.Equal(t, 1, budget.inFlight)
	require.Equal(t, 1, f.references, "a function with a pending order must not be forgotten")
	require.Equal(t, placement{orderPending: true, orderedAt: time.Second}, *p)
	budget.orderEnded(f, p)
	require.Zero(t, budget.inFlight)
	require.Zero(t, f.references)
	require.False(t, p.orderPending)
}

// A request is credited to the load budget once, even if workers accept several of its attempts.
func TestRequestEarnsLoadsOnce(t *testing.T) {
	b := &Balancer{loads: newLoadBudget(Settings{LoadWindow: time.Second, LoadRatio: 1})}
	r := &request{deadline: 1}
	b.creditLoadBudget(r)
	b.creditLoadBudget(r)
	require.Equal(t, permit.Allowed, b.loads.budget.Take(2))
	require.Equal(t, permit.BudgetSpent, b.loads.budget.Take(2))
}
