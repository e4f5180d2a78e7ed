package tcpstate

import (
	"io"
	"net"
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

// deliveryOf returns the delivery state of a connection, which must be available.
func deliveryOf(t *testing.T, conn *net.TCPConn) Delivery {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	delivery, ok := ReadDelivery(raw)
	require.True(t, ok)
	return delivery
}

// A peer that does not read takes as much as its receive buffer holds, and the rest once it reads. The end of the stream counts as
// unacknowledged until the peer's kernel has acknowledged it.
func TestReadDelivery(t *testing.T) {
	local, remote := tcptest.Pair(t)
	assert.False(t, deliveryOf(t, local).Unacknowledged, "nothing was written")
	const size = 16 << 20
	go local.Write(make([]byte, size))
	require.Eventually(t, func() bool { return deliveryOf(t, local).Unsent }, 10*time.Second, time.Millisecond)
	partly := deliveryOf(t, local)
	assert.True(t, partly.Unacknowledged)
	assert.Less(t, partly.Acknowledged, uint64(size))
	_, err := io.ReadFull(remote, make([]byte, size))
	require.NoError(t, err)
	require.NoError(t, local.CloseWrite())
	require.Eventually(t, func() bool { return !deliveryOf(t, local).Unacknowledged }, 10*time.Second, time.Millisecond)
	assert.False(t, deliveryOf(t, local).Unsent)
	require.NoError(t, remote.Close())
	raw, err := local.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, ok := ReadDelivery(raw); return !ok }, 10*time.Second, time.Millisecond,
		"the connection has ended in both directions")
}

// A close of the peer is known although bytes that it has sent before are unread.
func TestPeerHasClosed(t *testing.T) {
	for name, reset := range map[string]bool{"close": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			local, remote := tcptest.Pair(t)
			raw, err := local.SyscallConn()
			require.NoError(t, err)
			_, err = remote.Write([]byte("unread"))
			require.NoError(t, err)
			assert.False(t, PeerHasClosed(raw), "the connection is open")
			if reset {
				require.NoError(t, remote.(*net.TCPConn).SetLinger(0))
			}
			require.NoError(t, remote.Close())
			assert.Eventually(t, func() bool { return PeerHasClosed(raw) }, 10*time.Second, time.Millisecond)
		})
	}
}

// The end of this side's own stream is no close of the peer.
func TestPeerHasNotClosedAfterCloseWrite(t *testing.T) {
	local, remote := tcptest.Pair(t)
	require.NoError(t, local.CloseWrite())
	_, err := io.ReadAll(remote)
	require.NoError(t, err)
	raw, err := local.SyscallConn()
	require.NoError(t, err)
	assert.False(t, PeerHasClosed(raw))
}
