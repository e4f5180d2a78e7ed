package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/gatedconn"
	"kitefall/internal/permit"
)

// trackedConn is an accepted network connection. It validates what the client sends before redcon reads it, and is one
// of its server's connections until it is closed.
type trackedConn struct {
	*gatedconn.Conn
	server     *Server
	acceptedAt time.Time
	validator  requestValidator // used by the goroutine that reads, alone, in observe
	// requestBegan is when the first byte of an incomplete request came, as nanoseconds since acceptedAt; 0: there is none.
	requestBegan atomic.Int64
	unhandled    atomic.Int64 // requests that were read whole and not looked at yet

	// overdue says that the time for the connection was over at the last sweep; it belongs to the goroutine that sweeps.
	overdue bool

	client  *clientConn // from the first request on; guarded by server.mu
	closed  bool        // guarded by server.mu
	closing sync.Once
}

// track adds an accepted connection to those of the server.
func (s *Server) track(conn net.Conn) *trackedConn {
	tracked := &trackedConn{server: s, acceptedAt: time.Now()}
	tracked.Conn = gatedconn.New(conn, tracked.observe)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[tracked] = true
	return tracked
}

// observe looks at what the client has sent, as it is read. It fails with errMalformedRequest where that is no request of the
// client protocol.
func (t *trackedConn) observe(data []byte) error {
	valid := t.validator.accept(data)
	t.unhandled.Add(int64(t.validator.takeCompleted()))
	if !valid {
		return errMalformedRequest
	}
	if !t.validator.withinRequest() {
		t.requestBegan.Store(0)
	} else if t.requestBegan.Load() == 0 {
		t.requestBegan.Store(max(time.Since(t.acceptedAt).Nanoseconds(), 1))
	}
	return nil
}

// Close closes the connection, waits until its descriptor is closed, and makes room for another. It may be called more than
// once; only the first call waits.
func (t *trackedConn) Close() error {
	var err error
	t.closing.Do(func() {
		t.server.mu.Lock()
		t.closed = true
		t.server.mu.Unlock()
		err = t.Conn.Close()
		t.server.mu.Lock()
		defer t.server.mu.Unlock()
		delete(t.server.conns, t)
		t.server.descriptors.Release()
		t.server.connClosed.Broadcast()
	})
	return err
}

// attach hands the connection to client, at its first request, and reports whether it is open still: it may have timed
// out before the request was complete.
func (t *trackedConn) attach(client *clientConn) bool {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.client = client
	return !t.closed
}

// stopReadingIfUnused has no more requests read if nothing is in use, neither of what the client has sent nor of the answers
// due to it, and reports whether that is so. A request in part counts only where the reason to close spares it. The caller
// closes the connection then: what comes meanwhile stays unread, and the client learns that from the system.
func (t *trackedConn) stopReadingIfUnused(reason closeReason, answersDue permit.Connection) bool {
	return t.StopReadingIf(func(unread bool) bool {
		use := answersDue
		use.Unhandled = int(t.unhandled.Load())
		use.Incomplete = t.requestBegan.Load() != 0 && reason.sparesIncomplete()
		use.Unread = unread
		return use.Check() == permit.Allowed
	})
}

// closeIfIdle closes the connection unless something is in use on it, and reports whether it did.
func (t *trackedConn) closeIfIdle(reason closeReason) (closed bool) {
	t.server.mu.Lock()
	client := t.client
	closing := client == nil && !t.closed && t.stopReadingIfUnused(reason, permit.Connection{})
	if closing {
		t.closed = true // a first request that arrives at this moment is not accepted any more
	}
	t.server.mu.Unlock()
	if client != nil {
		return client.closeIfIdle(reason)
	}
	if closing {
		reason.count()
		t.Close()
	}
	return closing
}

// closeAnyway closes the connection, whatever is in use on it.
func (t *trackedConn) closeAnyway(reason closeReason) {
	if client := t.attached(); client != nil {
		client.close(reason)
		return
	}
	reason.count()
	t.Close()
}

// attached returns the client; nil before its first request.
func (t *trackedConn) attached() *clientConn {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	return t.client
}

// idleSinceLocked reports whether no request is in flight, and since when. The caller holds server.mu.
func (t *trackedConn) idleSinceLocked() (since time.Time, idle bool) {
	if t.client == nil {
		return t.acceptedAt, true
	}
	return t.client.idleSince()
}

// timedOutLocked reports whether the connection is to be closed because the client has exceeded a timeout. It never is with
// requests in flight, whose answers would be lost. The caller holds server.mu.
func (t *trackedConn) timedOutLocked(now time.Time) bool {
	since, idle := t.idleSinceLocked()
	if !idle {
		return false
	}
	timeouts := &t.server.Timeouts
	if t.client == nil {
		return now.After(since.Add(timeouts.FirstRequest))
	}
	if began := t.requestBegan.Load(); began != 0 {
		return now.After(t.acceptedAt.Add(time.Duration(began) + timeouts.Request))
	}
	return now.After(since.Add(timeouts.Idle))
}
