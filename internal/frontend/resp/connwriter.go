package resp

import "time"

// answerQueueSize leaves room for the answers to all requests in flight, and as many to others.
const answerQueueSize = 2 * maxRequestsPerConn

// enqueueLocked queues an answer. It never blocks, since the dispatcher's own goroutine calls it. The caller holds
// c.mu.
func (c *clientConn) enqueueLocked(a answer) {
	select {
	case c.answers <- a:
		c.unwritten++
	default:
		// The client sends requests and does not read: it is disconnected, lest its answers fill the memory. On a
		// goroutine of its own, which ends with that, because close takes c.mu.
		go c.close(closedUnread)
	}
}

// writeAnswers writes the queued answers, those that wait at the same time together, until the connection is closed.
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

// flush writes the buffered answers to the network, by a deadline.
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
