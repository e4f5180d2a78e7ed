package permit

import (
	"math"
	"slices"
	"time"
)

// LoadBudget limits load orders: in any window of length Window, there are at most Burst orders plus
// Ratio times the number of requests received in this window. It is not safe for concurrent use.
type LoadBudget struct {
	Burst  float64
	Ratio  float64
	Window time.Duration // 0: orders are not limited
	// Margin is the longest time from giving an order to its arrival at the worker. The limit applies to
	// arrivals: an order that was given up to Margin before a window may arrive in it. So orders count
	// for Margin longer than Window, and requests for Margin less.
	Margin time.Duration

	orders   []time.Duration // when the recent orders were given, sorted
	requests []time.Duration // when the recent requests were received, sorted
}

// Earn counts a request received at a time, which may be earlier than that of requests counted before.
func (b *LoadBudget) Earn(at time.Duration) {
	if b.Window == 0 {
		return
	}
	i, _ := slices.BinarySearch(b.requests, at)
	b.requests = slices.Insert(b.requests, i, at)
	b.requests = After(b.requests, at-b.Window)
}

// Take uses one order of the budget and returns Allowed, or returns BudgetSpent if none is left.
// Successive calls must not pass earlier times.
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

// LeftAt returns how many orders the budget has at a time, if no orders or requests are added until then.
// A result below 1 means that no order may be given.
func (b *LoadBudget) LeftAt(at time.Duration) float64 {
	if b.Window == 0 {
		return math.Inf(1)
	}
	orders := After(b.orders, at-b.Window-b.Margin)
	requests := After(b.requests, at-b.Window+b.Margin)
	return b.Burst + b.Ratio*float64(len(requests)) - float64(len(orders))
}

// After returns the part of a sorted list of times that is later than a bound. The result shares the list's
// memory.
func After(times []time.Duration, bound time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(times, bound+1)
	return times[i:]
}
