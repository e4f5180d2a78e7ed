// Package resp is the platform's front: RESP requests in, answers out of order. It is thin: it turns requests
// into calls and answers into RESP, and decides nothing.
package resp

import (
	"errors"
	"fmt"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
)

const (
	mostOpen = 32       // requests on one connection
	mostBody = 16 << 10 // bytes of a request's body
	queued   = 2 * mostOpen
	mostWait = 600_000 // milliseconds
)

// The words of answers.
const (
	wordServed  = "ok"
	wordRefused = "full"
	wordFailed  = "fault"
	wordYes     = "yes"
	wordNo      = "no"
)

// Server answers clients on one address.
type Server struct {
	Core  *dispatch.Core
	Ready func() bool // what CHECK answers
	// Advise adds to refusals when to come back. Without it clients are not told: the settings forbid it.
	Advise bool

	server *redcon.Server
	mu     sync.Mutex
	conns  map[*client]bool
	done   bool
}

// Serve answers on ln, at most so many connections at a time, until ln is closed.
func (s *Server) Serve(ln net.Listener, connections int) error {
	s.mu.Lock()
	s.conns = map[*client]bool{}
	s.mu.Unlock()
	s.server = redcon.NewServer(ln.Addr().String(), s.first, nil, nil)
	return s.server.Serve(listener{Listener: ln, room: make(chan struct{}, connections)})
}

// Finish closes each connection once its last answer is written, and those with nothing open now.
func (s *Server) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for c := range s.conns {
		c.leaveIfIdle()
	}
}

// Clients is the number of connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// first takes a connection away from redcon at its first request: redcon answers in the order of the
// requests, and here an answer may come long after those to later requests.
func (s *Server) first(rc redcon.Conn, cmd redcon.Command) {
	c := &client{server: s, net: rc.NetConn(), tags: map[uint64]*pending{}, out: make(chan answer, queued),
		quit: make(chan struct{})}
	c.conn = rc.Detach()
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	go c.write()
	go c.read(cmd)
}

// client is one connection: one goroutine reads, one writes.
type client struct {
	server *Server
	conn   redcon.DetachedConn
	net    net.Conn
	out    chan answer
	quit   chan struct{}

	mu     sync.Mutex
	tags   map[uint64]*pending // open requests
	unsent int                 // answers that are not written yet
	closed bool
}

type pending struct{ handle *dispatch.Handle }

type answer struct {
	tag    uint64
	word   string
	fields string
	body   []byte
	by     time.Time // of no use after this
}

func (c *client) read(cmd redcon.Command) {
	var err error
	for err == nil {
		if err = c.take(cmd.Args); err == nil {
			cmd, err = c.conn.ReadCommand()
		}
	}
	if errors.Is(err, errRequest) {
		log.Printf("front: closed %s: %v", c.net.RemoteAddr(), err)
	}
	c.end()
}

// take handles one request. An error closes the connection: there is no tag that an answer could carry.
func (c *client) take(args [][]byte) error {
	if len(args) < 2 {
		return fmt.Errorf("%w: %d words", errRequest, len(args))
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("%w: tag %q", errRequest, args[1])
	}
	switch string(args[0]) {
	case "CALL":
		return c.call(tag, args[2:])
	case "CANCEL":
		c.cancel(tag)
	case "CHECK":
		word := wordNo
		if c.server.Ready() {
			word = wordYes
		}
		c.reply(tag, word)
	default:
		c.reply(tag, wordFailed)
	}
	return nil
}

func (c *client) call(tag uint64, args [][]byte) error {
	now := time.Now()
	k, err := parse(args, now)
	c.mu.Lock()
	_, twice := c.tags[tag]
	full := len(c.tags) >= mostOpen
	p := &pending{}
	if err == nil && !full && !twice {
		c.tags[tag] = p
	}
	c.mu.Unlock()
	if twice { // whichever answer came, it could be taken for that of the other request
		return fmt.Errorf("%w: tag %d is open already", errRequest, tag)
	}
	if err != nil || full {
		log.Printf("front: request %d of %s failed: open on it: %t; %v", tag, c.net.RemoteAddr(), full, err)
		c.reply(tag, wordFailed)
		return nil
	}
	k.Done = func(a call.Answer) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.tags[tag] == p { // else it was cancelled, and nothing is owed
			delete(c.tags, tag)
			c.put(c.server.wording(tag, a, k.Deadline))
		}
	}
	h, err := c.server.Core.Submit(k)
	if err != nil {
		k.Done(call.Answer{Outcome: call.Refused})
		return nil
	}
	c.mu.Lock()
	p.handle = h
	c.mu.Unlock()
	return nil
}

func (s *Server) wording(tag uint64, a call.Answer, by time.Time) answer {
	out := answer{tag: tag, by: by.Add(time.Second)}
	switch a.Outcome {
	case call.Served:
		out.word, out.body = wordServed, a.Body
	case call.Refused:
		out.word = wordRefused
		if s.Advise && a.RetryAfter > 0 {
			out.fields = "after=" + strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)
		}
	default:
		out.word = wordFailed
	}
	return out
}

func (c *client) cancel(tag uint64) {
	c.mu.Lock()
	p := c.tags[tag]
	delete(c.tags, tag)
	c.mu.Unlock()
	if p != nil && p.handle != nil {
		p.handle.GiveUp()
	}
	c.server.leave(c)
}

// reply queues an answer to what opened nothing.
func (c *client) reply(tag uint64, word string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(answer{tag: tag, word: word, by: time.Now().Add(time.Second)})
}

// put queues an answer, with c locked. It never waits: the core's own goroutine calls it.
func (c *client) put(a answer) {
	select {
	case c.out <- a:
		c.unsent++
	default: // it asks and does not read: its connection ends, lest its answers fill the memory
		go c.end()
	}
}

func (c *client) write() {
	for written := 0; ; {
		var a answer
		select {
		case a = <-c.out:
		case <-c.quit:
			return
		}
		c.conn.WriteArray(4)
		c.conn.WriteBulkString(strconv.FormatUint(a.tag, 10))
		c.conn.WriteBulkString(a.word)
		c.conn.WriteBulkString(a.fields)
		c.conn.WriteBulk(a.body)
		if written++; len(c.out) > 0 {
			continue
		}
		c.net.SetWriteDeadline(a.by)
		if c.conn.Flush() != nil {
			c.end()
		}
		c.mu.Lock()
		c.unsent -= written
		c.mu.Unlock()
		written = 0
		c.server.leave(c)
	}
}

func (s *Server) leave(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		c.leaveIfIdle()
	}
}

func (c *client) leaveIfIdle() {
	c.mu.Lock()
	idle := len(c.tags) == 0 && c.unsent == 0
	c.mu.Unlock()
	if idle {
		go c.end()
	}
}

// end closes the connection and gives up what is open on it.
func (c *client) end() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	close(c.quit)
	var open []*dispatch.Handle
	for _, p := range c.tags {
		if p.handle != nil {
			open = append(open, p.handle)
		}
	}
	c.tags = map[uint64]*pending{}
	c.mu.Unlock()
	c.net.Close()
	for _, h := range open {
		h.GiveUp()
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// parse makes a call of the words after the tag: class, fields, body.
func parse(args [][]byte, now time.Time) (*call.Call, error) {
	if len(args) < 2 || len(args) > 3 || len(args[0]) == 0 {
		return nil, errors.New("words are missing")
	}
	k := &call.Call{Class: string(args[0])}
	if len(args) == 3 {
		k.Body = args[2]
	}
	if len(k.Body) > mostBody {
		return nil, fmt.Errorf("%d bytes of body", len(k.Body))
	}
	wait := int64(0)
	err := pairs(string(args[1]), ",", "=", func(name, value string) (err error) {
		switch name {
		case "id":
			k.ID, err = strconv.ParseUint(value, 16, 64)
		case "wait":
			wait, err = strconv.ParseInt(value, 10, 64)
		case "tenant":
			k.Tenant = value
		case "key":
			k.Function = value
		case "cost":
			k.Work, err = milliseconds(value)
		case "spec":
			err = pairs(value, ";", ":", func(name, value string) error { return figure(k, name, value) })
		}
		return err
	})
	if err == nil && (k.Function == "" || strings.ContainsAny(k.Class, ",=") || wait <= 0 || wait > mostWait) {
		err = fmt.Errorf("class %q, key %q, wait %d", k.Class, k.Function, wait)
	}
	k.Deadline = now.Add(time.Duration(wait) * time.Millisecond)
	return k, err
}

func figure(k *call.Call, name, value string) (err error) {
	switch name {
	case "memory_mb":
		k.Memory, err = strconv.ParseFloat(value, 64)
	case "lanes":
		k.Lanes, err = strconv.Atoi(value)
	case "load_ms":
		k.LoadTime, err = milliseconds(value)
	}
	return err
}

func milliseconds(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	return time.Duration(ms * float64(time.Millisecond)), err
}

func pairs(text, between, is string, each func(name, value string) error) error {
	for _, part := range strings.Split(text, between) {
		if name, value, ok := strings.Cut(part, is); ok {
			if err := each(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}
