package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// wordOK is the outcome word of a served answer (source: client protocol).
const wordOK = "ok"

// clientConn is a client's connection to a dispatcher.
type clientConn struct {
	client  *client // its mutex guards the fields below
	netConn *net.TCPConn
	run     int              // number of the dispatcher's process
	tag     int              // tag of the last request
	pending map[int]*Request // requests without an answer that the client still waits for, by tag
	byTag   map[int]*Request // all requests of the connection
	closed  bool

	lastSent time.Duration // when the last request was written
}

func (c *clientConn) isOpen() bool {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	return !c.closed
}

// send writes a request and returns its tag, or 0 if the connection has ended.
func (c *clientConn) send(r *Request) int {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.closed {
		return 0
	}
	c.registerLocked(r)
	_, err := io.WriteString(c.netConn, r.encode(c.tag))
	return c.completeSendLocked(r, err)
}

// registerLocked assigns the next tag to a request.
func (c *clientConn) registerLocked(r *Request) {
	c.tag++
	c.pending[c.tag] = r
	c.byTag[c.tag] = r
}

// completeSendLocked records the time at which the last request was written and returns its tag. It returns 0 if the request was
// not written whole, since a dispatcher does not accept a partial request.
func (c *clientConn) completeSendLocked(r *Request, err error) int {
	if err != nil || c.closed {
		delete(c.pending, c.tag)
		return 0
	}
	r.Sent = Now()
	c.lastSent = r.Sent
	return c.tag
}

// encode returns the bytes of a request with a tag.
func (r *Request) encode(tag int) string {
	fields := fmt.Sprintf("id=%016x,wait=%d,key=%s,cost=40,spec=memory_mb:256;lanes:4;load_ms:60", r.ID,
		r.Wait.Milliseconds(), r.Function)
	return encodeWords("CALL", strconv.Itoa(tag), r.Class, fields, "body")
}

// cancel tells the dispatcher that the client no longer waits for a request, unless the request has been answered.
func (c *clientConn) cancel(tag int) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	r := c.pending[tag]
	if r == nil || c.closed {
		return
	}
	r.ClientLeft = Now()
	delete(c.pending, tag)
	c.writeLocked("CANCEL", strconv.Itoa(tag))
}

// closeByClient closes the connection and ends the wait for all its pending requests.
func (c *clientConn) closeByClient() {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.closed {
		return
	}
	for _, r := range c.pending {
		r.ClientLeft = Now()
	}
	c.pending = map[int]*Request{}
	c.closed = true
	c.netConn.Close()
}

func (c *clientConn) writeLocked(arguments ...string) {
	io.WriteString(c.netConn, encodeWords(arguments...))
}

// readAnswers records answers until the connection ends.
func (c *clientConn) readAnswers() {
	reader := bufio.NewReader(c.netConn)
	for {
		parts, err := readAnswer(reader)
		if err != nil {
			c.recordDispatcherClose(err)
			return
		}
		c.recordAnswer(parts)
	}
}

// recordDispatcherClose records the end of the connection for its pending requests, and whether the dispatcher left data unread.
// err is the error of the last read.
func (c *clientConn) recordDispatcherClose(err error) {
	unanswered := c.endPendingRequests(Now())
	if len(unanswered) > 0 && lastBytesUnread(c.netConn, err) {
		c.client.mu.Lock()
		for _, r := range unanswered {
			r.EndedUnread = true
		}
		c.client.mu.Unlock()
	}
	c.netConn.Close()
}

// endPendingRequests removes all pending requests, records the end of the connection for those that were written whole, and
// returns these. The client has read all answers that the dispatcher wrote before the close. Requests that the client cancelled
// are not pending.
func (c *clientConn) endPendingRequests(now time.Duration) []*Request {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.closed = true
	var unanswered []*Request
	for _, r := range c.pending {
		if r.Sent > 0 {
			unanswered = append(unanswered, r)
		}
	}
	c.pending = map[int]*Request{}
	for _, r := range unanswered {
		r.ConnEnded = now
		r.OpenAtEnd = len(unanswered)
	}
	return unanswered
}

// recordAnswer records an answer. The request stays in byTag so that a second answer to it is recorded too.
func (c *clientConn) recordAnswer(parts []string) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if len(parts) < 2 {
		return
	}
	tag, _ := strconv.Atoi(parts[0])
	r := c.byTag[tag]
	if r == nil {
		return
	}
	delete(c.pending, tag)
	r.Answers = append(r.Answers, Now())
	r.Outcomes = append(r.Outcomes, parts[1])
	r.WrongBody = parts[1] == wordOK && parts[len(parts)-1] != fmt.Sprintf("%016x", r.ID)
}
