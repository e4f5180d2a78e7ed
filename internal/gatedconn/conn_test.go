package gatedconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/tcptest"
)

// newPair returns both ends of a loopback connection: the client's, and the server's as a Conn with the given observer.
func newPair(t *testing.T, observe Observer) (client net.Conn, gated *Conn) {
	t.Helper()
	client, accepted := tcptest.Pair(t)
	return client, New(accepted, observe)
}

func ignoreBytes([]byte) error { return nil }

func TestReadCallsTheObserverFirst(t *testing.T) {
	var observed string
	client, gated := newPair(t, func(data []byte) error {
		observed += string(data)
		return nil
	})
	_, err := io.WriteString(client, "one two")
	require.NoError(t, err)
	buffer := make([]byte, 3)
	for _, want := range []string{"one", " tw", "o"} {
		n, err := gated.Read(buffer)
		require.NoError(t, err)
		assert.Equal(t, want, string(buffer[:n]))
	}
	assert.Equal(t, "one two", observed)
	client.Close()
	_, err = gated.Read(buffer)
	assert.Equal(t, io.EOF, err)
}

func TestReadReturnsTheObserversError(t *testing.T) {
	errObserver := errors.New("refused")
	client, gated := newPair(t, func([]byte) error { return errObserver })
	_, err := io.WriteString(client, "x")
	require.NoError(t, err)
	n, err := gated.Read(make([]byte, 8))
	assert.Zero(t, n)
	assert.Equal(t, errObserver, err)
}

func TestReadObeysDeadlinesAndClose(t *testing.T) {
	_, gated := newPair(t, ignoreBytes)
	require.NoError(t, gated.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := gated.Read(make([]byte, 8))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, gated.SetReadDeadline(time.Time{}))
	time.AfterFunc(10*time.Millisecond, func() { gated.Close() })
	_, err = gated.Read(make([]byte, 8))
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestReadReportsAReset(t *testing.T) {
	client, gated := newPair(t, ignoreBytes)
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	_, err := gated.Read(make([]byte, 8))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	var opErr *net.OpError
	require.ErrorAs(t, err, &opErr)
	assert.Equal(t, "read", opErr.Op)
}

// Bytes that arrive after reading was stopped must not be read, not even by a Read that was already waiting. Otherwise the peer
// would get no reset and could not tell that its bytes had no effect.
func TestNothingIsReadAfterReadingIsStopped(t *testing.T) {
	client, gated := newPair(t, ignoreBytes)
	read := make(chan error, 1)
	go func() { // ends when the bytes below arrive
		_, err := gated.Read(make([]byte, 8))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond) // until Read waits for data
	assert.True(t, gated.StopReadingIf(func(unread bool) bool { return !unread }))
	_, err := io.WriteString(client, "late")
	require.NoError(t, err)
	assert.ErrorIs(t, <-read, net.ErrClosed)
	assert.True(t, gated.HasUnread())
	require.NoError(t, gated.Close())
	_, err = client.Read(make([]byte, 8))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// StopReadingIf must pass on that bytes are unread. If isIdle returns false, reading must continue.
func TestStopReadingIfSeesUnreadBytes(t *testing.T) {
	client, gated := newPair(t, ignoreBytes)
	_, err := io.WriteString(client, "early")
	require.NoError(t, err)
	require.Eventually(t, gated.HasUnread, 10*time.Second, time.Millisecond)
	assert.False(t, gated.StopReadingIf(func(unread bool) bool { return !unread }))
	buffer := make([]byte, 8)
	n, err := gated.Read(buffer)
	require.NoError(t, err)
	assert.Equal(t, "early", string(buffer[:n]))
}

// Reading can also be stopped on a connection without a socket, but bytes that arrive afterwards are dropped.
func TestConnectionWithoutASocket(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	observed := ""
	gated := New(server, func(data []byte) error {
		observed += string(data)
		return nil
	})
	go io.WriteString(client, "early")
	n, err := gated.Read(make([]byte, 8))
	require.NoError(t, err)
	assert.Equal(t, len("early"), n)
	assert.True(t, gated.StopReadingIf(func(unread bool) bool { return !unread }))
	go io.WriteString(client, "late")
	_, err = gated.Read(make([]byte, 8))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, "early", observed)
}
