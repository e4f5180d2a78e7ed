// Package worker forwards calls and load orders to workers. It holds a pool of connections for each worker, and encodes and
// decodes the frames of the worker protocol.
//
// The pool's mutex guards all state of the pool and of its connections and requests. Methods whose names end in Locked must
// be called with the mutex held. The mutex is never held while a socket is read, written or dialled, nor while a done
// callback runs.
package worker

import (
	"errors"
	"slices"
	"sync"
	"time"

	"kitefall/internal/permit"
)

// silenceLimit is how long a request may go without an answer before its cancellation marks its connection as stale. The time
// runs from the write of the request, or from the first call written since the last answer on the connection, if that was
// earlier. Several calls in a row that are each cancelled sooner thus reach the limit together.
const silenceLimit = 500 * time.Millisecond

var (
	errNoCapacity    = errors.New("no connection has capacity for the request")
	errWorkerRemoved = errors.New("worker was removed")
	errPoolClosed    = errors.New("pool was closed")
)

// Pool manages the connections to one worker. The uid identifies the worker, since its address may later be assigned to
// another worker. A Pool is safe for concurrent use, and none of its methods waits for a socket.
type Pool struct {
	uid    string
	addr   string
	config *Config

	mu         sync.Mutex
	state      permit.WorkerState // as in the last endpoint list update; a removed worker's address may belong to another worker
	conns      []*conn            // connections that are not closed
	lastAnswer time.Time          // when the last answer came on any connection
	// connectedSince is the start of the uninterrupted time with at least one established connection. All connections of
	// that time lead to the same process.
	connectedSince time.Time
}

// NewPool returns a pool for the worker uid at addr. The pool connects when it has a request to send. Pools may share c.
func NewPool(uid, addr string, c *Config) *Pool {
	return &Pool{uid: uid, addr: addr, config: c}
}

// Call queues an attempt to be sent. It calls done with the result, once and on a goroutine of the pool, unless the request
// is cancelled first. If Call returns an error, nothing of the attempt was or will be sent, and done is not called.
func (p *Pool) Call(a Attempt, done func(Result)) (*PendingRequest, error) {
	return p.send(newCallRequest(a, done))
}

// Load queues a load order to be sent. The callback done and the error are as for Call.
func (p *Pool) Load(order LoadOrder, done func(Result)) (*PendingRequest, error) {
	return p.send(newLoadRequest(order, done))
}

// Unload queues an order to unload the idle copies of a function. The worker does not answer unload orders. If Unload returns
// an error, nothing of the order was or will be sent.
func (p *Pool) Unload(function string, deadline time.Time) error {
	id, err := unloadID(function)
	if err != nil {
		return err
	}
	_, err = p.send(newUnloadRequest(id, deadline))
	return err
}

// Cancel ends a request and reports whether any part of it may have been written. After Cancel, the request's done callback
// is not called any more, unless the request had already ended: the callback may then be running or about to run.
func (p *Pool) Cancel(request *PendingRequest) (written bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := request.conn
	newlyEnded := c.endRequestLocked(request)
	written = request.wasWrittenLocked()
	if !newlyEnded || !written || c.state == connClosed {
		return written
	}
	now := time.Now()
	p.detectSilenceLocked(request, now)
	c.endedIDs[request.id] = now
	if request.code == codeCall {
		select {
		case c.writeQueue <- request:
		default: // the queue is full because the worker does not read; the worker ends the attempt at its deadline
		}
	}
	return written
}

// CancelUnwritten ends a request of which nothing was written, and reports whether it did. The result of a request that it has
// ended is not reported.
func (p *Pool) CancelUnwritten(request *PendingRequest) (cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if request.wasWrittenLocked() {
		return false
	}
	return request.conn.endRequestLocked(request)
}

// Idle reports whether no request is in flight on any connection.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(p.conns, func(c *conn) bool { return len(c.inFlight) > 0 })
}

// MarkUnavailable records that the worker is draining or was removed. Until MarkReady is called, no request is written to the
// worker, not even one that is already queued: another worker may already listen at the address of a removed one.
func (p *Pool) MarkUnavailable(state permit.WorkerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	p.closeIdleLocked(time.Now())
}

// MarkReady records that the worker takes calls. started is when the worker last started and must have a monotonic clock
// reading. Connections created before started are marked as stale: if the machine was lost, it never closed them, and they
// lead to no process any more.
func (p *Pool) MarkReady(started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = permit.WorkerStateReady
	for _, c := range p.conns {
		if c.createdAt.Before(started) {
			c.advanceLocked(connStale)
		}
	}
	p.closeIdleLocked(time.Now())
}

// Close closes all connections. Requests in flight end as on any broken connection: those that were written end with the
// status Reset, as they may have run. Close does not wait for the goroutines of the connections, which end soon after.
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

// move queues a request that was not completely written on another connection. A request is moved at most once. move returns
// true if the caller has nothing more to do: the request was queued again or had already ended.
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

// enqueueLocked picks a connection for a request and puts the request into its write queue.
func (p *Pool) enqueueLocked(request *PendingRequest) error {
	if p.state == permit.WorkerStateRemoved {
		return errWorkerRemoved
	}
	c := p.pickConnLocked(request.id)
	if c == nil {
		return errNoCapacity
	}
	select {
	case c.writeQueue <- request:
	default:
		return errNoCapacity // the worker does not read: trying another worker is better than waiting for this one
	}
	request.conn = c
	if request.done != nil {
		c.inFlight[request.id] = request
	}
	return nil
}

// pickConnLocked returns a connection for a request with the given id, or nil if there is none. It prefers an idle
// connection, then a new one if the handshake is worth its cost, then the one with the fewest requests in flight. Few requests
// on each connection limit the damage when a peer closes it or sends a corrupt answer, which ends all requests in flight on it.
func (p *Pool) pickConnLocked(id uint64) *conn {
	now := time.Now()
	p.closeIdleLocked(now) // the periodic check may be late, and the worker may close the connection during the write
	candidate := p.leastLoadedLocked(id)
	if candidate != nil && len(candidate.inFlight) == 0 {
		return candidate
	}
	if candidate != nil && !p.config.BreakRate.favorsSeparateConns() {
		return candidate
	}
	if len(p.conns) >= p.config.MaxConns {
		return candidate
	}
	if len(p.conns) > 0 && !p.config.ConnLimit.hasCapacity() {
		return candidate
	}
	c := newConn(p, now)
	granted := p.config.ConnLimit.tryAcquire(c)
	if !granted && len(p.conns) > 0 { // another pool took the last descriptor
		return candidate
	}
	p.openConnLocked(c, granted)
	return c
}

// leastLoadedLocked returns the connection with the fewest requests in flight among those that accept the id, or nil if no
// connection accepts it.
func (p *Pool) leastLoadedLocked(id uint64) *conn {
	var best *conn
	for _, c := range p.conns {
		if c.acceptsLocked(id) && (best == nil || len(c.inFlight) < len(best.inFlight)) {
			best = c
		}
	}
	return best
}

// openConnLocked adds a connection to the pool and starts it. If granted is false, the connection first waits until ConnLimit
// grants it a descriptor.
func (p *Pool) openConnLocked(c *conn, granted bool) {
	p.conns = append(p.conns, c)
	p.config.BreakRate.recordOpened()
	go c.run(granted)
}

// closeIdleLocked closes the connections that have been idle for too long, and all idle ones that are stale or whose worker was
// removed.
func (p *Pool) closeIdleLocked(now time.Time) {
	for _, c := range slices.Clone(p.conns) {
		obsolete := c.state == connStale || p.state == permit.WorkerStateRemoved
		idleFor := now.Sub(c.lastUsed)
		if c.idleLocked() && (obsolete || idleFor > p.config.idleCloseAfter()) {
			closedIdle.count()
			c.closeLocked()
		}
	}
}

// detectSilenceLocked marks connections as stale when a request is cancelled after more than silenceLimit without an answer. If
// the worker has sent no answer on any connection in that time, all connections of the pool become stale: a machine that was cut
// off leaves its connections open and silent. New connections reveal that failure, since they are never established, and the
// requests queued on them never ran. If the worker did answer in that time, the peer may have lost only the cancelled request:
// only the connection of the request becomes stale, and the others remain in use.
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
