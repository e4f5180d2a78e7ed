package soak

import (
	"io"
	"net"
	"time"
)

const (
	crowdSocketShare  = 0.5 // connections held open, as a share of the dispatcher's descriptor limit
	crowdDialInterval = 5 * time.Millisecond
	partialCall       = "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$8\r\ncons"
	crowdDialTimeout  = 100 * time.Millisecond
)

// HoldIncompleteRequests holds connections to a dispatcher open for a time and completes no request on them. On half of them it
// writes a part of a request. It first opens more connections than clients may have. Then it opens one every crowdDialInterval and
// closes the oldest one each time.
func (f *Fleet) HoldIncompleteRequests(number int, length time.Duration) {
	addr := f.dispatcherAddr(number)
	maxConns := int(crowdSocketShare * float64(f.config.Limits.Sockets))
	var crowd []net.Conn
	defer func() {
		for _, conn := range crowd {
			conn.Close()
		}
	}()
	for begin, i := Now(), 0; Now()-begin < length; i++ {
		conn, err := net.DialTimeout("tcp", addr, crowdDialTimeout)
		if err != nil { // the dispatcher has ended or is about to end
			time.Sleep(crowdDialInterval)
			continue
		}
		if i%2 == 0 {
			io.WriteString(conn, partialCall)
		}
		crowd = append(crowd, conn)
		if len(crowd) > maxConns {
			crowd[0].Close()
			crowd = crowd[1:]
			time.Sleep(crowdDialInterval)
		}
	}
}
