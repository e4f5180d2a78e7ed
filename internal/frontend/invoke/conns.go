package invoke

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker knows which open connections are in use. A connection is in use from when the handler of a request begins until the
// response is written. It is unused while it is idle, in its TLS handshake, or has only a part of a request's header. The methods
// are safe for concurrent use.
type connTracker struct {
	mu            sync.Mutex
	conns         map[net.Conn]*trackedConn
	unusedTimeout time.Duration // unused connections are closed this long after they were accepted; 0: they are not
}

// trackedConn is an open connection. The fields that change are guarded by the tracker's mu.
type trackedConn struct {
	acceptedAt time.Time
	inUse      bool
	observable *observableConn // nil if the connection is no TCP connection; not changed
}

// trackedConnKey is the key of a request's trackedConn in the context of the request.
type trackedConnKey struct{}

func newConnTracker() *connTracker { return &connTracker{conns: map[net.Conn]*trackedConn{}} }

// connContext adds a new connection to the tracker. It is the ConnContext of the HTTP server.
func (t *connTracker) connContext(ctx context.Context, netConn net.Conn) context.Context {
	conn := &trackedConn{acceptedAt: time.Now(), observable: observableConnOf(netConn)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[netConn] = conn
	if t.unusedTimeout > 0 {
		t.scheduleClose(netConn, t.unusedTimeout)
	}
	return context.WithValue(ctx, trackedConnKey{}, conn)
}

// connState follows the state of a connection. It is the ConnState of the HTTP server.
func (t *connTracker) connState(netConn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateIdle: // all responses are written
		if conn := t.conns[netConn]; conn != nil {
			conn.inUse = false
		}
	case http.StateClosed:
		delete(t.conns, netConn)
	}
}

// markInUse wraps a handler so that the connection of each request counts as in use.
func (t *connTracker) markInUse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(trackedConnKey{}).(*trackedConn); ok {
			t.mu.Lock()
			conn.inUse = true
			t.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// countInUse returns the number of connections that are in use.
func (t *connTracker) countInUse() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, conn := range t.conns {
		if conn.inUse {
			count++
		}
	}
	return count
}

// closeUnused closes every unused connection once timeout has passed since it was accepted, until keepUnused is called.
func (t *connTracker) closeUnused(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unusedTimeout = timeout
	for netConn, conn := range t.conns {
		t.scheduleClose(netConn, timeout-time.Since(conn.acceptedAt))
	}
}

// keepUnused leaves unused connections open again.
func (t *connTracker) keepUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unusedTimeout = 0
}

// scheduleClose closes a connection after a delay if it is unused then.
func (t *connTracker) scheduleClose(netConn net.Conn, delay time.Duration) {
	time.AfterFunc(delay, func() {
		if t.mayClose(netConn) {
			netConn.Close()
		}
	})
}

// mayClose reports whether a connection is open and unused while unused connections are closed.
func (t *connTracker) mayClose(netConn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.conns[netConn]
	return t.unusedTimeout > 0 && conn != nil && !conn.inUse
}
