// Package tcpstate reads facts about a TCP connection that the kernel knows and that reads and writes do not show.
package tcpstate

import (
	"net"

	"golang.org/x/sys/unix"
)

// WasReset reports whether the peer has reset a connection that this side has not closed. The peer's kernel sends a reset if
// its process closes the connection with bytes unread, or if bytes arrive after the close; if all bytes were read, the close
// sends a FIN. If the kernel does not provide the state, WasReset returns false. It is safe for concurrent use.
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
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE // after only a FIN from the peer, the state is CLOSE_WAIT
	})
	return reset
}
