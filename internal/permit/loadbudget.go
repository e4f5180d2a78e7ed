package permit

import (
	"math"
	"slices"
	"time"
)

// LoadBudget bounds load orders: of any window, the orders number at most Burst plus Ratio times the requests
// that were taken in it. It is not safe for concurrent use.
type LoadBudget struct {
	Burst  float64
	Ratio  float64
	Window time.Duration // 0: orders are not bounded
	// Margin is how long an order may be on its way. The budget is judged by arrivals, so that an order which
	// was given this long before the window may fall into it, and a request of its first part may have left it.
	Margin time.Duration

	orders   []time.Duration // recent ones, sorted
	requests []time.Duration // recent ones that earn orders, sorted
}

// Earn counts a request that was taken at a time, which may lie before earlier ones.
func (b *LoadBudget) Earn(at time.Duration) {
	if b.Window == 0 {
		return
	}
	i, _ := slices.BinarySearch(b.requests, at)
	b.requests = slices.Insert(b.requests, i, at)
	b.requests = After(b.requests, at-b.Window)
}

// Take takes one order from the budget and returns Allowed, or BudgetSpent. Times must not go back.
func (b *LoadBudget) Take(now time.Duration) Reason {
	if b.Window == 0 {
		return Allowed
	}
	b.orders = After(b.orders, now-b.Window-b.Margin)
	b.requests = After(b.requests, now-b.Window+b.Margin)
	limit := b.Burst + b.Ratio*float64(len(b.requests))
	if float64(len(b.orders)+1) > limit {
		return BudgetSpent
	}
	b.orders = append(b.orders, now)
	return Allowed
}

// LeftAt returns how many orders could be given at a later time if there were none until then, and no more
// requests; fewer than one: none.
func (b *LoadBudget) LeftAt(at time.Duration) float64 {
	if b.Window == 0 {
		return math.Inf(1)
	}
	orders := After(b.orders, at-b.Window-b.Margin)
	requests := After(b.requests, at-b.Window+b.Margin)
	return b.Burst + b.Ratio*float64(len(requests)) - float64(len(orders))
}

// After returns the times later than a bound, of times that are sorted. The result shares their memory.
func After(times []time.Duration, bound time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, bound+1)
	return times[i:]
}
