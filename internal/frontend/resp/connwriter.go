package resp

import "time"

// answerQueueSize is the capacity of the answer queue: one answer for each request in flight, and as many for requests that
// are answered at once, such as CHECK.
const answerQueueSize = 2 * maxRequestsPerConn

// enqueueLocked queues an answer. It never blocks, because the dispatcher's event loop calls it. There is always room, because the
// reader reads no request before there is (see awaitAnswersTaken). The caller holds c.mu.
func (c *clientConn) enqueueLocked(a answer) {
	c.answers <- a
	c.unwritten++
}

// writeAnswers writes queued answers until the connection is closed. It writes all answers that are queued at the same time
// in one flush. If finish has closed the connection, it writes the answers that are still queued and ends the stream to the client.
func (c *clientConn) writeAnswers() {
	for {
		select {
		case a := <-c.answers:
			c.writeQueued(a)
		case <-c.done:
			if c.finishing {
				c.writeLast()
			}
			return
		}
	}
}

// writeQueued writes an answer and those that are queued behind it.
func (c *clientConn) writeQueued(a answer) {
	c.writer.write(&a)
	buffered := 1
	for len(c.answers) > 0 {
		a = <-c.answers
		c.writer.write(&a)
		buffered++
	}
	c.flush(buffered)
}

// writeLast writes the answers that are still queued and then closes the connection once they are delivered.
func (c *clientConn) writeLast() {
	if len(c.answers) > 0 {
		c.writeQueued(<-c.answers)
	}
	c.netConn.closeOnceDelivered()
}

// flush writes the buffered answers to the network, and closes the connection if the write fails. buffered is the number of
// buffered answers.
func (c *clientConn) flush(buffered int) {
	if c.writer.flush() != nil {
		c.netConn.forceClose(closedWriteFailed)
	}
	c.mu.Lock()
	c.unwritten -= buffered
	c.lastActivity = time.Now()
	c.mu.Unlock()
	select {
	case c.answersTaken <- struct{}{}:
	default:
	}
	c.closeIfDraining()
}
