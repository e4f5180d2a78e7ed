package tcpstate

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (near *net.TCPConn, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close() })
	far, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { far.Close() })
	return dialed.(*net.TCPConn), far
}

func TestWasReset(t *testing.T) {
	near, far := pair(t)
	assert.False(t, WasReset(near), "it is open")
	require.NoError(t, far.Close())
	_, err := near.Read(make([]byte, 1))
	require.Error(t, err)
	assert.False(t, WasReset(near), "it ended plainly")
	_, err = near.Write([]byte("late"))
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return WasReset(near) }, 10*time.Second, time.Millisecond)

	near, far = pair(t)
	_, err = near.Write([]byte("unread"))
	require.NoError(t, err)
	require.NoError(t, far.Close())
	assert.Eventually(t, func() bool { return WasReset(near) }, 10*time.Second, time.Millisecond)
}
