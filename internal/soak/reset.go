package soak

import (
	"errors"
	"net"
	"syscall"
	"time"

	"kitefall/internal/tcpstate"
)

// resetWait is how long lastBytesUnread waits for a TCP reset after the end of a connection, resetInterval how often it looks.
const (
	resetWait     = 100 * time.Millisecond
	resetInterval = time.Millisecond
)

// lastBytesUnread reports whether the peer's process closed a connection before it had read everything written to it. If bytes
// are unread or arrive after the close, the peer's kernel sends a reset; if all were read, it sends only the end of the stream.
// readErr is the error with which reading from conn ended. lastBytesUnread must be called before conn is closed, and waits up
// to resetWait if there is no reset.
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
