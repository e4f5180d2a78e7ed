package soak

import (
	"io"
	"time"
)

// maxSplitPause is the longest pause between the two parts of a request that is written in two parts.
const maxSplitPause = 600 * time.Millisecond

// sendOnFreshConn sends a request on a new connection of its own, in two parts with the probability SplitShare. It writes in the
// background, and closes the connection lateAnswerWait after the request's own wait.
func (c *client) sendOnFreshConn(load Load) {
	pause := time.Duration(0)
	if c.random.Float64() < load.SplitShare {
		pause = time.Duration(c.random.Float64() * float64(maxSplitPause))
	}
	conn := c.dial()
	if conn == nil {
		return
	}
	request := c.newRequest(load, conn)
	c.fleet.clientTasks.Go(func() {
		tag := conn.sendSplit(request, pause)
		if tag == 0 {
			conn.closeByClient()
			return
		}
		time.Sleep(request.Wait + lateAnswerWait)
		conn.closeByClient()
	})
}

// sendSplit writes a request in two parts with a pause between them, or whole if pause is 0. It returns the tag, or 0 if the
// connection has ended.
func (c *clientConn) sendSplit(r *Request, pause time.Duration) int {
	c.client.mu.Lock()
	c.registerLocked(r)
	encoded := r.encode(c.tag)
	c.client.mu.Unlock()
	half := 0
	if pause > 0 {
		half = len(encoded) / 2
		io.WriteString(c.netConn, encoded[:half])
		time.Sleep(pause)
		if !c.isOpen() { // closed before the request was complete: a real client would resend it elsewhere
			return 0
		}
	}
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	_, err := io.WriteString(c.netConn, encoded[half:])
	return c.completeSendLocked(r, err)
}
