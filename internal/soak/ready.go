package soak

import (
	"bufio"
	"io"
	"net"
	"time"
)

// askReady reports whether a dispatcher answers CHECK with yes (source: client protocol).
func askReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "*3\r\n$5\r\nCHECK\r\n$1\r\n9\r\n$0\r\n\r\n"); err != nil {
		return false
	}
	parts, err := readAnswer(bufio.NewReader(conn))
	return err == nil && len(parts) > 1 && parts[1] == "yes"
}
