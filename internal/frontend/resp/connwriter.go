package resp

import "time"

// answerQueueSize is the capacity of the answer queue: one answer for each request in flight, and as many for requests that
// are answered at once, such as CHECK.
const answerQueueSize = 2 * maxRequestsPerConn

// enqueueLocked queues an answer. It never blocks, because the dispatcher's event loop calls it. The caller holds c.mu.
func (c *clientConn) enqueueLocked(a answer) {
	select {
	case c.answers <- a:
		c.unwritten++
	default:
		// The client sends requests without reading the answers. It is disconnected so that its answers do not fill the
		// memory. A new goroutine calls close, because close locks c.mu, which the caller of enqueueLocked holds.
		go c.close(closedAnswersUnread)
	}
}

// writeAnswers writes queued answers until the connection is closed. It writes all answers that are queued at the same time
// in one flush.
func (c *clientConn) writeAnswers() {
	buffered := 0
	for {
		select {
		case a := <-c.answers:
			a.encode(c.respConn)
			buffered++
			if len(c.answers) == 0 {
				c.flush(buffered, a.writeDeadline)
				buffered = 0
			}
		case <-c.done:
			return
		}
	}
}

// flush writes the buffered answers to the network, and closes the connection if the write fails or is incomplete at
// the deadline. buffered is the number of buffered answers.
func (c *clientConn) flush(buffered int, deadline time.Time) {
	c.netConn.SetWriteDeadline(deadline)
	if c.respConn.Flush() != nil {
		c.close(closedWriteFailed)
	}
	c.mu.Lock()
	c.unwritten -= buffered
	c.lastActivity = time.Now()
	c.mu.Unlock()
	c.closeIfDraining()
}
