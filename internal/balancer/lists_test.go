package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLists(t *testing.T) {
	list := []int{1, 2, 3}
	require.Equal(t, []int{1, 3}, remove(list, 2))
	require.Equal(t, []int{1, 2, 3}, list, "the list itself must stay")
	require.Equal(t, []int{2, 3}, lastN(list, 2))
	require.Equal(t, list, lastN(list, 5))
	times := []time.Duration{1, 2, 2, 3}
	require.Equal(t, []time.Duration{3}, after(times, 2))
	require.Empty(t, after(times, 3))
}
