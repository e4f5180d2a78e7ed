// Package tcpstate reads facts about a TCP connection that the kernel knows and that reads and writes do not show.
//
// Source: RFC 9293 (states), tcp(7) (TCP_INFO). All functions are safe for concurrent use.
package tcpstate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// WasReset reports whether the peer has reset a connection that this side has not closed. The peer's kernel sends a reset if
// its process closes the connection with bytes unread, or if bytes arrive after the close; if all bytes were read, the close
// sends a FIN. If the kernel does not provide the state, WasReset returns false.
func WasReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	info := readInfo(raw)
	return info != nil && info.State == unix.BPF_TCP_CLOSE // after only a FIN from the peer, the state is CLOSE_WAIT
}

// PeerHasClosed reports whether the peer has ended its direction of a connection, by a close or a reset, although bytes that it sent
// before may still be unread. If the kernel does not provide the state, PeerHasClosed returns false.
func PeerHasClosed(raw syscall.RawConn) bool {
	info := readInfo(raw)
	if info == nil {
		return false
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	default:
		return false
	}
}

// Delivery describes how far the bytes that were written to a connection have got. The peer's process may still have to read
// the acknowledged ones.
type Delivery struct {
	// Unsent says that bytes were not sent yet, in most cases because the peer's receive window has no room for them.
	Unsent bool
	// Unacknowledged says that the peer's kernel has not acknowledged all bytes, or the end of the stream.
	Unacknowledged bool
	// Acknowledged is the number of bytes that the peer's kernel has acknowledged.
	Acknowledged uint64
	// SinceLastAck is the time since the last segment from the peer. The kernel rounds it to milliseconds.
	SinceLastAck time.Duration
}

// ReadDelivery returns the delivery state of a connection. It returns ok == false if the kernel does not provide the state, or
// if nothing can be delivered any more because the connection was reset or has ended in both directions.
func ReadDelivery(raw syscall.RawConn) (delivery Delivery, ok bool) {
	info := readInfo(raw)
	if info == nil || info.State == 0 || info.State == unix.BPF_TCP_CLOSE {
		return Delivery{}, false
	}
	return Delivery{
		Unsent:         info.Notsent_bytes > 0,
		Unacknowledged: info.Notsent_bytes > 0 || info.Unacked > 0,
		Acknowledged:   info.Bytes_acked,
		SinceLastAck:   time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, true
}

// readInfo returns the kernel's TCP_INFO, or nil if the kernel does not provide it.
func readInfo(raw syscall.RawConn) *unix.TCPInfo {
	var info *unix.TCPInfo
	raw.Control(func(descriptor uintptr) {
		if read, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = read
		}
	})
	return info
}
