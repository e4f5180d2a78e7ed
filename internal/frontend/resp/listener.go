package resp

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"kitefall/internal/metrics"
)

// acceptRetryDelay is the pause after an accept that failed, most likely for lack of descriptors or memory.
const acceptRetryDelay = 10 * time.Millisecond

// listener accepts connections and registers them with the server. It keeps no more connections open than the server
// has descriptors for: when none is free, a new connection evicts an idle one, which is closed to free its descriptor.
// idleConn.compare defines which connection is evicted first.
type listener struct {
	net.Listener
	server *Server
}

// accept returns the next connection. It returns an error, which wraps net.ErrClosed, only once the listener and the last
// connection are closed. It logs any other error and tries again.
func (l *listener) accept() (*trackedConn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			l.server.waitForLastConn()
			return nil, err
		case err != nil:
			l.handleAcceptError(err)
		case !l.acquireDescriptor():
			l.reject(conn)
		default:
			return l.server.track(conn), nil
		}
	}
}

// handleAcceptError evicts an idle connection, because the process is most likely out of descriptors. It then pauses, because
// an immediate retry would keep the processor busy.
func (l *listener) handleAcceptError(err error) {
	metrics.Shortages.Add("accept")
	l.server.logs.acceptFailed.Log(slog.LevelWarn, "frontend: cannot accept a connection", "err", err)
	l.server.evictIdle(closedOnAcceptError)
	time.Sleep(acceptRetryDelay)
}

// acquireDescriptor takes a descriptor of the server's share for a new connection, and reports whether it got one. If none is
// free, it evicts idle connections until one is, because clients that connect and stay idle must not keep others out. The
// frontend must not exceed its share: the other descriptors are needed for the workers, without which no request in flight
// could be served.
func (l *listener) acquireDescriptor() bool {
	for !l.server.descriptors.TryAcquire() {
		if !l.server.evictIdle(closedForNewConn) {
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
