package resp_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/drain"
	"kitefall/internal/fakes"
	"kitefall/internal/tcpstate"
)

const crossingAttempts = 1000

// A connection must not be closed as idle after a request on it was read and before that request is answered. The kernel resets a
// connection that is closed with an unread request, so that the client knows that the request had no effect. A request that was
// read must therefore be answered. Each attempt sends a second request at a different moment around the close that follows the
// answer to the first request.
func TestReadRequestIsAnsweredBeforeClose(t *testing.T) {
	server, connect := startDraining(t, closeIdleOnly, fakes.NewWorker(t))
	evacuate(server)
	unread, dropped := 0, 0
	for i := range crossingAttempts {
		c := connect()
		c.sendCommand("CHECK", "1", "")
		busyWait(time.Duration(i%200) * time.Microsecond)
		_, err := io.WriteString(c, encodeCommand("CHECK", "2", ""))
		received, _ := io.ReadAll(c.reader)
		switch {
		case err != nil || string(received) != encodeCommand("1", "yes", "", ""): // closed before the write, or both answered
		case wasReset(c.Conn.(*net.TCPConn)):
			unread++
		default:
			dropped++
		}
		c.Close()
	}
	t.Logf("%d second requests: %d unread at the close, %d read but not answered", crossingAttempts, unread, dropped)
	assert.Zero(t, dropped)
}

// A request that was read must also be answered if it becomes complete at the close deadline. Here the rest of an incomplete
// request arrives around the moment at which its connection is closed.
func TestRequestCompletedAtCloseByIsAnsweredBeforeClose(t *testing.T) {
	const closeBy = 40 * time.Millisecond
	server, connect := startDraining(t, drain.Schedule{CloseBy: closeBy}, fakes.NewWorker(t))
	server.DrainState.Evacuate(time.Now().Add(-time.Minute))
	for round := range 20 {
		var clients []*client
		var senders sync.WaitGroup
		begin := time.Now()
		for i := range defaultMaxConns / 2 {
			c := connect()
			encoded := encodeCommand("CHECK", "1", "")
			c.sendRaw(encoded[:9])
			clients = append(clients, c)
			senders.Go(func() {
				time.Sleep(time.Until(begin.Add(closeBy + time.Duration(32*(round%5)+i)*200*time.Microsecond)))
				io.WriteString(c, encoded[9:]) // fails if the connection is already closed
			})
		}
		senders.Wait()
		for _, c := range clients {
			received, _ := io.ReadAll(c.reader)
			unanswered := string(received) != encodeCommand("1", "yes", "", "")
			assert.False(t, unanswered && !wasReset(c.Conn.(*net.TCPConn)), "the request was read but not answered")
			c.Close()
		}
	}
}

// busyWait waits in a loop, which is more exact than a timer.
func busyWait(duration time.Duration) {
	for begin := time.Now(); time.Since(begin) < duration; {
	}
}

// wasReset reports whether the peer resets the connection within 300 ms.
func wasReset(conn *net.TCPConn) bool {
	for begin := time.Now(); time.Since(begin) < 300*time.Millisecond; time.Sleep(100 * time.Microsecond) {
		if tcpstate.WasReset(conn) {
			return true
		}
	}
	return false
}
