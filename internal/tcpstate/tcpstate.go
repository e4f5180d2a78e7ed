// Package tcpstate tells what the system knows of a TCP connection beyond what reading and writing show.
package tcpstate

import (
	"net"

	"golang.org/x/sys/unix"
)

// WasReset reports whether the peer's machine has reset a connection that this side has not closed. It does so where the peer's
// process closed the connection without having read all, or where more came after that; a process that has read all ends the
// connection plainly. Where the system does not tell, it reports false. It is safe for concurrent use.
//
// Source: RFC 9293 (states), tcp(7) (TCP_INFO).
func WasReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE // after the peer's end alone it waits for this side
	})
	return reset
}
