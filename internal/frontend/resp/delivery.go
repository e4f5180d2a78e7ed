package resp

import (
	"time"

	"kitefall/internal/tcpstate"
)

// This file keeps the close of a connection from cutting off answers that its client is still reading. If bytes arrive at a closed
// socket, the kernel resets the connection and drops what it has not sent yet, and a client sends requests until it has read the
// end of the stream. A connection therefore stays open until its answers are sent, and its socket until they are acknowledged: a
// lingering close (RFC 9112, section 9.6). What the client's kernel has acknowledged can be read even after a reset.

// writePieceSize is the number of bytes that a client must take within Timeouts.Idle, in each step of a write.
const writePieceSize = 16 << 10

// Write writes answers like net.Conn, for as long as the client takes them: it fails if a piece of writePieceSize takes longer than
// Timeouts.Idle. How long the client waits for an answer does not limit the write: the time that it takes to read is not counted,
// and a connection that is closed for one late answer loses all the others.
func (t *trackedConn) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		piece := data[written:min(written+writePieceSize, len(data))]
		t.SetWriteDeadline(time.Now().Add(t.server.Timeouts.Idle))
		var n int
		n, err = t.Conn.Write(piece)
		written += n
	}
	return written, err
}

// undelivered reports whether a close for the reason could keep answers from the client. An answer that was sent completely does
// not prevent the close, if closeOnceDelivered can wait for the acknowledgement.
func (t *trackedConn) undelivered(reason closeReason) bool {
	delivery, _ := t.Delivery()
	return delivery.Unsent || delivery.Unacknowledged && reason.needsDescriptor()
}

// closeOnceDelivered closes the connection after stopReadingIfIdle in two stages. It ends the stream to the client at once. It
// closes the socket at once if the client's kernel has acknowledged all answers, and otherwise leaves that to closeLingering.
func (t *trackedConn) closeOnceDelivered() {
	delivery, _ := t.Delivery()
	if !delivery.Unacknowledged || t.CloseWrite() != nil {
		t.Close()
		return
	}
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.lingeringSince = time.Now()
}

// finish ends a connection that is in use: it reads no more requests, fails those in flight, and closes the connection once the
// answers are delivered. It has no effect on a connection that is closed already, or while a request that was read has not been
// handled.
func (c *clientConn) finish(reason closeReason) {
	handled := func(bool) bool { return c.netConn.unhandled.Load() == 0 }
	if !c.netConn.StopReadingIf(handled) {
		return
	}
	c.failRequestsInFlight()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.finishing = true
	c.closeLocked() // returns no handles: no request is in flight
	reason.count()
}

// closeLingering closes the lingering connections whose clients' kernels have acknowledged all answers, and those whose clients have
// taken nothing for Timeouts.Idle.
func (s *Server) closeLingering(now time.Time) {
	for _, conn := range s.lingeringConns() {
		if delivery, _ := conn.observeDelivery(now); !delivery.Unacknowledged {
			conn.Close()
		} else if conn.stalledFor(now) > s.Timeouts.Idle {
			conn.forceClose(closedStalled)
		}
	}
}

func (s *Server) lingeringConns() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lingering []*trackedConn
	for conn := range s.conns {
		if !conn.lingeringSince.IsZero() {
			lingering = append(lingering, conn)
		}
	}
	return lingering
}

// isTakingAnswers reports whether the client has taken a part of its answers within Timeouts.Idle, although its last request and
// the last write of answers were before that. It records that part as activity.
func (t *trackedConn) isTakingAnswers(now time.Time) bool {
	client := t.attachedClient()
	if client == nil {
		return false
	}
	taken := t.lastTaken(now)
	client.recordActivity(taken)
	return now.Sub(taken) < t.server.Timeouts.Idle
}

// observeDelivery reads the delivery state of the connection and records whether the client is taking its answers.
func (t *trackedConn) observeDelivery(now time.Time) (delivery tcpstate.Delivery, ok bool) {
	delivery, ok = t.Delivery()
	if !delivery.Unacknowledged || delivery.Acknowledged != t.acknowledged {
		t.lastProgress = now
		t.acknowledged = delivery.Acknowledged
	}
	return delivery, ok
}

// stalledFor returns the time since the client last took a part of its answers, as seen by observeDelivery, or since the connection
// began to linger, if that was later.
func (t *trackedConn) stalledFor(now time.Time) time.Duration {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	if t.lingeringSince.After(t.lastProgress) {
		return now.Sub(t.lingeringSince)
	}
	return now.Sub(t.lastProgress)
}

// lastTaken returns when the client's kernel last took a part of the answers, or the zero time if that is not known. While there is
// more to take, that is when observeDelivery last saw a change.
func (t *trackedConn) lastTaken(now time.Time) time.Time {
	delivery, ok := t.observeDelivery(now)
	switch {
	case !ok:
		return time.Time{}
	case !delivery.Unacknowledged && t.incompleteSince.Load() != 0: // the last segment was a part of the request
		return time.Time{}
	case !delivery.Unacknowledged:
		return now.Add(-delivery.SinceLastAck)
	}
	return t.lastProgress
}
