// Package linger closes connections of TCP servers without cutting off what their peers are still reading: a lingering close
// (RFC 9112, section 9.6). If bytes arrive at a closed socket, the kernel resets the connection and drops what it has not sent yet.
// A connection therefore first sends the end of the stream, and its socket is closed once the peer's kernel has acknowledged
// everything.
//
// A listener of a server is wrapped twice: innermost by Deliver, so that whatever counts connections in between counts one until
// its socket is closed, and outermost by Group.Listener, so that the server does not wait for a close.
package linger

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kitefall/internal/tcpstate"
)

const (
	// stallTimeout is how long a peer may take nothing before its connection is closed all the same.
	stallTimeout = 5 * time.Second
	// pollInterval is the time between two looks at what the peer has taken.
	pollInterval = 20 * time.Millisecond
)

// Deliver returns a listener whose connections wait in Close until the peer's kernel has acknowledged all written bytes, or has
// taken nothing for stallTimeout. The connections of ln must be TCP connections; others are closed at once.
func Deliver(ln net.Listener) net.Listener { return deliveringListener{ln} }

type deliveringListener struct{ net.Listener }

func (l deliveringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return deliveringConn{tcp}, nil
	}
	return conn, nil
}

// deliveringConn is a connection that delivers the written bytes before it is closed.
type deliveringConn struct{ *net.TCPConn }

// Close ends the stream to the peer, waits until everything is delivered, and closes the connection. It may be called more than
// once.
func (c deliveringConn) Close() error {
	if raw, err := c.SyscallConn(); err == nil && c.CloseWrite() == nil {
		awaitDelivery(raw)
	}
	return c.TCPConn.Close()
}

// awaitDelivery waits until the peer's kernel has acknowledged everything, the connection has ended, or the peer has taken nothing
// for stallTimeout.
func awaitDelivery(raw syscall.RawConn) {
	acknowledged, lastProgress := uint64(0), time.Now()
	for time.Since(lastProgress) < stallTimeout {
		delivery, ok := tcpstate.ReadDelivery(raw)
		if !ok || !delivery.Unacknowledged {
			return
		}
		if delivery.Acknowledged != acknowledged {
			acknowledged, lastProgress = delivery.Acknowledged, time.Now()
		}
		time.Sleep(pollInterval)
	}
}

// Group closes connections in the background. Its zero value is ready for use, by several goroutines.
type Group struct {
	mu      sync.Mutex
	closing int           // connections that are being closed
	none    chan struct{} // closed when closing falls to 0; nil if nobody waits for that
}

// Listener returns a listener whose connections are closed in the background. Once Close is called, Read fails: a request that
// arrives later stays without effect.
func (g *Group) Listener(ln net.Listener) net.Listener { return groupListener{ln, g} }

// Wait waits until the connections on which Close was called are closed, or until ctx is done. Close may be called meanwhile.
func (g *Group) Wait(ctx context.Context) {
	select {
	case <-g.noneClosing():
	case <-ctx.Done():
	}
}

// noneClosing returns a channel that is closed as soon as no connection is being closed.
func (g *Group) noneClosing() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.none == nil {
		g.none = make(chan struct{})
	}
	none := g.none
	g.signalLocked()
	return none
}

// begin counts a connection as being closed.
func (g *Group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing++
}

// end ends the count of a connection by begin.
func (g *Group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing--
	g.signalLocked()
}

// signalLocked wakes those who wait if no connection is being closed.
func (g *Group) signalLocked() {
	if g.closing == 0 && g.none != nil {
		close(g.none)
		g.none = nil
	}
}

type groupListener struct {
	net.Listener
	group *Group
}

func (l groupListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &groupConn{Conn: conn, group: l.group}, nil
}

// groupConn is a connection that its group closes in the background.
type groupConn struct {
	net.Conn
	group   *Group
	closing atomic.Bool
}

// Read reads like net.Conn until Close is called, and fails with net.ErrClosed from then on.
func (c *groupConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close starts to close the connection. It returns nil, and has no effect after the first call. The group counts the connection
// before its user can notice the close: the server may call Wait as soon as its goroutine for the connection has returned.
func (c *groupConn) Close() error {
	c.group.begin()
	if c.closing.Swap(true) {
		c.group.end()
		return nil
	}
	c.Conn.SetReadDeadline(time.Now()) // ends a Read in progress
	go func() {
		defer c.group.end()
		c.Conn.Close()
	}()
	return nil
}
