// Package resp is the platform's front: RESP requests in, answers out of order. It is thin: it turns requests
// into calls and answers into RESP, and decides nothing.
package resp

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/logthrottle"
)

const (
	mostOpen   = 32 // requests on one connection
	queued     = 2 * mostOpen
	mostWait   = 600_000 // milliseconds, of any time that is told
	mostLanes  = 1 << 10
	mostMemory = 1 << 20 // MB
)

// The words of answers.
const (
	wordServed  = "ok"
	wordRefused = "full"
	wordFailed  = "fault"
	wordYes     = "yes"
	wordNo      = "no"
)

// Patience is how long a client may take. Owed by then is an answer or a close, 3 s after it has connected.
type Timeouts struct {
	FirstRequest time.Duration // from the accept to the end of its first request
	Request      time.Duration // from the first byte of a request to its last
	Idle         time.Duration // with nothing open; usual clients close by themselves after 4 s
}

// Usual is the patience with clients in service.
var DefaultTimeouts = Timeouts{FirstRequest: 2500 * time.Millisecond, Request: 2500 * time.Millisecond, Idle: 5 * time.Second}

// Server answers clients on one address.
type Server struct {
	Core     *dispatch.Core
	Ready    func() bool // what CHECK answers
	Settings balancer.Settings
	Timeouts Timeouts

	turned, broke, failed, starved *logthrottle.Logger

	mu    sync.Mutex
	conns map[*guard]bool
	gone  *sync.Cond // a connection has left conns
	done  bool

	idMu sync.Mutex
	ids  map[uint64]bool // of the open requests of all clients
}

// Serve answers on ln, at most so many connections at a time, until ln is closed and the last connection has ended.
func (s *Server) Serve(ln net.Listener, connections int) error {
	s.mu.Lock()
	s.conns, s.ids = map[*guard]bool{}, map[uint64]bool{}
	s.gone = sync.NewCond(&s.mu)
	s.turned, s.broke, s.failed, s.starved = logthrottle.New(), logthrottle.New(), logthrottle.New(), logthrottle.New()
	s.mu.Unlock()
	tick, ended := time.NewTicker(max(s.Timeouts.FirstRequest/10, time.Millisecond)), make(chan struct{})
	defer close(ended)
	go func() {
		defer tick.Stop()
		for alive := true; alive || s.ActiveConns() > 0; {
			select {
			case now := <-tick.C:
				s.sweep(now)
			case <-ended: // the listener; what it has accepted is looked after to the end
				alive, ended = false, nil
			}
		}
	}()
	return redcon.NewServer(ln.Addr().String(), s.first, nil, nil).Serve(
		listener{Listener: ln, server: s, most: connections})
}

// Finish closes each connection once its last answer is written, and those with nothing open now.
func (s *Server) Drain() {
	s.mu.Lock()
	s.done = true
	open := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, g := range open {
		g.leave()
	}
}

// Clients is the number of connections.
func (s *Server) ActiveConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// first takes a connection away from redcon at its first request: redcon answers in the order of the
// requests, and here an answer may come long after those to later requests.
func (s *Server) first(rc redcon.Conn, cmd redcon.Command) {
	g := rc.NetConn().(*guard)
	c := &client{server: s, net: g, tags: map[uint64]*pending{}, out: make(chan answer, queued),
		quit: make(chan struct{}), last: time.Now()}
	c.conn = rc.Detach()
	s.mu.Lock()
	closed := g.closed
	g.client = c
	s.mu.Unlock()
	if closed { // it was given up before its first request had come whole
		return
	}
	go c.write()
	go c.read(cmd)
}

// claim tells whether no open request has the id, and notes it.
func (s *Server) claim(id uint64) bool {
	s.idMu.Lock()
	defer s.idMu.Unlock()
	if s.ids[id] {
		return false
	}
	s.ids[id] = true
	return true
}

func (s *Server) release(id uint64) {
	s.idMu.Lock()
	defer s.idMu.Unlock()
	delete(s.ids, id)
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
	last   time.Time // when it last asked or was answered
}

type pending struct {
	id     uint64
	handle *dispatch.Handle
}

var (
	errClosed = errors.New("closed before the request was taken")
	errTwice  = errors.New("its id is that of an open request")
	errFull   = fmt.Errorf("%d requests are open on its connection", mostOpen)
)

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
		c.server.broke.Log(slog.LevelWarn, "front: closed", "addr", c.net.RemoteAddr().String(), "err", err)
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
	k, err := c.server.parse(args, time.Now())
	p := &pending{id: k.ID}
	c.mu.Lock()
	c.last = time.Now()
	_, twice := c.tags[tag]
	switch {
	case c.closed: // the client sends it again elsewhere: run here too, it could run twice
		c.mu.Unlock()
		return errClosed
	case twice: // whichever answer came, it could be taken for that of the other request
		c.mu.Unlock()
		return fmt.Errorf("%w: tag %d is open already", errRequest, tag)
	case err != nil:
	case len(c.tags) >= mostOpen:
		err = errFull
	case !c.server.claim(k.ID): // the worker would take it for the other request, and its answer for the other's
		err = errTwice
	default:
		c.tags[tag] = p
	}
	c.mu.Unlock()
	if err != nil {
		c.server.failed.Log(slog.LevelWarn, "front: request failed", "tag", tag, "addr", c.net.RemoteAddr().String(), "err", err)
		c.reply(tag, wordFailed)
		return nil
	}
	k.Done = func(a call.Answer) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.tags[tag] == p { // else it was cancelled, and nothing is owed
			c.settle(tag, p)
			c.put(c.server.wording(tag, a, k.Deadline))
		}
	}
	h, err := c.server.Core.Submit(k)
	if err != nil {
		k.Done(call.Answer{Outcome: call.Rejected})
		return nil
	}
	c.mu.Lock()
	p.handle = h
	gone := c.tags[tag] != p && c.closed // its connection ended while it was handed in
	c.mu.Unlock()
	if gone {
		h.Cancel()
	}
	return nil
}

// settle ends a request, with c locked.
func (c *client) settle(tag uint64, p *pending) {
	delete(c.tags, tag)
	c.server.release(p.id)
}

func (s *Server) wording(tag uint64, a call.Answer, by time.Time) answer {
	out := answer{tag: tag, by: by.Add(time.Second)}
	switch a.Outcome {
	case call.Served:
		out.word, out.body = wordServed, a.Body
	case call.Rejected:
		out.word = wordRefused
		if s.Settings.SendRetryAfter && a.RetryAfter > 0 {
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
	if p != nil {
		c.settle(tag, p)
		c.last = time.Now()
	}
	c.mu.Unlock()
	if p != nil && p.handle != nil {
		p.handle.Cancel()
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
		c.unsent, c.last = c.unsent-written, time.Now()
		c.mu.Unlock()
		written = 0
		c.server.leave(c)
	}
}

// leave closes the connection of a client with nothing open, once the server is finishing.
func (s *Server) leave(c *client) {
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	if done {
		c.endIfIdle()
	}
}

// idleSince tells whether nothing is open, and when the client last asked or was answered.
func (c *client) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.idle()
}

func (c *client) idle() bool { return len(c.tags) == 0 && c.unsent == 0 }

// endIfIdle closes the connection if nothing is open on it, and tells whether it is closed.
func (c *client) endIfIdle() bool {
	c.mu.Lock()
	if !c.closed && !c.idle() {
		c.mu.Unlock()
		return false
	}
	c.finish()
	return true
}

// end closes the connection and gives up what is open on it.
func (c *client) end() {
	c.mu.Lock()
	c.finish()
}

// finish does so once. It takes over the lock of c.
func (c *client) finish() {
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	close(c.quit)
	var open []*dispatch.Handle
	for tag, p := range c.tags {
		if p.handle != nil {
			open = append(open, p.handle)
		}
		c.settle(tag, p)
	}
	c.mu.Unlock()
	c.net.Close()
	for _, h := range open {
		h.Cancel()
	}
}

// parse makes a call of the words after the tag: class, fields, body. Whatever a worker or the module could not
// use ends here: a worker answers it with an error, and that would count against the worker.
func (s *Server) parse(args [][]byte, now time.Time) (*call.Call, error) {
	k := &call.Call{}
	if len(args) < 2 || len(args) > 3 {
		return k, fmt.Errorf("%d words", len(args))
	}
	k.Class = string(args[0])
	if len(args) == 3 {
		k.Body = args[2]
	}
	if len(k.Body) > call.MaxBodyBytes {
		return k, fmt.Errorf("%d bytes of body", len(k.Body))
	}
	wait, id := 0.0, ""
	err := pairs(string(args[1]), ",", "=", func(name, value string) (err error) {
		switch name {
		case "id":
			if id = value; !call.IsHexID(value) {
				return fmt.Errorf("id %q", value)
			}
			k.ID, err = strconv.ParseUint(value, 16, 64)
		case "wait":
			wait, err = number(value, 1, mostWait)
		case "tenant":
			k.Tenant = value
		case "key":
			k.Function = value
		case "cost":
			k.WorkEstimate, err = milliseconds(value)
		case "spec":
			err = pairs(value, ";", ":", func(name, value string) error { return figure(k, name, value) })
		}
		return err
	})
	switch {
	case err != nil:
	case id == "" || wait == 0 || !call.IsHexID(k.Function):
		err = fmt.Errorf("id %q, wait %v, key %q", id, wait, k.Function)
	case !slices.ContainsFunc(s.Settings.Classes, func(c balancer.Class) bool { return c.Name == k.Class }):
		err = fmt.Errorf("no class %q", k.Class)
	case len(s.Settings.Tenants) > 0 &&
		!slices.ContainsFunc(s.Settings.Tenants, func(t balancer.Tenant) bool { return t.Name == k.Tenant }):
		err = fmt.Errorf("no tenant %q", k.Tenant)
	}
	k.Deadline = now.Add(time.Duration(wait * float64(time.Millisecond)))
	return k, err
}

func figure(k *call.Call, name, value string) (err error) {
	switch name {
	case "memory_mb":
		k.MemoryMB, err = number(value, 0, mostMemory)
	case "lanes":
		lanes := 0.0
		lanes, err = number(value, 1, mostLanes)
		k.Concurrency = int(lanes)
	case "load_ms":
		k.LoadTime, err = milliseconds(value)
	}
	return err
}

func milliseconds(text string) (time.Duration, error) {
	ms, err := number(text, 0, mostWait)
	return time.Duration(ms * float64(time.Millisecond)), err
}

// number reads a figure within bounds. What is not a number is within none.
func number(text string, least, most float64) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err == nil && !(n >= least && n <= most) {
		err = fmt.Errorf("figure %q", text)
	}
	return n, err
}

// pairs reads a list of names and values, each name once.
func pairs(text, between, is string, each func(name, value string) error) error {
	seen := map[string]bool{}
	for _, part := range strings.Split(text, between) {
		name, value, ok := strings.Cut(part, is)
		if !ok || seen[name] {
			return fmt.Errorf("field %q", part)
		}
		seen[name] = true
		if err := each(name, value); err != nil {
			return err
		}
	}
	return nil
}
