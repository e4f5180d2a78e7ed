package resp

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/gatedconn"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
)

// trackedConn is an accepted network connection. It validates the client's bytes before they are parsed, and is registered
// with its server until it is closed.
type trackedConn struct {
	*gatedconn.Conn
	server     *Server
	acceptedAt time.Time
	validator  requestValidator // used only in observe, by the goroutine that reads
	// incompleteSince is when the first byte of an incomplete request arrived, in nanoseconds since acceptedAt. 0 means that no
	// request is incomplete.
	incompleteSince atomic.Int64
	unhandled       atomic.Int64 // number of requests that were read completely and not handled yet

	// pastCloseDeadline is set by a sweep that finds the connection past its close deadline and still in use. Only the sweeping
	// goroutine uses it.
	pastCloseDeadline bool

	// acknowledged is the number of bytes that the client's kernel had acknowledged when observeDelivery last looked, and
	// lastProgress is when it last found that the client was taking its answers, or had taken all. Only the sweeping goroutine uses
	// them.
	acknowledged uint64
	lastProgress time.Time

	client         *clientConn // nil before the first request; guarded by server.mu
	closed         bool        // guarded by server.mu
	lingeringSince time.Time   // when closeOnceDelivered has ended the stream to the client; guarded by server.mu
	closing        sync.Once
}

// track registers an accepted connection with the server.
func (s *Server) track(conn net.Conn) *trackedConn {
	tracked := &trackedConn{server: s, acceptedAt: time.Now()}
	tracked.lastProgress = tracked.acceptedAt
	tracked.Conn = gatedconn.New(conn, tracked.observe)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[tracked] = true
	return tracked
}

// observe validates the bytes that were read from the client and counts the requests that they complete. It returns
// errMalformedRequest if the bytes violate the client protocol.
func (t *trackedConn) observe(data []byte) error {
	valid := t.validator.accept(data)
	t.unhandled.Add(int64(t.validator.takeCompleted()))
	if !valid {
		return errMalformedRequest
	}
	if !t.validator.withinRequest() {
		t.incompleteSince.Store(0)
	} else if t.incompleteSince.Load() == 0 {
		t.incompleteSince.Store(max(time.Since(t.acceptedAt).Nanoseconds(), 1))
	}
	return nil
}

// Close closes the connection and, once its descriptor is closed, releases the descriptor to the server's share. Calls after
// the first have no effect.
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

// attach sets the connection's client at its first request. It reports whether the connection is still open, because the
// connection may have been closed before the request was complete, for example by a timeout.
func (t *trackedConn) attach(client *clientConn) bool {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.client = client
	return !t.closed
}

// closeWithoutRequest closes a connection on which reading has failed before the first request was complete.
func (t *trackedConn) closeWithoutRequest(cause error) {
	t.server.mu.Lock()
	alreadyClosed := t.closed
	t.server.mu.Unlock()
	if !alreadyClosed {
		t.server.readFailureReason(t, cause).count()
	}
	t.Close()
}

// readFailureReason returns why a connection is closed on which reading has failed. It logs a violation of the protocol.
func (s *Server) readFailureReason(conn *trackedConn, cause error) closeReason {
	if !errors.Is(cause, errMalformedRequest) {
		return closedByClient
	}
	s.logs.protocolError.Log(slog.LevelWarn, "frontend: connection closed after a protocol error",
		"addr", conn.RemoteAddr(), "err", cause)
	return closedMalformed
}

// stopReadingIfIdle stops reading if the connection has no unread data, no unhandled request and no pending or undelivered answer,
// and reports whether it did. If reason.waitsForIncomplete, it does not stop reading within an incomplete request either. If
// reading has stopped, the caller closes the connection: a request that arrives in between stays unread, so that the kernel resets
// the connection and the client knows that the request had no effect.
func (t *trackedConn) stopReadingIfIdle(reason closeReason, pendingAnswers permit.ConnectionUse) bool {
	return t.StopReadingIf(func(unread bool) bool {
		use := pendingAnswers
		use.Unhandled = int(t.unhandled.Load())
		use.Incomplete = t.incompleteSince.Load() != 0 && reason.waitsForIncomplete()
		use.Unread = unread
		use.Undelivered = t.undelivered(reason)
		return use.Check() == permit.Allowed
	})
}

// closeIfIdle closes the connection if it is idle, as defined by stopReadingIfIdle, and reports whether it did.
func (t *trackedConn) closeIfIdle(reason closeReason) (closed bool) {
	t.server.mu.Lock()
	client := t.client
	closing := client == nil && !t.closed && t.stopReadingIfIdle(reason, permit.ConnectionUse{})
	if closing {
		t.closed = true // attach refuses a first request that arrives now
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

// forceClose closes the connection even if it is in use. It counts and logs a close that may cut off answers.
func (t *trackedConn) forceClose(reason closeReason) {
	if delivery, _ := t.Delivery(); delivery.Unacknowledged {
		metrics.AnswersCut.Add(string(reason))
		t.server.logs.answersCut.Log(slog.LevelWarn, "frontend: connection closed before its client has taken all answers",
			"addr", t.RemoteAddr().String(), "reason", string(reason))
	}
	if client := t.attachedClient(); client != nil {
		client.close(reason)
	} else {
		reason.count()
	}
	t.Close() // client.close has done it, unless the connection lingers
}

// attachedClient returns the connection's client, or nil before its first request.
func (t *trackedConn) attachedClient() *clientConn {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	return t.client
}

// idleSinceLocked returns the time of the last activity, and whether the connection has neither a request in flight nor an
// unwritten answer. Before the first request, the last activity is the accept. The caller holds server.mu.
func (t *trackedConn) idleSinceLocked() (since time.Time, idle bool) {
	if t.client == nil {
		return t.acceptedAt, true
	}
	return t.client.idleSince()
}

// timedOutLocked reports whether the client has exceeded a timeout. It returns false while requests are in flight, because
// closing the connection would lose their answers. The caller holds server.mu.
func (t *trackedConn) timedOutLocked(now time.Time) bool {
	since, idle := t.idleSinceLocked()
	if !idle {
		return false
	}
	timeouts := &t.server.Timeouts
	if t.client == nil {
		return now.After(since.Add(timeouts.FirstRequest))
	}
	if offset := t.incompleteSince.Load(); offset != 0 {
		return now.After(t.acceptedAt.Add(time.Duration(offset) + timeouts.Request))
	}
	return now.After(since.Add(timeouts.Idle))
}
