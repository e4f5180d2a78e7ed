package worker

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/failpoint"
	"kitefall/internal/logthrottle"
)

// Config is what all links share.
type Config struct {
	DialTimeout time.Duration // a connection not made by then has failed
	IdleTimeout time.Duration // workers close idle connections after this
	MaxStreams  int           // calls on one connection
	MaxConns    int           // to one worker at most
	ConnLimit   *ConnLimit    // for connections to all workers
	BreakRate   *BreakRate    // of connections to all workers
}

// Room is how many connections all links together may have. The first one of each link is always allowed: without
// it a worker could not be reached at all.
type ConnLimit struct{ left atomic.Int64 }

// NewRoom returns room for so many connections.
func NewConnLimit(connections int) *ConnLimit {
	r := &ConnLimit{}
	r.left.Store(int64(connections))
	return r
}

// closeEarly is the part of IdleClose after which this side closes an idle connection. Sooner than the
// worker, since a call that crosses the worker's close may have run and could not be repeated.
const closeEarly = 0.8

// frameBy is how long an answer may take from its first byte to its last. One that stops short would hold back all
// else on its connection until each call's own time is over.
const frameBy = 250 * time.Millisecond

// spent is how long an id stays off the connection on which it has ended: an answer to it may still come, late or
// for a second time, and would be taken for that of a later attempt.
const spent = 10 * time.Second

// silence is how long calls on a connection go without a word before the end of one marks it as stale, and all others
// of the link with it if they say nothing either. Where calls are given up sooner, several in a row make it up.
const silence = 500 * time.Millisecond

// ended is the log line of connections that end: peers can cause any number of them.
var ended = logthrottle.New()

var (
	errBusy = errors.New("no room on any connection")
	errGone = errors.New("worker is gone")
)

// Result is how an attempt or an order ended.
type Result struct {
	Status     balancer.Status
	Warmth     balancer.Warmth
	QueueDepth int // calls for the same function held there when this one came
	Copies     int // of an order: loaded copies
	Body       []byte
}

// Attempt is one run of a call that a worker is asked for.
type Attempt struct {
	ID              uint64
	Class, Function string
	Body            []byte
	Deadline        time.Time   // nobody waits for its answer after this
	StartBy         time.Time   // not begun after this; zero: while somebody waits
	Abandoned       func() bool // the call is over, and nothing of it may begin; asked from any goroutine; nil: it never is
}

// Job is an attempt or an order on its way through a link.
type PendingRequest struct {
	id      uint64
	code    byte
	fields  func(now time.Time) string
	body    []byte
	until   time.Time    // not written after this
	begin   time.Time    // nor after this
	over    func() bool  // nor once this says so
	done    func(Result) // from a goroutine of the link
	conn    *conn
	ended   bool
	again   bool // it was moved here from a connection that broke before it was written
	written time.Time
}

// late tells that a job may not begin any more.
func (j *PendingRequest) late(now time.Time) bool {
	return now.After(j.begin) || j.over != nil && j.over()
}

// Link is the way to one worker, known by its uid: addresses are given anew to other workers.
type Pool struct {
	uid, addr string
	config    *Config

	mu       sync.Mutex
	conns    []*conn
	heard    time.Time // when an answer last came, on any connection
	draining bool      // word has come that it drains or is gone
	gone     bool
}

// NewLink returns the link to a worker. It connects when there is something to send.
func NewPool(uid, addr string, c *Config) *Pool { return &Pool{uid: uid, addr: addr, config: c} }

type conn struct {
	link   *Pool
	net    net.Conn
	out    chan *PendingRequest // jobs to write; those that have ended and were written are given up
	closed chan struct{}

	// Guarded by the link's mu.
	open        map[uint64]*PendingRequest
	spent       map[uint64]time.Time // ids that have ended here: further answers to them may come
	shut, stale bool
	writing     *PendingRequest // its frame is under way: its writer alone can tell whether it was written whole
	made, since time.Time       // when it was begun, and when it was last in use
	owes        time.Time       // when the first call was written that no word has come after; zero: none
}

// Call sends an attempt. An error means that nothing was or will be sent, and done is not called.
func (l *Pool) Call(a Attempt, done func(Result)) (*PendingRequest, error) {
	fields := func(now time.Time) string {
		left := max(1, a.Deadline.Sub(now).Milliseconds())
		return "profile=" + a.Class + ",thing=" + a.Function + ",max=" + strconv.FormatInt(left, 10)
	}
	j := &PendingRequest{id: a.ID, code: codeCall, fields: fields, body: a.Body, until: a.Deadline, begin: a.Deadline, over: a.Abandoned, done: done}
	if !a.StartBy.IsZero() && a.StartBy.Before(a.Deadline) {
		j.begin = a.StartBy
	}
	return l.send(j)
}

// Load orders that the worker hold at least so many copies of a function; 0 only asks. It is not begun after begin.
func (l *Pool) Load(function string, copies int, begin, until time.Time, done func(Result)) (*PendingRequest, error) {
	fields := func(time.Time) string { return fmt.Sprintf("thing=%s,n=%d", function, copies) }
	return l.send(&PendingRequest{id: rand.Uint64(), code: codeLoad, fields: fields, until: until, begin: begin, done: done})
}

// Drop has the idle copies of a function unloaded. There is no answer.
func (l *Pool) Unload(function string, until time.Time) error {
	id, err := strconv.ParseUint(function, 16, 64)
	if err != nil {
		return err
	}
	_, err = l.send(&PendingRequest{id: id, code: codeDrop, fields: func(time.Time) string { return "" }, until: until, begin: until})
	return err
}

func (l *Pool) send(j *PendingRequest) (*PendingRequest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(j)
}

// put queues a job, with l locked.
func (l *Pool) put(j *PendingRequest) (*PendingRequest, error) {
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

// pick finds a connection for a job: an idle one, else a new one where that is worth its price, else that with the
// fewest open. Peers may cut a connection or spoil an answer at any time, and whatever is open there then fails with it.
func (l *Pool) pick(j *PendingRequest) *conn {
	l.closeIdle(time.Now()) // the tick that does so may be late, and the worker's own close would cross the call
	var best *conn
	for _, c := range l.conns {
		_, used := c.spent[j.id]
		if !c.shut && !c.stale && c.open[j.id] == nil && !used && len(c.open) < l.config.MaxStreams &&
			(best == nil || len(c.open) < len(best.open)) {
			best = c
		}
	}
	if best != nil && (len(best.open) == 0 || !l.config.BreakRate.apart()) || len(l.conns) >= l.config.MaxConns {
		return best
	}
	if l.config.ConnLimit.left.Add(-1) < 0 && len(l.conns) > 0 {
		l.config.ConnLimit.left.Add(1)
		return best
	}
	now := time.Now()
	c := &conn{link: l, out: make(chan *PendingRequest, 4*l.config.MaxStreams), closed: make(chan struct{}),
		open: map[uint64]*PendingRequest{}, spent: map[uint64]time.Time{}, made: now, since: now}
	l.conns = append(l.conns, c)
	l.config.BreakRate.count(1, 0)
	go c.run(now.Add(l.config.DialTimeout))
	return c
}

// early is when this side closes an idle connection.
func (c *Config) early() time.Duration { return time.Duration(closeEarly * float64(c.IdleTimeout)) }

// closeIdle closes the connections that are of no further use, with l locked.
func (l *Pool) closeIdle(now time.Time) {
	for _, c := range slices.Clone(l.conns) {
		if len(c.open) == 0 && len(c.out) == 0 && c.writing == nil && (c.stale || l.gone || now.Sub(c.since) > l.config.early()) {
			c.shutdown()
		}
	}
}

// GiveUp ends the wait for a job and tells whether any of it was written. Its done is not called any more,
// unless it is being called already.
func (l *Pool) Cancel(j *PendingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := j.conn
	if first := c.settle(j); !first || c.shut || j.written.IsZero() {
		return !j.written.IsZero()
	}
	now := time.Now()
	// A machine that was cut off leaves its connections open and silent. New ones tell: they fail to come up,
	// and what was to go there never ran. If only this connection is silent, its peer may have lost the call.
	since := j.written
	if !c.owes.IsZero() && c.owes.Before(since) {
		since = c.owes
	}
	if now.Sub(since) > silence {
		c.stale = true
		for _, o := range l.conns {
			o.stale = o.stale || l.heard.Before(since)
		}
	}
	if c.spent[j.id] = now; j.code == codeCall {
		select {
		case c.out <- j:
		default: // the worker takes nothing in; the attempt ends there by its own deadline
		}
	}
	return true
}

// Idle tells whether nothing is open on any connection.
func (l *Pool) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.conns, func(c *conn) bool { return len(c.open) > 0 })
}

// Drain notes word that the worker drains, or is gone. Nothing begins there any more, not even what has waited here:
// at a gone worker's address another one may listen by now.
func (l *Pool) MarkUnavailable(gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining, l.gone = true, gone
	l.closeIdle(time.Now())
}

// Ready notes word that the worker takes calls, and when it last started, in Unix time; 0: long ago. What was connected
// to an earlier run of it leads nowhere: a machine that was lost never closed those connections.
func (l *Pool) MarkReady(started time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining, l.gone = false, false
	for _, c := range l.conns {
		c.stale = c.stale || c.made.UnixNano() < int64(started)
	}
	l.closeIdle(time.Now())
}

// Close breaks all connections; what is open on them may have run.
func (l *Pool) Close() {
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
	idle := time.NewTicker(max(c.link.config.early()/8, 10*time.Millisecond))
	defer idle.Stop()
	for {
		select {
		case j := <-c.out:
			c.write(j)
		case now := <-idle.C:
			c.link.mu.Lock()
			maps.DeleteFunc(c.spent, func(_ uint64, at time.Time) bool { return now.Sub(at) > spent })
			c.link.closeIdle(now)
			c.link.mu.Unlock()
		case <-c.closed:
			return
		}
	}
}

func (c *conn) write(j *PendingRequest) {
	l, now := c.link, time.Now()
	l.mu.Lock()
	data, never := []byte(nil), Result{Status: balancer.NotSent}
	switch {
	case c.shut || j.ended && j.written.IsZero():
	case j.ended:
		data = frame{mark: markCommand, code: codeGiveUp, id: j.id}.encode()
	// The last moment before the first byte: the time may have run out, the client have gone, or word of a drain have
	// come, while the job waited for its connection.
	case l.draining, j.late(now):
		if j.code == codeLoad {
			never.Status = balancer.Rejected
		}
		l.mu.Unlock()
		c.finish(j, never)
		return
	default:
		j.written, c.writing = now, j
		if j.code == codeCall && c.owes.IsZero() {
			c.owes = now
		}
		data = frame{mark: markCommand, code: j.code, id: j.id, fields: j.fields(now), body: j.body}.encode()
	}
	c.since = now
	l.mu.Unlock()
	if data == nil {
		return
	}
	c.net.SetWriteDeadline(j.until.Add(l.config.DialTimeout))
	failpoint.Hit("frame-before-write")
	n, err := c.net.Write(data)
	failpoint.Hit("frame-after-write")
	l.mu.Lock()
	c.writing = nil
	shut := c.shut
	l.mu.Unlock()
	if n == len(data) || data[1] == codeGiveUp {
		j = nil // written whole, or nothing that could run
	}
	if err != nil || shut { // shut: the reader met the end meanwhile, and left this job to its writer
		c.end(err, j)
	}
}

func (c *conn) read() {
	r := bufio.NewReaderSize(c.net, 4096)
	for {
		if _, err := r.Peek(1); err != nil {
			c.end(err, nil)
			return
		}
		c.net.SetReadDeadline(time.Now().Add(frameBy))
		f, err := readFrame(r, markAnswer)
		if err != nil {
			c.end(err, nil)
			return
		}
		c.net.SetReadDeadline(time.Time{})
		now := time.Now()
		result, ok := f.result()
		c.link.mu.Lock()
		j := c.open[f.id]
		c.link.heard, c.since, c.owes = now, now, time.Time{}
		if j != nil && result.Status != balancer.OK { // the call may come here again, and this answer too
			c.spent[f.id] = now
		}
		c.link.mu.Unlock()
		if !ok {
			c.end(fmt.Errorf("%w: code %d", errFrame, f.code), nil)
			return
		}
		if j != nil && f.code != codeConnection { // else it is nobody's: late, a second copy, or never asked for
			c.finish(j, result)
		}
	}
}

var statuses = map[byte]balancer.Status{codeOK: balancer.OK, codeMiss: balancer.Miss, codeFull: balancer.Rejected,
	codeError: balancer.Failed, codeOver: balancer.NotSent, codeConnection: balancer.OK}

var remarks = map[string]balancer.Warmth{"hot": balancer.WarmthLoaded, "started": balancer.WarmthStartedLoad,
	"waited": balancer.WarmthWaitedForLoad, "broken": balancer.WarmthLoadFailed}

func (f frame) result() (Result, bool) {
	status, ok := statuses[f.code]
	crowd, _ := strconv.Atoi(cmp.Or(f.field("same"), "0"))
	copies, _ := strconv.Atoi(cmp.Or(f.field("n"), "0"))
	return Result{Status: status, Warmth: remarks[f.field("remark")], QueueDepth: crowd, Copies: copies, Body: f.body}, ok
}

// finish ends a job once.
func (c *conn) finish(j *PendingRequest, r Result) {
	c.link.mu.Lock()
	first := c.settle(j)
	c.link.mu.Unlock()
	if first && j.done != nil {
		j.done(r)
	}
}

// settle marks a job as ended, with the link locked, and tells whether it was open until now. A later job may
// bear its id by then, and stays open.
func (c *conn) settle(j *PendingRequest) bool {
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
	c.link.config.ConnLimit.left.Add(1)
	if c.net != nil {
		c.net.Close()
	}
}

// end closes the connection and ends what is open on it. What was not written whole never ran: it goes to another
// connection, once, unless this one never came up. All else may have run. A frame under way is left to its writer,
// which ends the connection again and knows how far it came.
func (c *conn) end(err error, partial *PendingRequest) {
	l := c.link
	l.mu.Lock()
	if !c.shut && (c.net == nil || errors.Is(err, errFrame) || errors.Is(err, os.ErrDeadlineExceeded)) {
		ended.Log(slog.LevelWarn, "worker: connection ended", "worker", l.uid, "err", err)
	}
	up := c.net != nil && !l.gone
	if up && !c.shut && len(c.open) > 0 { // not by this side
		l.config.BreakRate.count(0, 1)
	}
	c.shutdown()
	open := c.open
	c.open = map[uint64]*PendingRequest{}
	if j := c.writing; j != nil && open[j.id] == j {
		delete(open, j.id)
		c.open[j.id] = j
	}
	l.mu.Unlock()
	for _, j := range open {
		never := j == partial || j.written.IsZero()
		if never && up && !j.again && l.move(j) {
			continue
		}
		status := balancer.Reset
		if never {
			status = balancer.ConnectFailed
		}
		c.finish(j, Result{Status: status})
	}
}

// move sends a job that was not written on another connection, and tells whether it could.
func (l *Pool) move(j *PendingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.ended {
		return true
	}
	j.again, j.written = true, time.Time{}
	_, err := l.put(j)
	return err == nil
}
