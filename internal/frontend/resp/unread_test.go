package resp

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
	"kitefall/internal/drain"
)

// tcpPair returns both ends of a connection over loopback.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	return client, server
}

// A request that waits unread in the socket, since the machine is busy, is not thrown away with its connection when clients
// are sent away; where others need the place, or it takes too long, it is.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	for reason, kept := range map[closeReason]bool{closedWhenDraining: true, closedForRoom: false, closedTimedOut: false} {
		client, accepted := tcpPair(t)
		s := &Server{DrainState: drain.New(drain.Schedule{}, drain.Schedule{}), descriptors: descriptors.NewShare(4)}
		s.init()
		require.True(t, s.descriptors.TryAcquire())
		conn := s.track(accepted)
		_, err := client.Write([]byte(checkRequest))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return hasUnread(accepted) }, 10*time.Second, time.Millisecond)
		assert.Equal(t, !kept, conn.closeIfIdle(reason), reason)
		if kept {
			_, err = conn.Read(make([]byte, 4096))
			require.NoError(t, err)
			assert.False(t, conn.closeIfIdle(reason), "read whole, and not looked at yet")
			conn.unhandled.Add(-1)
			assert.True(t, conn.closeIfIdle(reason))
		}
		assert.Zero(t, s.ActiveConns())
		assert.Zero(t, s.descriptors.InUse(), "closed, and given back")
	}
}
