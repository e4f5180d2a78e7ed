package resp

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"kitefall/internal/dispatch"
	"kitefall/internal/permit"
)

// The commands of clients.
const (
	commandCall   = "CALL"
	commandCancel = "CANCEL"
	commandCheck  = "CHECK"
)

// clientConn is the connection of a client that has sent its first request. One goroutine reads its requests, another writes
// its answers, and the dispatcher's event loop completes its calls. Any goroutine may close it.
type clientConn struct {
	server  *Server
	netConn *trackedConn
	writer  answerWriter  // used only by the writer
	answers chan answer   // queued for the writer
	done    chan struct{} // closed when the connection is closed

	// answersTaken is signalled when queued answers have been written.
	answersTaken chan struct{}
	ownUnits     *rate.Limiter // work units that the connection may use for itself
	account      workAccount   // its share of the server's units
	owedUnits    atomic.Int64  // work units that are not paid for yet; negative if some are earned
	overLimit    bool          // see handleCall; used only by the reader
	handled      int           // number of requests that the reader has handled; used only by the reader

	mu           sync.Mutex
	requests     map[uint64]*inFlightRequest // the requests in flight, by tag
	unwritten    int                         // number of answers queued but not written yet
	closed       bool
	finishing    bool      // closed by finish; set before done is closed
	lastActivity time.Time // when the client last sent a CALL or cancelled a request in flight, or answers were last written or taken
	lastRequest  time.Time // when the last CALL arrived; zero before the first
}

func newClientConn(server *Server, netConn *trackedConn) *clientConn {
	return &clientConn{
		server:       server,
		netConn:      netConn,
		writer:       answerWriter{destination: netConn},
		answers:      make(chan answer, answerQueueSize),
		done:         make(chan struct{}),
		answersTaken: make(chan struct{}, 1),
		ownUnits:     newOwnUnits(),
		requests:     map[uint64]*inFlightRequest{},
		lastActivity: time.Now(),
	}
}

// readRequests handles the first request and then every request that it reads. It closes the connection when reading or
// handling fails.
func (c *clientConn) readRequests(first request, reader *requestReader) {
	err := c.processRequest(first)
	for err == nil {
		if err = c.beforeRead(reader.buffered()); err != nil {
			break
		}
		var next request
		if next, err = reader.next(); err == nil {
			err = c.processRequest(next)
		}
	}
	c.close(c.server.readFailureReason(c.netConn, err))
}

// processRequest handles one request that was read, and removes it from the unhandled ones. After an error the caller closes
// the connection.
func (c *clientConn) processRequest(received request) error {
	err := c.handleRequest(received)
	c.netConn.unhandled.Add(-1)
	c.owedUnits.Add(int64(received.size / bytesPerUnit))
	c.closeIfDraining() // a CANCEL or a rejected request may leave the connection idle
	return err
}

// handleRequest runs the command of one request. It returns an error if the connection must be closed.
func (c *clientConn) handleRequest(received request) error {
	args := received.arguments
	if len(args) < 2 {
		return fmt.Errorf("%w: %d arguments, want at least a command and a tag", errMalformedRequest, len(args))
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("%w: invalid tag %q", errMalformedRequest, args[1])
	}
	switch string(args[0]) {
	case commandCall:
		return c.handleCall(tag, received)
	case commandCancel:
		c.handleCancel(tag)
	case commandCheck:
		c.handleCheck(tag)
	default:
		c.reply(tag, wordFailed)
	}
	return nil
}

func (c *clientConn) handleCancel(tag uint64) {
	c.mu.Lock()
	request := c.requests[tag]
	if request != nil {
		c.removeRequestLocked(tag)
		c.lastActivity = time.Now()
	}
	c.mu.Unlock()
	if request == nil {
		c.owedUnits.Add(unitsPerReply)
		return
	}
	c.owedUnits.Add(unitsPerCancel)
	if request.handle != nil {
		request.handle.Cancel()
	}
}

func (c *clientConn) handleCheck(tag uint64) {
	if c.server.Ready() {
		c.reply(tag, wordReady)
	} else {
		c.reply(tag, wordNotReady)
	}
}

// reply queues an answer that consists of a word alone, to a request that is not in flight.
func (c *clientConn) reply(tag uint64, word string) {
	c.owedUnits.Add(unitsPerReply)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueueLocked(newAnswer(tag, word))
}

// idleSince returns the time of the last activity, and whether the connection has neither a request in flight nor an
// unwritten answer.
func (c *clientConn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActivity, c.idleLocked()
}

// recordActivity records that the client was active at a time, unless it was active later.
func (c *clientConn) recordActivity(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.lastActivity) {
		c.lastActivity = at
	}
}

// idleLocked reports whether the connection has neither a request in flight nor an unwritten answer. The caller holds c.mu.
func (c *clientConn) idleLocked() bool {
	return c.pendingAnswersLocked().Check() == permit.Allowed
}

// pendingAnswersLocked returns the numbers of requests in flight and of unwritten answers. The caller holds c.mu.
func (c *clientConn) pendingAnswersLocked() permit.ConnectionUse {
	return permit.ConnectionUse{Open: len(c.requests), Unwritten: c.unwritten}
}

// close closes the connection and cancels its requests in flight. Calls after the first have no effect.
func (c *clientConn) close(reason closeReason) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	abandoned := c.closeLocked()
	c.mu.Unlock()
	reason.count()
	c.netConn.Close()
	for _, handle := range abandoned {
		handle.Cancel()
	}
}

// closeIfIdle closes the connection if it has no unhandled request, no request in flight, no unwritten or undelivered answer and
// no unread data, and reports whether it did. An incomplete request also prevents the close if reason.waitsForIncomplete.
func (c *clientConn) closeIfIdle(reason closeReason) (closed bool) {
	c.mu.Lock()
	if c.closed || !c.netConn.stopReadingIfIdle(reason, c.pendingAnswersLocked()) {
		c.mu.Unlock()
		return false
	}
	c.closeLocked() // returns no handles: an idle connection has no requests in flight
	c.mu.Unlock()
	reason.count()
	c.netConn.closeOnceDelivered()
	return true
}

// closeLocked marks the connection as closed, stops the writer and removes the requests in flight. The caller holds c.mu and
// has checked that the connection is not closed yet. After releasing c.mu, and not before, the caller closes netConn and
// cancels the returned handles, which belong to the removed requests.
func (c *clientConn) closeLocked() []*dispatch.Handle {
	c.closed = true
	close(c.done)
	var abandoned []*dispatch.Handle
	for tag, request := range c.requests {
		abandoned = append(abandoned, c.abandonLocked(tag, request)...)
	}
	return abandoned
}
