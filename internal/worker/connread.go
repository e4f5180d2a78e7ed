package worker

import (
	"bufio"
	"time"

	"kitefall/internal/balancer"
)

// answerReadTimeout is how long an answer may take from its first byte to its last. Without the limit, an incomplete answer
// would block all other answers on its connection until the deadlines of their calls.
const answerReadTimeout = 250 * time.Millisecond

const readBufferSize = 4096 // bytes

// readLoop reads and handles answers until the connection ends.
func (c *conn) readLoop() {
	reader := bufio.NewReaderSize(c.netConn, readBufferSize)
	for {
		answer, err := c.readAnswer(reader)
		if err == nil {
			err = c.handleAnswer(answer)
		}
		if err != nil {
			c.end(err, nil)
			return
		}
	}
}

// readAnswer waits without a time limit for the first byte of an answer, and then reads the answer within answerReadTimeout.
func (c *conn) readAnswer(reader *bufio.Reader) (frame, error) {
	if _, err := reader.Peek(1); err != nil {
		return frame{}, err
	}
	c.netConn.SetReadDeadline(time.Now().Add(answerReadTimeout))
	answer, err := readFrame(reader, markAnswer)
	if err != nil {
		return frame{}, err
	}
	c.netConn.SetReadDeadline(time.Time{})
	return answer, nil
}

// handleAnswer finishes the request that an answer belongs to. An answer whose id belongs to no request in flight is dropped: it
// is late, a duplicate or unsolicited. If handleAnswer returns an error, the connection must not be used any more.
func (c *conn) handleAnswer(answer frame) error {
	result, err := answer.result()
	request := c.recordAnswer(answer.id, &result, time.Now())
	if err != nil {
		return err
	}
	if request != nil && answer.code != codePong {
		c.finish(request, result)
	}
	return nil
}

// recordAnswer records that an answer with the id came. It returns the request in flight with the id, or nil if there is none,
// and sets the times of that request in result.
func (c *conn) recordAnswer(id uint64, result *Result, now time.Time) *PendingRequest {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.lastAnswer = now
	c.lastUsed = now
	c.answerCount++
	c.unansweredSince = time.Time{}
	request := c.inFlight[id]
	if request != nil && result.Status != balancer.OK { // a retry may use the id here, and a duplicate of this answer may come
		c.endedIDs[id] = now
	}
	if request != nil {
		result.WrittenAt = request.writtenAt
		result.ConnectedSince = c.pool.connectedSince
	}
	return request
}
