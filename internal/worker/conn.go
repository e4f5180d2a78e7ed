package worker

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
	"kitefall/internal/permit"
)

// idReuseDelay is how long after the end of a request its id is not used again on the same connection. A late or duplicate
// answer with the id may still come on that connection, and would be taken for the answer to a later attempt.
const idReuseDelay = 10 * time.Second

// connEndedLog throttles the log lines for ended connections, since peers can end any number of connections.
var connEndedLog = logthrottle.New()

// connState is the phase of a connection. Its value never decreases.
type connState int

const (
	connDialing connState = iota // not established yet; requests may already be queued
	connReady
	connStale // takes no further requests; closed once it is idle
	connClosed
)

// conn is one connection to a worker. It has two goroutines: run dials and then is the only writer, and readLoop is the only
// reader. Both end soon after closeLocked, at the latest when the dial or a write reaches its deadline.
type conn struct {
	pool *Pool

	// netConn is nil until dial sets it, once, with the pool's mutex held. The writer and the reader start after dial, so
	// they use netConn without the mutex.
	netConn net.Conn

	// writeQueue holds the requests to write. A request in it that was written before and has ended is to be cancelled at
	// the worker.
	writeQueue chan *PendingRequest
	closed     chan struct{} // closed when the connection is closed

	// The following fields are guarded by the pool's mutex.
	state    connState
	inFlight map[uint64]*PendingRequest // requests queued or written here that have not ended, by id
	endedIDs map[uint64]time.Time       // ids that late or duplicate answers may still carry, with the time when each ended
	// writing is the request whose frame is being written, or nil. Only the writer knows how much of the frame was written.
	writing     *PendingRequest
	createdAt   time.Time
	lastUsed    time.Time // when a write last began or an answer last came; createdAt before that
	answerCount int       // number of answers that came on this connection
	// unansweredSince is when the first call since the last answer was written; zero if no call was written since that answer.
	unansweredSince time.Time
}

func newConn(p *Pool, now time.Time) *conn {
	return &conn{
		pool:       p,
		writeQueue: make(chan *PendingRequest, p.config.writeQueueSize()),
		closed:     make(chan struct{}),
		inFlight:   map[uint64]*PendingRequest{},
		endedIDs:   map[uint64]time.Time{},
		createdAt:  now,
		lastUsed:   now,
	}
}

// advanceLocked sets the state, unless the connection is already in a later one.
func (c *conn) advanceLocked(state connState) { c.state = max(c.state, state) }

// acceptsLocked reports whether a request with the id may be queued on this connection.
func (c *conn) acceptsLocked(id uint64) bool {
	if c.state >= connStale || len(c.inFlight) >= c.pool.config.MaxStreams {
		return false
	}
	_, ended := c.endedIDs[id]
	return !ended && c.inFlight[id] == nil
}

// idleLocked reports whether the connection has nothing to write and no request in flight.
func (c *conn) idleLocked() bool {
	usage := permit.ConnectionUse{Open: len(c.inFlight), Unwritten: len(c.writeQueue)}
	return usage.Check() == permit.Allowed && c.writing == nil
}

// run establishes the connection and writes to it until it is closed. Unless a descriptor was already granted, run first waits
// for one, for at most DialTimeout. The dial then has a full DialTimeout of its own, so that the wait does not count against
// the worker.
func (c *conn) run(granted bool) {
	if !granted {
		if err := c.pool.config.ConnLimit.acquire(c, time.Now().Add(c.pool.config.DialTimeout)); err != nil {
			c.end(err, nil)
			return
		}
	}
	if err := c.dial(time.Now().Add(c.pool.config.DialTimeout)); err != nil {
		c.end(err, nil)
		return
	}
	go c.readLoop()
	c.writeLoop()
}

// dial establishes the connection. If it fails, it releases the descriptor that the connection was granted.
func (c *conn) dial(deadline time.Time) error {
	dialer := net.Dialer{Deadline: deadline}
	netConn, err := dialer.Dial("tcp", c.pool.addr)
	if err != nil {
		c.pool.config.ConnLimit.release(c)
		return err
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.pool.connectedLocked() {
		c.pool.connectedSince = time.Now()
	}
	c.netConn = netConn
	if c.state == connClosed { // closed during the dial
		c.closeSocketLocked()
	}
	c.advanceLocked(connReady)
	return nil
}

// connectedLocked reports whether the pool has an established connection.
func (p *Pool) connectedLocked() bool {
	return slices.ContainsFunc(p.conns, func(c *conn) bool { return c.netConn != nil })
}

// finish ends a request and calls its done callback with the result, unless the request had already ended.
func (c *conn) finish(request *PendingRequest, result Result) {
	c.pool.mu.Lock()
	newlyEnded := c.endRequestLocked(request)
	c.pool.mu.Unlock()
	if newlyEnded && request.done != nil {
		request.done(result)
	}
}

// endRequestLocked ends a request. It returns false if the request had already ended. A later request that has the same id
// stays in flight. If c is now idle and another connection waits for a descriptor, endRequestLocked may evict c.
func (c *conn) endRequestLocked(request *PendingRequest) (newlyEnded bool) {
	if c.inFlight[request.id] == request {
		delete(c.inFlight, request.id)
	}
	if c.pool.config.ConnLimit.shouldEvict(c.reusedLocked()) {
		c.evictIfIdleLocked()
	}
	return request.endLocked()
}

// closeLocked closes the connection and removes it from the pool. Further calls have no effect.
func (c *conn) closeLocked() {
	if c.state == connClosed {
		return
	}
	c.advanceLocked(connClosed)
	close(c.closed)
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(other *conn) bool { return other == c })
	if c.netConn != nil {
		c.closeSocketLocked()
	}
}

// closeSocketLocked closes the socket and then releases its descriptor.
func (c *conn) closeSocketLocked() {
	c.netConn.Close() // returns once the descriptor is closed
	c.pool.config.ConnLimit.release(c)
}

// end closes the connection because of cause and ends the requests in flight on it. partial is the request whose frame was
// written only in part, or nil. A request that was not completely written never ran. It is moved to another connection, at
// most once, unless this connection was never established or the worker was removed. A request that was completely written
// may have run and ends with the status Reset. A request that is being written is left to the writer, which calls end again
// once it knows how much of the frame was written.
func (c *conn) end(cause error, partial *PendingRequest) {
	c.pool.mu.Lock()
	alreadyClosed := c.state == connClosed
	if !alreadyClosed {
		reasonOf(cause).count()
	}
	if !alreadyClosed && c.shouldLogEndLocked(cause) {
		connEndedLog.Log(slog.LevelWarn, "worker: connection ended", "worker", c.pool.uid, "err", cause)
	}
	established := c.netConn != nil && c.pool.state != permit.WorkerStateRemoved
	if established && !alreadyClosed && len(c.inFlight) > 0 { // broken under load
		c.pool.config.BreakRate.recordBroken()
	}
	peerGone := !alreadyClosed && c.peerGoneLocked(cause)
	c.closeLocked()
	unwritten, written := c.takeInFlightLocked(partial)
	c.pool.mu.Unlock()
	if peerGone && c.pool.config.PeerGone != nil {
		c.pool.config.PeerGone(c.pool.uid)
	}

	for _, request := range written {
		c.finish(request, Result{Status: balancer.Reset})
	}
	result := Result{Status: balancer.ConnectFailed}
	for _, request := range unwritten {
		if isShortage(cause) { // the cause is in this process or machine, not at the worker
			result = request.notStartedResult()
		}
		if !established || !c.pool.move(request) {
			c.finish(request, result)
		}
	}
}

// peerGoneLocked reports whether the cause suggests that the worker's process has ended. It must be called before the
// connection is removed from the pool.
func (c *conn) peerGoneLocked(cause error) bool {
	switch reasonOf(cause) {
	case closedRefused:
		return true
	case closedByWorker, closedReset:
		return len(c.pool.conns) <= 1 // no other connection is left
	default:
		return false
	}
}

// shouldLogEndLocked reports whether to log the end of the connection: it was never established, or the worker is at fault
// because it sent a bad frame or let a read or write time out.
func (c *conn) shouldLogEndLocked(cause error) bool {
	return c.netConn == nil || errors.Is(cause, errBadFrame) || errors.Is(cause, os.ErrDeadlineExceeded)
}

// takeInFlightLocked removes the requests in flight, except the one that is being written. It returns those that were not
// completely written and those that were. partial is the request whose frame was written only in part, or nil.
func (c *conn) takeInFlightLocked(partial *PendingRequest) (unwritten, written []*PendingRequest) {
	remaining := map[uint64]*PendingRequest{}
	for id, request := range c.inFlight {
		switch {
		case request == c.writing:
			remaining[id] = request
		case request == partial || !request.wasWrittenLocked():
			unwritten = append(unwritten, request)
		default:
			written = append(written, request)
		}
	}
	c.inFlight = remaining
	return unwritten, written
}
