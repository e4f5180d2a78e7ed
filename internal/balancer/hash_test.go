package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// rendezvousKey takes the logarithm of the result, so it must not be 0.
func TestUnitIntervalIsAboveZeroAndAtMostOne(t *testing.T) {
	require.Greater(t, unitInterval(0), 0.0)
	require.LessOrEqual(t, unitInterval(^uint64(0)), 1.0)
}

// A worker with three times the weight of another one comes first for three times as many functions.
func TestRendezvousKeyFollowsWeight(t *testing.T) {
	light, heavy := hashString("light"), hashString("heavy")
	const functions = 4000
	wins := 0
	for i := range functions {
		function := hashString(fmt.Sprint("function", i))
		if rendezvousKey(function, heavy, 3) < rendezvousKey(function, light, 1) {
			wins++
		}
	}
	require.InDelta(t, 0.75, float64(wins)/functions, 0.03)
}
