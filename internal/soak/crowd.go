package soak

import (
	"io"
	"net"
	"time"
)

const (
	crowdPart      = 0.5 // connections of a crowd at a time, as a part of the dispatcher's descriptors
	crowdArrival   = 5 * time.Millisecond
	crowdHalfCall  = "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$8\r\ncons"
	crowdDialLimit = 100 * time.Millisecond
)

// CrowdDispatcher makes connections to a dispatcher that never finish a request, half of them with a part of one: as many at
// once as clients may have and more, then one after the other, each in the place of the oldest.
func (f *Fleet) CrowdDispatcher(number int, length time.Duration) {
	addr := f.dispatcherAddr(number)
	size := int(crowdPart * float64(f.config.Limits.Sockets))
	var crowd []net.Conn
	defer func() {
		for _, conn := range crowd {
			conn.Close()
		}
	}()
	for begin, i := Now(), 0; Now()-begin < length; i++ {
		conn, err := net.DialTimeout("tcp", addr, crowdDialLimit)
		if err != nil { // it has ended, or is about to
			time.Sleep(crowdArrival)
			continue
		}
		if i%2 == 0 {
			io.WriteString(conn, crowdHalfCall)
		}
		crowd = append(crowd, conn)
		if len(crowd) > size {
			crowd[0].Close()
			crowd = crowd[1:]
			time.Sleep(crowdArrival)
		}
	}
}
