package worker

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"kitefall/rules"
)

// Config is what all links share.
type Config struct {
	DialTimeout time.Duration // a connection not made by then has failed
	IdleClose   time.Duration // workers close idle connections after this
	DrainGrace  time.Duration // nothing new is sent later than this after word of a drain
	Streams     int           // calls on one connection
	Connections int           // to one worker at most
}

// closeEarly is the part of IdleClose after which this side closes an idle connection. Sooner than the
// worker, since a call that crosses the worker's close may have run and could not be repeated.
const closeEarly = 0.8

// silence is how long a connection says nothing to an open call before its end marks the connection as stale.
const silence = 500 * time.Millisecond

var (
	errBusy = errors.New("no room on any connection")
	errGone = errors.New("worker is gone")
)

// Result is how an attempt or an order ended.
type Result struct {
	Status rules.Status
	Warmth rules.Warmth
	Crowd  int // calls for the same function held there when this one came
	Copies int // of an order: loaded copies
	Body   []byte
}

// Job is an attempt or an order on its way through a link.
type Job struct {
	id      uint64
	code    byte
	fields  func(now time.Time) string
	body    []byte
	until   time.Time    // not written after this
	done    func(Result) // from a goroutine of the link
	conn    *conn
	ended   bool
	written time.Time
}

// Link is the way to one worker, known by its uid: addresses are given anew to other workers.
type Link struct {
	uid, addr string
	config    *Config

	mu      sync.Mutex
	conns   []*conn
	drained time.Time // when word came that it drains or is gone
	gone    bool
}

// NewLink returns the link to a worker. It connects when there is something to send.
func NewLink(uid, addr string, c *Config) *Link { return &Link{uid: uid, addr: addr, config: c} }

type conn struct {
	link   *Link
	net    net.Conn
	out    chan *Job // jobs to write; those that have ended and were written are given up
	closed chan struct{}

	// Guarded by the link's mu.
	open         map[uint64]*Job
	givenUp      map[uint64]time.Time // late answers to these may still come
	shut, stale  bool
	heard, since time.Time
}

// Call sends an attempt. An error means that nothing was or will be sent, and done is not called.
func (l *Link) Call(id uint64, class, function string, body []byte, until time.Time, done func(Result)) (*Job, error) {
	fields := func(now time.Time) string {
		left := max(1, until.Sub(now).Milliseconds())
		return "profile=" + class + ",thing=" + function + ",max=" + strconv.FormatInt(left, 10)
	}
	return l.send(&Job{id: id, code: codeCall, fields: fields, body: body, until: until, done: done})
}

// Load orders that the worker hold at least so many copies of a function; 0 only asks.
func (l *Link) Load(function string, copies int, until time.Time, done func(Result)) (*Job, error) {
	fields := func(time.Time) string { return fmt.Sprintf("thing=%s,n=%d", function, copies) }
	return l.send(&Job{id: rand.Uint64(), code: codeLoad, fields: fields, until: until, done: done})
}

// Drop has the idle copies of a function unloaded. There is no answer.
func (l *Link) Drop(function string, until time.Time) error {
	id, err := strconv.ParseUint(function, 16, 64)
	if err != nil {
		return err
	}
	_, err = l.send(&Job{id: id, code: codeDrop, fields: func(time.Time) string { return "" }, until: until})
	return err
}

func (l *Link) send(j *Job) (*Job, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return nil, errGone
	}
	c := l.pick(j)
	if c == nil {
		return nil, errBusy
	}
	select {
	case c.out <- j:
	default:
		return nil, errBusy // the worker takes nothing in: better to try elsewhere than to wait here
	}
	j.conn = c
	if j.done != nil {
		c.open[j.id] = j
	}
	return j, nil
}

// pick finds a connection with room for a job, or begins a new one.
func (l *Link) pick(j *Job) *conn {
	for _, c := range l.conns {
		_, given := c.givenUp[j.id]
		// An id that is open or given up on a connection stays off it: the answer to the earlier attempt
		// would be taken for that of this one.
		if !c.shut && !c.stale && c.open[j.id] == nil && !given && len(c.open) < l.config.Streams {
			return c
		}
	}
	if len(l.conns) >= l.config.Connections {
		return nil
	}
	c := &conn{link: l, out: make(chan *Job, 4*l.config.Streams), closed: make(chan struct{}),
		open: map[uint64]*Job{}, givenUp: map[uint64]time.Time{}, since: time.Now()}
	l.conns = append(l.conns, c)
	go c.run(time.Now().Add(l.config.DialTimeout))
	return c
}

// GiveUp ends the wait for a job and tells whether any of it was written. Its done is not called any more,
// unless it is being called already.
func (l *Link) GiveUp(j *Job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := j.conn
	if first := c.settle(j); !first || c.shut || j.written.IsZero() {
		return !j.written.IsZero()
	}
	now := time.Now()
	// A machine that was cut off leaves its connections open and silent. New ones tell: they fail to come up,
	// and what was to go there never ran.
	if c.heard.Before(j.written) && now.Sub(j.written) > silence {
		c.stale = true
	}
	for id, at := range c.givenUp {
		if now.Sub(at) > 10*time.Second {
			delete(c.givenUp, id)
		}
	}
	if c.givenUp[j.id] = now; j.code == codeCall {
		select {
		case c.out <- j:
		default: // the worker takes nothing in; the attempt ends there by its own deadline
		}
	}
	return true
}

// Drain notes when word came that the worker drains, or is gone, or (zero time) that it is ready again.
func (l *Link) Drain(at time.Time, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.IsZero() || l.drained.IsZero() {
		l.drained = at
	}
	l.gone = gone
	for _, c := range l.conns {
		if gone && len(c.open) == 0 {
			c.shutdown()
		}
	}
}

// Close breaks all connections; what is open on them may have run.
func (l *Link) Close() {
	l.mu.Lock()
	conns := slices.Clone(l.conns)
	l.mu.Unlock()
	for _, c := range conns {
		c.end(errGone, nil)
	}
}

// run makes the connection and writes to it until it ends.
func (c *conn) run(by time.Time) {
	nc, err := (&net.Dialer{Deadline: by}).Dial("tcp", c.link.addr)
	if err != nil {
		c.end(err, nil)
		return
	}
	c.link.mu.Lock()
	c.net = nc
	if c.shut { // ended while the connection came up
		nc.Close()
	}
	c.link.mu.Unlock()
	go c.read()
	early := time.Duration(closeEarly * float64(c.link.config.IdleClose))
	idle := time.NewTicker(max(early/8, 10*time.Millisecond))
	defer idle.Stop()
	for {
		select {
		case j := <-c.out:
			c.write(j)
		case now := <-idle.C:
			c.link.mu.Lock()
			if len(c.open) == 0 && len(c.out) == 0 && (c.stale || c.link.gone || now.Sub(c.since) > early) {
				c.shutdown()
			}
			c.link.mu.Unlock()
		case <-c.closed:
			return
		}
	}
}

func (c *conn) write(j *Job) {
	l, now := c.link, time.Now()
	l.mu.Lock()
	data, never := []byte(nil), Result{Status: rules.Moot}
	switch {
	case c.shut || j.ended && j.written.IsZero():
	case j.ended:
		data = frame{mark: markCommand, code: codeGiveUp, id: j.id}.encode()
	// The last moment before the first byte: the time may have run out, or word of a drain have come, while
	// the job waited for its connection.
	case now.After(j.until), !l.drained.IsZero() && now.Sub(l.drained) >= l.config.DrainGrace:
		if j.code == codeLoad {
			never.Status = rules.Full
		}
		l.mu.Unlock()
		c.finish(j, never)
		return
	default:
		j.written = now
		data = frame{mark: markCommand, code: j.code, id: j.id, fields: j.fields(now), body: j.body}.encode()
	}
	c.since = now
	l.mu.Unlock()
	if data == nil {
		return
	}
	c.net.SetWriteDeadline(j.until.Add(l.config.DialTimeout))
	if n, err := c.net.Write(data); err != nil {
		if n == len(data) || data[1] == codeGiveUp {
			j = nil
		}
		c.end(err, j)
	}
}

func (c *conn) read() {
	r := bufio.NewReaderSize(c.net, 4096)
	for {
		f, err := readFrame(r, markAnswer)
		if err != nil {
			c.end(err, nil)
			return
		}
		now := time.Now()
		c.link.mu.Lock()
		j := c.open[f.id]
		c.heard, c.since = now, now
		delete(c.givenUp, f.id)
		c.link.mu.Unlock()
		result, ok := f.result()
		if !ok {
			c.end(fmt.Errorf("%w: code %d", errFrame, f.code), nil)
			return
		}
		if j != nil && f.code != codeConnection { // else it was given up, and this is its late answer
			c.finish(j, result)
		}
	}
}

var statuses = map[byte]rules.Status{codeOK: rules.OK, codeMiss: rules.Miss, codeFull: rules.Full,
	codeError: rules.Failed, codeOver: rules.Moot, codeConnection: rules.OK}

var remarks = map[string]rules.Warmth{"hot": rules.FoundLoaded, "started": rules.BeganLoad,
	"waited": rules.WaitedForLoad, "broken": rules.LoadFailed}

func (f frame) result() (Result, bool) {
	status, ok := statuses[f.code]
	crowd, _ := strconv.Atoi(cmp.Or(f.field("same"), "0"))
	copies, _ := strconv.Atoi(cmp.Or(f.field("n"), "0"))
	return Result{Status: status, Warmth: remarks[f.field("remark")], Crowd: crowd, Copies: copies, Body: f.body}, ok
}

// finish ends a job once.
func (c *conn) finish(j *Job, r Result) {
	c.link.mu.Lock()
	first := c.settle(j)
	c.link.mu.Unlock()
	if first && j.done != nil {
		j.done(r)
	}
}

// settle marks a job as ended, with the link locked, and tells whether it was open until now. A later job may
// bear its id by then, and stays open.
func (c *conn) settle(j *Job) bool {
	first := !j.ended
	j.ended = true
	if c.open[j.id] == j {
		delete(c.open, j.id)
	}
	return first
}

// shutdown closes the connection, once, with the link locked.
func (c *conn) shutdown() {
	if c.shut {
		return
	}
	c.shut = true
	close(c.closed)
	c.link.conns = slices.DeleteFunc(c.link.conns, func(o *conn) bool { return o == c })
	if c.net != nil {
		c.net.Close()
	}
}

// end closes the connection and ends what is open on it: what was not written whole never ran, all else may have.
func (c *conn) end(err error, partial *Job) {
	c.link.mu.Lock()
	if !c.shut && (c.net == nil || errors.Is(err, errFrame)) {
		log.Printf("worker %s: connection ended: %v", c.link.uid, err)
	}
	c.shutdown()
	open := c.open
	c.open = map[uint64]*Job{}
	c.link.mu.Unlock()
	for _, j := range open {
		if j == partial || j.written.IsZero() {
			c.finish(j, Result{Status: rules.ConnectFailed})
		} else {
			c.finish(j, Result{Status: rules.Reset})
		}
	}
}
