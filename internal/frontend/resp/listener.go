package resp

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"kitefall/internal/metrics"
)

// acceptRetryDelay is the pause after an accept that failed for want of descriptors or memory.
const acceptRetryDelay = 10 * time.Millisecond

// listener accepts connections for redcon, as many at a time as the server has descriptors for, and tracks each with its
// server. When all are taken, the connection that is idle longest makes room.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection, a *trackedConn. Its only error is the end of the listener, wrapping
// net.ErrClosed; all others are logged and the accept is tried again.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			// At the end of its listener redcon closes all connections that it still holds, also one whose first
			// request has come or is being handed over at this moment. So it learns of the end after the last of them.
			l.server.waitForLastConn()
			return nil, err
		case err != nil:
			l.handleAcceptError(err)
		case !l.makeRoom():
			l.reject(conn)
		default:
			return l.server.track(conn), nil
		}
	}
}

// handleAcceptError closes the connection that is idle longest, since the process is most likely out of descriptors,
// and pauses: redcon would try again at once and keep the processor busy.
func (l *listener) handleAcceptError(err error) {
	metrics.Shortages.Add("accept")
	l.server.logs.acceptFailed.Log(slog.LevelWarn, "frontend: cannot accept a connection", "err", err)
	l.server.closeOneIdle(closedForShortage)
	time.Sleep(acceptRetryDelay)
}

// makeRoom takes a descriptor of the share for a connection, closes idle ones until there is one, and reports whether there
// is. Clients that connect and stay must not keep others out; nor may the frontend exceed its limit, since the remaining
// descriptors are for the workers, and without these no request in flight could end well.
func (l *listener) makeRoom() bool {
	for !l.server.descriptors.TryAcquire() {
		if !l.server.closeOneIdle(closedForRoom) {
			return false
		}
	}
	return true
}

func (l *listener) reject(conn net.Conn) {
	l.server.logs.connRejected.Log(slog.LevelWarn,
		"frontend: connection rejected, all connections have requests in flight",
		"addr", conn.RemoteAddr().String(), "connections", l.server.descriptors.Limit())
	closedRejected.count()
	conn.Close()
}
