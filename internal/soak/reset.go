package soak

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// How long a reset of the peer's machine is waited for after the end of a connection, and how often it is looked for.
const (
	resetWait     = 100 * time.Millisecond
	resetInterval = time.Millisecond
)

// lastBytesUnread reports whether the peer's process closed a connection without having read all that was written to it:
// its machine answers what stands unread or comes later with a reset, and what was read with the end alone. readErr is the
// error by which reading met the end. It must be called before the connection is closed; it waits for a moment where there
// is no reset.
func lastBytesUnread(conn *net.TCPConn, readErr error) bool {
	if errors.Is(readErr, syscall.ECONNRESET) {
		return true
	}
	for waited := time.Duration(0); waited < resetWait; waited += resetInterval {
		if wasReset(conn) {
			return true
		}
		time.Sleep(resetInterval)
	}
	return wasReset(conn)
}

// wasReset reports whether the system holds a connection as closed, though this side has not closed it: after the peer's end
// alone it waits for this side (source: RFC 9293, states; tcp(7), TCP_INFO).
func wasReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return reset
}
