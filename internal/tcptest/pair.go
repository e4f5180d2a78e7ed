// Package tcptest provides helpers for tests of TCP connections.
package tcptest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Pair returns both ends of a loopback connection. They are closed at the end of the test.
func Pair(t testing.TB) (dialed *net.TCPConn, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	accepted, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return conn.(*net.TCPConn), accepted
}
