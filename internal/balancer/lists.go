package balancer

import "slices"

// remove returns a copy of the list without x.
func remove[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(y T) bool { return y == x })
}

// lastN returns the last n entries of a list, or all if there are fewer. The result shares the list's memory.
func lastN[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }
