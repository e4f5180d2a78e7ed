package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// wordOK is the word of an answer that was served (source: client protocol).
const wordOK = "ok"

// clientConn is a client's connection to a dispatcher.
type clientConn struct {
	client  *client // whose mutex guards what follows
	netConn *net.TCPConn
	run     int // of the dispatcher
	tag     int
	open    map[int]*Request // requests that an answer is waited for, by tag
	all     map[int]*Request
	closed  bool

	lastSent time.Duration // when the last request was sent
}

func (c *clientConn) isOpen() bool {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	return !c.closed
}

// send writes a request and returns its tag, or 0 where the connection has ended.
func (c *clientConn) send(r *Request) int {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.closed {
		return 0
	}
	c.beginLocked(r)
	_, err := io.WriteString(c.netConn, r.encode(c.tag))
	return c.sentLocked(r, err)
}

// beginLocked makes a request known under the next tag.
func (c *clientConn) beginLocked(r *Request) {
	c.tag++
	c.open[c.tag] = r
	c.all[c.tag] = r
}

// sentLocked notes that the last request was written, and returns its tag, or 0 if it was not written whole: then it was not
// taken.
func (c *clientConn) sentLocked(r *Request, err error) int {
	if err != nil || c.closed {
		delete(c.open, c.tag)
		return 0
	}
	r.Sent = Now()
	c.lastSent = r.Sent
	return c.tag
}

// encode returns the bytes of a request under a tag.
func (r *Request) encode(tag int) string {
	fields := fmt.Sprintf("id=%016x,wait=%d,key=%s,cost=40,spec=memory_mb:256;lanes:4;load_ms:60", r.ID,
		r.Wait.Milliseconds(), r.Function)
	return encodeWords("CALL", strconv.Itoa(tag), r.Class, fields, "body")
}

// cancel tells the dispatcher that the client no longer waits, unless the answer has come.
func (c *clientConn) cancel(tag int) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	r := c.open[tag]
	if r == nil || c.closed {
		return
	}
	r.Left = Now()
	delete(c.open, tag)
	c.writeLocked("CANCEL", strconv.Itoa(tag))
}

// closeByClient closes the connection with all that is open on it.
func (c *clientConn) closeByClient() {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.closed {
		return
	}
	for _, r := range c.open {
		r.Left = Now()
	}
	c.open = map[int]*Request{}
	c.closed = true
	c.netConn.Close()
}

func (c *clientConn) writeLocked(arguments ...string) {
	io.WriteString(c.netConn, encodeWords(arguments...))
}

// read takes answers until the connection ends.
func (c *clientConn) read() {
	reader := bufio.NewReader(c.netConn)
	for {
		parts, err := readAnswer(reader)
		if err != nil {
			c.endedByDispatcher(err)
			return
		}
		c.takeAnswer(parts)
	}
}

// endedByDispatcher records the end of the connection, which reading has met as err, with all requests open on it.
func (c *clientConn) endedByDispatcher(err error) {
	unanswered := c.endRequests(Now())
	if len(unanswered) > 0 && lastBytesUnread(c.netConn, err) {
		c.client.mu.Lock()
		for _, r := range unanswered {
			r.EndedUnread = true
		}
		c.client.mu.Unlock()
	}
	c.netConn.Close()
}

// endRequests ends the requests that are open and have no answer, and returns them. All answers that were written before the
// connection was closed have been read by now. A request that is waited for no longer is not among them.
func (c *clientConn) endRequests(now time.Duration) []*Request {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.closed = true
	var unanswered []*Request
	for _, r := range c.open {
		if r.Sent > 0 {
			unanswered = append(unanswered, r)
		}
	}
	c.open = map[int]*Request{}
	for _, r := range unanswered {
		r.ConnEnded = now
		r.OpenAtEnd = len(unanswered)
	}
	return unanswered
}

// takeAnswer records an answer. The request stays known, so that a second answer is noticed.
func (c *clientConn) takeAnswer(parts []string) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if len(parts) < 2 {
		return
	}
	tag, _ := strconv.Atoi(parts[0])
	r := c.all[tag]
	if r == nil {
		return
	}
	delete(c.open, tag)
	r.Answers = append(r.Answers, Now())
	r.Words = append(r.Words, parts[1])
	r.WrongBody = parts[1] == wordOK && parts[len(parts)-1] != fmt.Sprintf("%016x", r.ID)
}
