package worker

import (
	"maps"
	"time"

	"kitefall/internal/failpoint"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
)

// writeLoop writes what is queued, and looks for idle connections of the pool, until the connection is closed.
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

// checkIdle forgets old ids and closes idle connections of the pool.
func (c *conn) checkIdle(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	maps.DeleteFunc(c.endedIDs, func(_ uint64, endedAt time.Time) bool { return now.Sub(endedAt) > idReuseDelay })
	c.pool.closeIdleLocked(now)
}

// writeAction is what the writer does with a request that it takes from its queue.
type writeAction int

const (
	writeNothing writeAction = iota
	writeRequest
	writeCancel
	rejectRefused // end the request, of which nothing was written
)

// write carries out what is to be done with a request from the queue.
func (c *conn) write(request *PendingRequest) {
	now := time.Now()
	switch c.beginWrite(request, now) {
	case writeRequest:
		c.writeFrame(request.encode(now), request.deadline, request)
	case writeCancel:
		c.writeFrame(request.encodeCancel(), request.deadline, nil)
	case rejectRefused:
		c.finish(request, request.notStarted())
	}
}

// beginWrite chooses what to do with a request from the queue and notes a write that begins. This is the last moment
// before the first byte: while the request waited, its time may have run out, its client have left, or an update have
// come that its worker drains.
func (c *conn) beginWrite(request *PendingRequest, now time.Time) writeAction {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	action := c.chooseWriteLocked(request, now)
	if action == rejectRefused {
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

func (c *conn) chooseWriteLocked(request *PendingRequest, now time.Time) writeAction {
	switch {
	case c.state == connClosed:
		return writeNothing
	case request.state == requestEnded && !request.wasWrittenLocked():
		return writeNothing
	case request.state == requestEnded:
		return writeCancel
	}
	if reason := request.permit(c.pool.state, now); reason != permit.Allowed {
		metrics.Refusals.Add(reason.String())
		return rejectRefused
	}
	return writeRequest
}

// writeFrame writes an encoded frame; request is the one that it starts, nil for a cancellation. If the write fails, or
// the reader met the end of the connection meanwhile and left the request to its writer, it ends the connection.
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
