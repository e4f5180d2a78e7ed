package worker

import (
	"bufio"
	"time"

	"kitefall/internal/balancer"
)

// answerReadTimeout is how long an answer may take from its first byte to its last. One that stops short would hold back
// all others on its connection until the deadline of each call.
const answerReadTimeout = 250 * time.Millisecond

const readBufferSize = 4096 // bytes

// readLoop handles answers until the connection ends.
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

// readAnswer waits for an answer, without a limit, and reads it, within answerReadTimeout.
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

// handleAnswer finishes the request that was answered. An answer to no request in flight is dropped: it is late, a second
// copy, or was never asked for. An error means that the connection cannot be used any more.
func (c *conn) handleAnswer(answer frame) error {
	result, err := answer.result()
	request := c.noteAnswer(answer.id, &result, time.Now())
	if err != nil {
		return err
	}
	if request != nil && answer.code != codePong {
		c.finish(request, result)
	}
	return nil
}

// noteAnswer notes that the worker has answered. It returns the request in flight under the id, or nil, and completes its
// result.
func (c *conn) noteAnswer(id uint64, result *Result, now time.Time) *PendingRequest {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.lastAnswer = now
	c.lastUsed = now
	c.answers++
	c.unansweredSince = time.Time{}
	request := c.inFlight[id]
	if request != nil && result.Status != balancer.OK { // the call may be tried here again, and this answer be repeated
		c.endedIDs[id] = now
	}
	if request != nil {
		result.WrittenAt = request.writtenAt
		result.ConnectedSince = c.pool.connectedSince
	}
	return request
}
