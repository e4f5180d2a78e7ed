package tcpstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/tcptest"
)

func TestWasReset(t *testing.T) {
	local, remote := tcptest.Pair(t)
	assert.False(t, WasReset(local), "the connection is open")
	require.NoError(t, remote.Close())
	_, err := local.Read(make([]byte, 1))
	require.Error(t, err)
	assert.False(t, WasReset(local), "the peer has closed with a FIN")
	_, err = local.Write([]byte("late"))
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return WasReset(local) }, 10*time.Second, time.Millisecond)

	local, remote = tcptest.Pair(t)
	_, err = local.Write([]byte("unread"))
	require.NoError(t, err)
	require.NoError(t, remote.Close())
	assert.Eventually(t, func() bool { return WasReset(local) }, 10*time.Second, time.Millisecond)
}
