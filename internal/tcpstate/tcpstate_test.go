package tcpstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/tcptest"
)

func TestWasReset(t *testing.T) {
	near, far := tcptest.Pair(t)
	assert.False(t, WasReset(near), "it is open")
	require.NoError(t, far.Close())
	_, err := near.Read(make([]byte, 1))
	require.Error(t, err)
	assert.False(t, WasReset(near), "it ended plainly")
	_, err = near.Write([]byte("late"))
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return WasReset(near) }, 10*time.Second, time.Millisecond)

	near, far = tcptest.Pair(t)
	_, err = near.Write([]byte("unread"))
	require.NoError(t, err)
	require.NoError(t, far.Close())
	assert.Eventually(t, func() bool { return WasReset(near) }, 10*time.Second, time.Millisecond)
}
