package balancer

import (
	"slices"
	"time"
)

// remove returns a copy of the list without x.
func remove[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(y T) bool { return y == x })
}

// after drops the times at or before since from a sorted list.
func after(times []time.Duration, since time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= since {
		times = times[1:]
	}
	return times
}

// lastN returns the end of a list, at most n entries.
func lastN[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }
