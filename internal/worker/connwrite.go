package worker

import (
	"maps"
	"time"

	"kitefall/internal/failpoint"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
)

// writeLoop writes the queued requests and periodically checks for idle connections, until the connection is closed.
func (c *conn) writeLoop() {
	idleCheck := time.NewTicker(c.pool.config.idleCheckInterval())
	defer idleCheck.Stop()
	for {
		select {
		case request := <-c.writeQueue:
			c.write(request)
		case now := <-idleCheck.C:
			c.checkIdle(now)
		case <-c.closed:
			return
		}
	}
}

// checkIdle drops the ids that ended more than idReuseDelay ago, and closes idle connections of the pool (see closeIdleLocked).
func (c *conn) checkIdle(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	maps.DeleteFunc(c.endedIDs, func(_ uint64, endedAt time.Time) bool { return now.Sub(endedAt) > idReuseDelay })
	c.pool.closeIdleLocked(now)
}

// writeAction is what the writer does with a request from its queue.
type writeAction int

const (
	writeNothing writeAction = iota
	writeRequest
	writeCancel
	rejectRequest // end the request without writing any of it
)

// write handles a request from the queue: it writes the request or its cancellation, rejects the request or ignores it.
func (c *conn) write(request *PendingRequest) {
	now := time.Now()
	switch c.beginWrite(request, now) {
	case writeRequest:
		c.writeFrame(request.encode(now), request.deadline, request)
	case writeCancel:
		c.writeFrame(request.encodeCancel(), request.deadline, nil)
	case rejectRequest:
		c.finish(request, request.notStartedResult())
	}
}

// beginWrite chooses the action for a request from the queue and records the write that begins. The check is made directly
// before the first byte is written, because its result may change while the request is queued: its time may run out, its
// client may leave, or the worker may start to drain.
func (c *conn) beginWrite(request *PendingRequest, now time.Time) writeAction {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	action := c.chooseWriteLocked(request, now)
	if action == rejectRequest {
		return action
	}
	c.lastUsed = now
	if action == writeRequest {
		request.beginWriteLocked(now)
		c.writing = request
		if request.code == codeCall && c.unansweredSince.IsZero() {
			c.unansweredSince = now
		}
	}
	return action
}

// chooseWriteLocked returns the action for a request from the queue. If the request must no longer start, it counts the refusal.
func (c *conn) chooseWriteLocked(request *PendingRequest, now time.Time) writeAction {
	switch {
	case c.state == connClosed:
		return writeNothing
	case request.state == requestEnded && !request.wasWrittenLocked():
		return writeNothing
	case request.state == requestEnded:
		return writeCancel
	}
	if reason := request.checkStart(c.pool.state, now); reason != permit.Allowed {
		metrics.Refusals.Add(reason.String())
		return rejectRequest
	}
	return writeRequest
}

// writeFrame writes an encoded frame. request is the request that the frame starts, or nil for a cancellation. writeFrame ends
// the connection if the write fails, or if the connection was closed during the write: the first call of end has then left the
// request to the writer.
func (c *conn) writeFrame(data []byte, deadline time.Time, request *PendingRequest) {
	c.netConn.SetWriteDeadline(deadline.Add(c.pool.config.DialTimeout))
	failpoint.Hit("frame-before-write")
	written, err := c.netConn.Write(data)
	failpoint.Hit("frame-after-write")

	c.pool.mu.Lock()
	c.writing = nil
	closed := c.state == connClosed
	c.pool.mu.Unlock()

	partial := request
	if written == len(data) {
		partial = nil
	}
	if err != nil || closed {
		c.end(err, partial)
	}
}
