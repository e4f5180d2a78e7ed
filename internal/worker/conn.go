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

// idReuseDelay is how long an id stays off the connection on which it ended: another answer to it may still come, late or
// for a second time, and would be taken for that of a later attempt.
const idReuseDelay = 10 * time.Second

// connEndedLog is throttled, since peers can end any number of connections.
var connEndedLog = logthrottle.New()

// connState is the phase of a connection. It only ever advances.
type connState int

const (
	connDialing connState = iota // requests may be queued already
	connReady
	connStale // takes no further requests and is closed once it is idle
	connClosed
)

// conn is one connection to a worker. Its goroutines are that of run, which dials and then is the only writer, and that
// of readLoop. Both end soon after closeLocked, at the latest when the dial or a write reaches its deadline.
type conn struct {
	pool *Pool

	// netConn is set once, by dial, with the pool's mutex held; nil before. The writer and the reader, which run after
	// dial, need no mutex to use it.
	netConn net.Conn

	// writeQueue holds the requests to write. One that has ended after it was written is in it to be cancelled.
	writeQueue chan *PendingRequest
	closed     chan struct{} // closed with the connection

	// Guarded by the pool's mutex.
	state    connState
	inFlight map[uint64]*PendingRequest // queued or written here, by id, and not ended
	endedIDs map[uint64]time.Time       // ids of which further answers may come, and since when
	// writing is the request whose frame is being written, nil if none is. Only the writer can tell how far it came.
	writing   *PendingRequest
	createdAt time.Time
	lastUsed  time.Time
	answers   int // that came on it
	// unansweredSince is when the first call was written that no answer has come after; zero if there is none.
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

// advanceLocked sets the state, unless the connection is further already.
func (c *conn) advanceLocked(state connState) { c.state = max(c.state, state) }

// acceptsLocked reports whether a request with the id may be queued here.
func (c *conn) acceptsLocked(id uint64) bool {
	if c.state >= connStale || len(c.inFlight) >= c.pool.config.MaxStreams {
		return false
	}
	_, ended := c.endedIDs[id]
	return !ended && c.inFlight[id] == nil
}

// idleLocked reports whether the connection has nothing to write and no answer to wait for.
func (c *conn) idleLocked() bool {
	use := permit.Connection{Open: len(c.inFlight), Unwritten: len(c.writeQueue)}
	return use.Check() == permit.Allowed && c.writing == nil
}

// run establishes the connection and writes to it until it is closed. Unless it is granted a descriptor already, it waits for
// one first, for as long as a dial may take: that time is not the worker's.
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

// dial connects, with the descriptor that the connection was granted.
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
	if c.state == connClosed { // closed while the dial was under way
		c.closeSocketLocked()
	}
	c.advanceLocked(connReady)
	return nil
}

// connectedLocked reports whether there is an established connection.
func (p *Pool) connectedLocked() bool {
	return slices.ContainsFunc(p.conns, func(c *conn) bool { return c.netConn != nil })
}

// finish ends a request and passes its result on, unless it has ended already.
func (c *conn) finish(request *PendingRequest, result Result) {
	c.pool.mu.Lock()
	first := c.settleLocked(request)
	c.pool.mu.Unlock()
	if first && request.done != nil {
		request.done(result)
	}
}

// settleLocked ends a request and reports whether it had not ended before. A later request may bear its id by then, and
// stays in flight.
func (c *conn) settleLocked(request *PendingRequest) (first bool) {
	if c.inFlight[request.id] == request {
		delete(c.inFlight, request.id)
	}
	if c.pool.config.ConnLimit.wants(c.reusedLocked()) {
		c.makeRoomLocked()
	}
	return request.endLocked()
}

// closeLocked closes the connection, once, and takes it out of the pool.
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

// closeSocketLocked closes the socket, and then gives its descriptor back.
func (c *conn) closeSocketLocked() {
	c.netConn.Close() // which waits until the descriptor is closed
	c.pool.config.ConnLimit.release(c)
}

// end closes the connection and ends the requests in flight on it; cause says why, and partial is the request whose frame
// was written in part, nil if there is none. A request that was not written whole never ran: it is moved to another
// connection, once, unless this one was never established. All others may have run. A request that is being written is
// left to the writer, which ends the connection again and knows how far it came.
func (c *conn) end(cause error, partial *PendingRequest) {
	c.pool.mu.Lock()
	alreadyClosed := c.state == connClosed
	if !alreadyClosed {
		reasonOf(cause).count()
	}
	if !alreadyClosed && c.logsEndLocked(cause) {
		connEndedLog.Log(slog.LevelWarn, "worker: connection ended", "worker", c.pool.uid, "err", cause)
	}
	established := c.netConn != nil && c.pool.state != permit.WorkerIsRemoved
	if established && !alreadyClosed && len(c.inFlight) > 0 { // closed by the worker or the network
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
		if isShortage(cause) { // of ours: the worker is not to blame
			result = request.notStarted()
		}
		if !established || !c.pool.move(request) {
			c.finish(request, result)
		}
	}
}

// peerGoneLocked reports whether the end of the connection may be that of the worker's process.
func (c *conn) peerGoneLocked(cause error) bool {
	switch reasonOf(cause) {
	case closedRefused:
		return true
	case closedByWorker, closedReset:
		return len(c.pool.conns) <= 1 // it is the last one
	default:
		return false
	}
}

// logsEndLocked reports whether the end of the connection is worth a log line: it never came up, or the worker is at
// fault.
func (c *conn) logsEndLocked(cause error) bool {
	return c.netConn == nil || errors.Is(cause, errBadFrame) || errors.Is(cause, os.ErrDeadlineExceeded)
}

// takeInFlightLocked takes the requests in flight, but for the one that is being written, and divides them by whether
// they were written whole.
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
