package linger_test

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/linger"
)

// Sizes of answers, in bytes.
const (
	longAnswer    = 230_000  // the kernel takes it whole
	longestAnswer = 16 << 20 // the kernel takes a part of it until the peer reads
)

// slowReadBuffer is the size of the receive buffer of a peer that takes nearly nothing of longAnswer before it reads, in bytes.
const slowReadBuffer = 32 << 10

// connect returns both ends of a connection that is accepted through the listeners of a group.
func connect(t *testing.T, group *linger.Group) (client *net.TCPConn, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer))
	accepted, err = group.Listener(linger.Deliver(ln)).Accept()
	require.NoError(t, err)
	return conn.(*net.TCPConn), accepted
}

// A connection is closed while its peer has read nothing of an answer, and the peer sends on. It must get the whole answer, and
// what it has sent must not be read any more.
func TestCloseDeliversWhatWasWritten(t *testing.T) {
	group := &linger.Group{}
	client, accepted := connect(t, group)
	deadline := time.Now().Add(20 * time.Second)
	require.NoError(t, accepted.SetDeadline(deadline))
	require.NoError(t, client.SetDeadline(deadline))
	_, err := accepted.Write(make([]byte, longAnswer))
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	require.NoError(t, accepted.Close(), "a second close has no effect")
	_, err = client.Write([]byte("late"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 4))
	assert.ErrorIs(t, err, net.ErrClosed)
	answer, err := io.ReadAll(client)
	assert.Len(t, answer, longAnswer)
	if err != nil { // the socket was closed with the late bytes unread, after the answer was delivered
		assert.ErrorContains(t, err, "reset")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	group.Wait(ctx)
	require.NoError(t, ctx.Err(), "the connection must be closed")
}

// Wait returns when its context is done, although a peer has not taken everything.
func TestWaitIsBounded(t *testing.T) {
	group := &linger.Group{}
	_, accepted := connect(t, group)
	require.NoError(t, accepted.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := accepted.Write(make([]byte, longestAnswer))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, accepted.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	group.Wait(ctx)
	assert.Error(t, ctx.Err())
}

// waitingConn is a connection on which, while Close ends its reads, the server that used it waits for the group.
type waitingConn struct {
	net.Conn
	group   *linger.Group
	waited  chan error // gets the error of the context of Wait: nil if Wait has returned before
	release chan bool  // closed to let the connection close
}

func (c *waitingConn) SetReadDeadline(time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.group.Wait(ctx)
	c.waited <- ctx.Err()
	return nil
}

func (c *waitingConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// oneConnListener is a listener that accepts one connection again and again.
type oneConnListener struct {
	net.Listener
	conn net.Conn
}

func (l oneConnListener) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against an end of the program before the close of a connection: a server has ended its reads and waits for the group before
// Close, which another goroutine has called, returns.
func TestWaitCountsAConnectionFromTheStartOfClose(t *testing.T) {
	group := &linger.Group{}
	ours, theirs := net.Pipe()
	defer theirs.Close()
	conn := &waitingConn{Conn: ours, group: group, waited: make(chan error, 1), release: make(chan bool)}
	accepted, err := group.Listener(oneConnListener{conn: conn}).Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	assert.ErrorIs(t, <-conn.waited, context.DeadlineExceeded, "Wait has returned before the connection was closed")
	close(conn.release)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	group.Wait(ctx)
	require.NoError(t, ctx.Err())
	_, err = theirs.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
