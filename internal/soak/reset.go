package soak

import (
	"errors"
	"net"
	"syscall"
	"time"

	"kitefall/internal/tcpstate"
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
		if tcpstate.WasReset(conn) {
			return true
		}
		time.Sleep(resetInterval)
	}
	return tcpstate.WasReset(conn)
}
