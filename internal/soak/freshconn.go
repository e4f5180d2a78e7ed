package soak

import (
	"io"
	"time"
)

// maxPiecePause is the longest time between the two pieces of a request.
const maxPiecePause = 600 * time.Millisecond

// sendFresh sends a request on a connection of its own, in the background, perhaps in two pieces, and closes the connection
// once the request has ended.
func (c *client) sendFresh(load Load) {
	pause := time.Duration(0)
	if c.random.Float64() < load.PieceShare {
		pause = time.Duration(c.random.Float64() * float64(maxPiecePause))
	}
	conn := c.dial()
	if conn == nil {
		return
	}
	request := c.newRequest(load, conn)
	c.fleet.background.Go(func() {
		tag := conn.sendInPieces(request, pause)
		if tag == 0 {
			conn.closeByClient()
			return
		}
		time.Sleep(request.Wait + giveUpAfter)
		conn.closeByClient()
	})
}

// sendInPieces writes a request with a pause within it; 0: at once. It returns the tag, or 0 where the connection has ended.
func (c *clientConn) sendInPieces(r *Request, pause time.Duration) int {
	c.client.mu.Lock()
	c.beginLocked(r)
	encoded := r.encode(c.tag)
	c.client.mu.Unlock()
	half := 0
	if pause > 0 {
		half = len(encoded) / 2
		io.WriteString(c.netConn, encoded[:half])
		time.Sleep(pause)
		if !c.isOpen() { // the client sees that, and would send the request on another connection
			return 0
		}
	}
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	_, err := io.WriteString(c.netConn, encoded[half:])
	return c.sentLocked(r, err)
}
