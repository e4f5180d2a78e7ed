// Package gatedconn provides network connections on which reading can be stopped without losing data from the peer. An idle
// connection is closed a moment after the decision to close it. Bytes that the reader takes from the kernel in between would
// be read but never answered. A Conn therefore reads bytes and passes them to an observer in one step, under a mutex that
// is also held during the decision. Either the decision takes the bytes into account, or they stay unread in the kernel. In the
// latter case closing the connection sends a reset, which tells the peer that the bytes had no effect.
package gatedconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"kitefall/internal/tcpstate"
)

// Observer is called with all bytes that are read, in order. If it returns an error, Read returns that error instead of the
// bytes. It is called from the goroutine that calls Read, and must not call methods of the connection.
type Observer func(data []byte) error

// Conn is a connection on which reading can be stopped. Read may be called by one goroutine at a time. All other methods are
// safe for concurrent use.
type Conn struct {
	net.Conn
	raw     syscall.RawConn // nil: the connection has no socket
	observe Observer

	mu      sync.Mutex // held while bytes are read and observed, and while StopReadingIf decides
	stopped bool
}

// New wraps conn and passes all bytes that are read to observe. If conn is not a socket, such as a net.Pipe, bytes that arrive
// after StopReadingIf has stopped reading are read and dropped.
func New(conn net.Conn, observe Observer) *Conn {
	return &Conn{Conn: conn, raw: rawConn(conn), observe: observe}
}

// rawConn returns the socket of a connection, or nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Read reads like net.Conn and calls the observer before it returns. Once StopReadingIf has stopped reading, Read fails with
// net.ErrClosed. A Read that is waiting for data then fails when data arrives, or at the latest when the connection is closed.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if c.raw == nil {
		return c.readWithoutSocket(buffer)
	}
	var n int
	var err error
	waitErr := c.raw.Read(func(descriptor uintptr) (done bool) {
		n, done, err = c.readAvailable(int(descriptor), buffer)
		return done
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *Conn) readWithoutSocket(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return 0, net.ErrClosed
	}
	return c.observeLocked(buffer[:n])
}

// observeLocked passes data to the observer and returns the results of Read. The caller holds c.mu.
func (c *Conn) observeLocked(data []byte) (int, error) {
	if err := c.observe(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// readAvailable reads the bytes that the kernel holds, without waiting. done is false if there are none yet, and true once bytes
// were read, the stream has ended, or reading has failed or was stopped.
func (c *Conn) readAvailable(descriptor int, buffer []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return 0, true, net.ErrClosed
	}
	n, err = syscall.Read(descriptor, buffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(descriptor, buffer)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, false, nil
	case err != nil:
		return 0, true, c.readError(err)
	case n == 0:
		return 0, true, io.EOF
	}
	n, err = c.observeLocked(buffer[:n])
	return n, true, err
}

// readError wraps an error of the read system call as net.Conn does.
func (c *Conn) readError(err error) error {
	return &net.OpError{
		Op:     "read",
		Net:    c.LocalAddr().Network(),
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError("read", err),
	}
}

// StopReadingIf calls isIdle while no bytes can be read, and makes Read fail from then on if isIdle returns true. The argument
// of isIdle is whether the kernel holds unread bytes. StopReadingIf returns the result of isIdle.
func (c *Conn) StopReadingIf(isIdle func(unread bool) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isIdle(c.HasUnread()) {
		return false
	}
	c.stopped = true
	return true
}

// HasUnread reports whether the kernel holds bytes from the peer that have not been read. Closing the connection would discard
// them. If the connection has no socket, or the kernel does not report unread bytes, HasUnread returns false.
func (c *Conn) HasUnread() bool {
	if c.raw == nil {
		return false
	}
	unread := 0
	c.raw.Control(func(descriptor uintptr) {
		if bytes, err := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ); err == nil {
			unread = bytes
		}
	})
	return unread > 0
}

// PeerHasClosed reports whether the peer has closed or reset the connection, although bytes that it sent before may be unread. If the
// connection has no socket, or the kernel does not provide the state, PeerHasClosed returns false. It does not block.
func (c *Conn) PeerHasClosed() bool { return c.raw != nil && tcpstate.PeerHasClosed(c.raw) }

// Delivery returns how far the written bytes have got. If the connection has no socket, or the kernel does not provide the state,
// Delivery returns ok == false.
func (c *Conn) Delivery() (delivery tcpstate.Delivery, ok bool) {
	if c.raw == nil {
		return tcpstate.Delivery{}, false
	}
	return tcpstate.ReadDelivery(c.raw)
}

// CloseWrite sends the end of the stream behind the written bytes, and leaves the receiving direction open. It fails if the
// connection has no sending direction of its own, such as a net.Pipe.
func (c *Conn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return halfCloser.CloseWrite()
}
