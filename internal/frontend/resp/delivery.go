package resp

import "time"

// This file keeps the close of a connection from cutting off answers that its client is still reading. If bytes arrive at a closed
// socket, the kernel resets the connection and drops what it has not sent yet, and a client sends requests until it has read the
// end of the stream. A connection therefore stays open until its answers are sent, and its socket until they are acknowledged: a
// lingering close (RFC 9112, section 9.6). What the client's kernel has acknowledged can be read even after a reset.

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

// closeLingering closes the lingering connections whose clients' kernels have acknowledged all answers, or have not done so within
// Timeouts.Idle.
func (s *Server) closeLingering(now time.Time) {
	for _, conn := range s.lingeringConns() {
		delivery, _ := conn.Delivery()
		if !delivery.Unacknowledged || now.Sub(conn.lingeringSince) > s.Timeouts.Idle {
			conn.Close()
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

// lastTaken returns when the client's kernel last took a part of the answers: now if it has taken something since the last call and
// has more to take, and the zero time if that is not known or it has taken nothing since then.
func (t *trackedConn) lastTaken(now time.Time) time.Time {
	delivery, ok := t.Delivery()
	switch {
	case !ok:
		return time.Time{}
	case !delivery.Unacknowledged && t.incompleteSince.Load() != 0: // the last segment was a part of the request
		return time.Time{}
	case !delivery.Unacknowledged:
		return now.Add(-delivery.SinceLastAck)
	case delivery.Acknowledged == t.acknowledged:
		return time.Time{}
	}
	t.acknowledged = delivery.Acknowledged
	return now
}
