package resp

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"kitefall/internal/dispatch"
	"kitefall/internal/permit"
)

// The commands of clients.
const (
	commandCall   = "CALL"
	commandCancel = "CANCEL"
	commandCheck  = "CHECK"
)

// clientConn is the connection of a client that has sent its first request. One goroutine reads requests, one writes
// answers, and calls are completed by the dispatcher's; the connection may be closed by any of them, and by others.
type clientConn struct {
	server   *Server
	netConn  *trackedConn
	respConn redcon.DetachedConn // parses requests and buffers answers; it reads and writes netConn
	answers  chan answer         // to be written
	done     chan struct{}       // closed with the connection

	mu           sync.Mutex
	requests     map[uint64]*inFlightRequest // by tag
	unwritten    int                         // answers queued and not written yet
	closed       bool
	lastActivity time.Time // when the client last sent or was sent something
	lastRequest  time.Time // when its last call came
}

func newClientConn(server *Server, netConn *trackedConn, detached redcon.DetachedConn) *clientConn {
	return &clientConn{
		server:       server,
		netConn:      netConn,
		respConn:     detached,
		answers:      make(chan answer, answerQueueSize),
		done:         make(chan struct{}),
		requests:     map[uint64]*inFlightRequest{},
		lastActivity: time.Now(),
	}
}

// readRequests handles the first request and all that follow, and closes the connection after the last.
func (c *clientConn) readRequests(first redcon.Command) {
	err := c.takeRequest(first.Args)
	for err == nil {
		var command redcon.Command
		command, err = c.respConn.ReadCommand()
		if err == nil {
			err = c.takeRequest(command.Args)
		}
	}
	if errors.Is(err, errMalformedRequest) {
		c.server.logs.protocolError.Log(slog.LevelWarn, "frontend: connection closed after a protocol error",
			"addr", c.remoteAddr(), "err", err)
		c.close(closedMalformed)
		return
	}
	c.close(closedByClient)
}

// takeRequest handles one request that was read. An error ends the connection.
func (c *clientConn) takeRequest(args [][]byte) error {
	err := c.handleRequest(args)
	c.netConn.unhandled.Add(-1)
	c.closeIfDraining() // a cancel, or a request that is not taken, may leave it idle
	return err
}

// handleRequest handles one request. An error ends the connection.
func (c *clientConn) handleRequest(args [][]byte) error {
	if len(args) < 2 {
		return fmt.Errorf("%w: %d arguments", errMalformedRequest, len(args))
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("%w: tag %q", errMalformedRequest, args[1])
	}
	switch string(args[0]) {
	case commandCall:
		return c.handleCall(tag, args[2:])
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
	if request != nil && request.handle != nil {
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

// reply queues an answer to a request that is not in flight.
func (c *clientConn) reply(tag uint64, word string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueueLocked(newAnswer(tag, word, time.Now()))
}

func (c *clientConn) remoteAddr() string { return c.netConn.RemoteAddr().String() }

// idleSince reports whether nothing is in flight or unwritten, and when the client was last active.
func (c *clientConn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActivity, c.idleLocked()
}

// idleLocked reports whether nothing is in flight or unwritten. The caller holds c.mu.
func (c *clientConn) idleLocked() bool {
	return c.answersDueLocked().Check() == permit.Allowed
}

// answersDueLocked returns what is in use of the answers. The caller holds c.mu.
func (c *clientConn) answersDueLocked() permit.Connection {
	return permit.Connection{Open: len(c.requests), Unwritten: c.unwritten}
}

// close closes the connection and cancels the requests in flight on it. Only the first call has an effect.
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

// closeIfIdle closes the connection if nothing is in use on it, and reports whether it did. An incomplete request counts only
// where the reason spares it.
func (c *clientConn) closeIfIdle(reason closeReason) (closed bool) {
	c.mu.Lock()
	if c.closed || !c.netConn.stopReadingIfUnused(reason, c.answersDueLocked()) {
		c.mu.Unlock()
		return false
	}
	c.closeLocked() // an idle connection has no requests to cancel
	c.mu.Unlock()
	reason.count()
	c.netConn.Close()
	return true
}

// closeLocked marks the connection as closed, ends the writer and removes the requests in flight. It returns the
// handles of these, for the caller to cancel: that, and closing netConn, must wait until c.mu is released. The caller
// holds c.mu and has found the connection not closed yet.
func (c *clientConn) closeLocked() []*dispatch.Handle {
	c.closed = true
	close(c.done)
	var abandoned []*dispatch.Handle
	for tag, request := range c.requests {
		abandoned = append(abandoned, c.abandonLocked(tag, request)...)
	}
	return abandoned
}
