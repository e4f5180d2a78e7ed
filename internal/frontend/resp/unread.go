package resp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether the system holds bytes of the peer that were not read yet. Closing the connection would throw
// them away. Where the system does not tell, it reports false.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	raw.Control(func(descriptor uintptr) {
		if bytes, err := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ); err == nil {
			unread = bytes
		}
	})
	return unread > 0
}
