package balancer

import "slices"

// remove returns a copy of the list without x.
func remove[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(y T) bool { return y == x })
}

// lastN returns the end of a list, at most n entries.
func lastN[T any](list []T, n int) []T { return list[max(0, len(list)-n):] }
