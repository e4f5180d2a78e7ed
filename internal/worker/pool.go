// Package worker forwards calls and load orders to the workers: a pool of connections for each worker, and the frames of
// the worker protocol.
//
// All state of a pool and of its connections and requests is guarded by the pool's mutex; methods whose names end in
// Locked must be called with it held. It is never held while a socket is read, written or dialled, nor while a result is
// passed on.
package worker

import (
	"errors"
	"slices"
	"sync"
	"time"

	"kitefall/internal/permit"
)

// silenceLimit is how long calls on a connection may go without any answer before the cancellation of one marks it as
// stale. Where calls are cancelled sooner, several in a row add up to it.
const silenceLimit = 500 * time.Millisecond

var (
	errNoCapacity    = errors.New("no connection has capacity for the request")
	errWorkerRemoved = errors.New("worker was removed")
	errPoolClosed    = errors.New("pool was closed")
)

// Pool is the connections to one worker, which is known by its uid: addresses are given anew to other workers. It is safe
// for concurrent use, and none of its methods waits for a socket.
type Pool struct {
	uid    string
	addr   string
	config *Config

	mu         sync.Mutex
	state      permit.Worker // by the last update of the endpoint list; the address of a removed one may be another's
	conns      []*conn       // those that are not closed
	lastAnswer time.Time     // on any connection
	// connectedSince is since when there has been an established connection without a gap: all of them lead to one process.
	connectedSince time.Time
}

// NewPool returns the pool of the worker at addr. It connects when there is something to send. Pools share c.
func NewPool(uid, addr string, c *Config) *Pool {
	return &Pool{uid: uid, addr: addr, config: c}
}

// Call sends an attempt. done is called with its result, once and from a goroutine of the pool, unless Cancel comes first.
// An error means that nothing was or will be sent, and done is not called.
func (p *Pool) Call(a Attempt, done func(Result)) (*PendingRequest, error) {
	return p.send(newCallRequest(a, done))
}

// Load sends a load order. done and the error are as for Call.
func (p *Pool) Load(order LoadOrder, done func(Result)) (*PendingRequest, error) {
	return p.send(newLoadRequest(order, done))
}

// Unload has the worker unload the idle copies of a function. There is no answer. An error means that nothing was or will
// be sent.
func (p *Pool) Unload(function string, deadline time.Time) error {
	id, err := unloadID(function)
	if err != nil {
		return err
	}
	_, err = p.send(newUnloadRequest(id, deadline))
	return err
}

// Cancel ends the wait for a request and reports whether any of it was written. Its done is not called any more, unless
// it is being called already.
func (p *Pool) Cancel(request *PendingRequest) (written bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := request.conn
	first := c.settleLocked(request)
	written = request.wasWrittenLocked()
	if !first || !written || c.state == connClosed {
		return written
	}
	now := time.Now()
	p.detectSilenceLocked(request, now)
	c.endedIDs[request.id] = now
	if request.code == codeCall {
		select {
		case c.writeQueue <- request:
		default: // the worker reads nothing; the attempt ends there by its own deadline
		}
	}
	return written
}

// Idle reports whether no request is in flight.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(p.conns, func(c *conn) bool { return len(c.inFlight) > 0 })
}

// MarkUnavailable notes that the worker drains, or that it was removed. No request is begun there any more, not even one
// that was queued before: at the address of a removed worker another one may listen by now.
func (p *Pool) MarkUnavailable(state permit.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	p.closeIdleLocked(time.Now())
}

// MarkReady notes that the worker takes calls, and when it last started, as a time with a monotonic reading. Connections
// made before that lead nowhere: a machine that was lost never closed them.
func (p *Pool) MarkReady(started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = permit.WorkerReady
	for _, c := range p.conns {
		if c.createdAt.Before(started) {
			c.advanceLocked(connStale)
		}
	}
	p.closeIdleLocked(time.Now())
}

// Close closes all connections. Requests in flight end as on any broken connection, those that were written as Reset:
// they may have run. The goroutines of the connections end soon after; Close does not wait for them.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := slices.Clone(p.conns)
	p.mu.Unlock()
	for _, c := range conns {
		c.end(errPoolClosed, nil)
	}
}

func (p *Pool) send(request *PendingRequest) (*PendingRequest, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.enqueueLocked(request); err != nil {
		return nil, err
	}
	return request, nil
}

// move sends a request that was not written whole on another connection, once, and reports whether nothing more is to be
// done for it.
func (p *Pool) move(request *PendingRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if request.state == requestEnded {
		return true
	}
	if request.moved {
		return false
	}
	request.requeueLocked()
	return p.enqueueLocked(request) == nil
}

// enqueueLocked hands a request to a connection.
func (p *Pool) enqueueLocked(request *PendingRequest) error {
	if p.state == permit.WorkerIsRemoved {
		return errWorkerRemoved
	}
	c := p.pickConnLocked(request.id)
	if c == nil {
		return errNoCapacity
	}
	select {
	case c.writeQueue <- request:
	default:
		return errNoCapacity // the worker reads nothing: another one is better than a wait here
	}
	request.conn = c
	if request.done != nil {
		c.inFlight[request.id] = request
	}
	return nil
}

// pickConnLocked returns a connection for a request: an idle one, else a new one where that is worth a handshake, else
// that with the fewest requests in flight; nil if there is none. Peers may cut a connection or spoil an answer at any
// time, and all requests in flight there then fail with it.
func (p *Pool) pickConnLocked(id uint64) *conn {
	now := time.Now()
	p.closeIdleLocked(now) // the periodic check may be late, and the worker's own close would cross the request
	candidate := p.leastLoadedLocked(id)
	if candidate != nil && len(candidate.inFlight) == 0 {
		return candidate
	}
	if candidate != nil && !p.config.BreakRate.separates() {
		return candidate
	}
	if len(p.conns) >= p.config.MaxConns {
		return candidate
	}
	if len(p.conns) > 0 && !p.config.ConnLimit.hasRoom() {
		return candidate
	}
	c := newConn(p, now)
	granted := p.config.ConnLimit.tryAcquire(c)
	if !granted && len(p.conns) > 0 { // another pool was faster
		return candidate
	}
	p.openConnLocked(c, granted)
	return c
}

// leastLoadedLocked returns the connection with the fewest requests in flight of those that accept the id, or nil.
func (p *Pool) leastLoadedLocked(id uint64) *conn {
	var best *conn
	for _, c := range p.conns {
		if c.acceptsLocked(id) && (best == nil || len(c.inFlight) < len(best.inFlight)) {
			best = c
		}
	}
	return best
}

// openConnLocked adds a connection and starts it. One that ConnLimit has granted no descriptor yet waits for it first.
func (p *Pool) openConnLocked(c *conn, granted bool) {
	p.conns = append(p.conns, c)
	p.config.BreakRate.recordOpened()
	go c.run(granted)
}

// closeIdleLocked closes the idle connections that are of no further use.
func (p *Pool) closeIdleLocked(now time.Time) {
	for _, c := range slices.Clone(p.conns) {
		useless := c.state == connStale || p.state == permit.WorkerIsRemoved
		unusedFor := now.Sub(c.lastUsed)
		if c.idleLocked() && (useless || unusedFor > p.config.idleCloseAfter()) {
			closedIdle.count()
			c.closeLocked()
		}
	}
}

// detectSilenceLocked marks connections as stale when a call is cancelled that the worker has not answered for
// silenceLimit. A machine that was cut off leaves its connections open and silent; new ones tell, since they are not
// established, and what was to be sent on them never ran. Where only the call's connection is silent, its peer may have
// lost the call, and the others remain in use.
func (p *Pool) detectSilenceLocked(request *PendingRequest, now time.Time) {
	silentConn := request.conn
	since := request.writtenAt
	if unanswered := silentConn.unansweredSince; !unanswered.IsZero() && unanswered.Before(since) {
		since = unanswered
	}
	if now.Sub(since) <= silenceLimit {
		return
	}
	silentConn.advanceLocked(connStale)
	if !p.lastAnswer.Before(since) {
		return
	}
	for _, c := range p.conns {
		c.advanceLocked(connStale)
	}
}
