// Package tcptest provides helpers for tests of TCP connections.
package tcptest

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// DialWithReadBuffer connects to an address with a receive buffer of the given number of bytes, and so with a receive window of at
// most that size. The connection is closed at the end of the test.
func DialWithReadBuffer(t testing.TB, addr string, bytes int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		return errors.Join(err, controlErr)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

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
