// Package gatedconn has network connections on which reading can be stopped at a moment when nothing of the peer would be
// lost. Whoever closes a connection because nothing is in use on it decides so first, and closes a moment later; what the
// reader takes from the system meanwhile would be read and never answered. A connection of this package takes bytes from the
// system, and tells of them, in one step with regard to that decision: either the decision sees them, or they stay unread,
// and the system answers the peer with a reset, so that it knows that they had no effect.
package gatedconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Observer is told of all bytes that were read, in their order. Its error ends the reading and is returned by Read. It is
// called by the goroutine that reads and must not call the connection.
type Observer func(data []byte) error

// Conn is a connection whose reading can be stopped. Read may be called by one goroutine at a time; all other methods by any.
type Conn struct {
	net.Conn
	raw     syscall.RawConn // nil: there is no socket
	observe Observer

	mu      sync.Mutex // held while bytes are taken from the system and observed
	stopped bool
}

// New returns a connection over another, whose bytes are told to an observer as they are read. Over one that is no socket,
// such as net.Pipe, bytes that cross the decision are read and dropped.
func New(conn net.Conn, observe Observer) *Conn {
	return &Conn{Conn: conn, raw: rawConn(conn), observe: observe}
}

// rawConn returns the socket of a connection; nil if it has none.
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

// Read reads as net.Conn does, and has the observer told before it returns. After StopReadingIf has stopped it, it fails with
// net.ErrClosed, at the latest when the connection is closed.
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
		n, done, err = c.takeAvailable(int(descriptor), buffer)
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

// observeLocked tells the observer of bytes and returns what Read does. The caller holds c.mu.
func (c *Conn) observeLocked(data []byte) (int, error) {
	if err := c.observe(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// takeAvailable takes what the system has, and reports with done that there was something, or that there will be nothing.
func (c *Conn) takeAvailable(descriptor int, buffer []byte) (n int, done bool, err error) {
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

// readError returns an error of the system as net.Conn does.
func (c *Conn) readError(err error) error {
	return &net.OpError{
		Op:     "read",
		Net:    c.LocalAddr().Network(),
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError("read", err),
	}
}

// StopReadingIf asks whether nothing is in use, while no byte is read, and has Read fail from then on if so. unused is told
// whether the system holds bytes that were not read yet. It returns what unused returned.
func (c *Conn) StopReadingIf(unused func(unread bool) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unused(c.HasUnread()) {
		return false
	}
	c.stopped = true
	return true
}

// HasUnread reports whether the system holds bytes of the peer that were not read yet. Closing the connection would throw
// them away. Where the system does not tell, it reports false.
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
