package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLists(t *testing.T) {
	list := []int{1, 2, 3}
	require.Equal(t, []int{1, 3}, remove(list, 2))
	require.Equal(t, []int{1, 2, 3}, list, "remove must not change the list that it copies")
	require.Equal(t, []int{2, 3}, lastN(list, 2))
	require.Equal(t, list, lastN(list, 5))
}
