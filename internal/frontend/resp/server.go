// Package resp is the frontend for the platform's clients. It accepts RESP requests over TCP, submits them to the
// dispatcher as calls, and writes each answer as soon as it is known, regardless of the order of the requests. The dispatcher
// alone decides which worker gets a call and whether the call is retried.
//
// Source: client protocol. Only this package encodes and decodes the words of its requests and answers.
//
// Locks are taken in this order: Server.mu, clientConn.mu, requestIDs.mu.
package resp

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/descriptors"
	"kitefall/internal/dispatch"
	"kitefall/internal/drain"
	"kitefall/internal/logthrottle"
)

// Timeouts limits how long a client may keep a connection open without a request in flight. No timeout closes a connection with
// requests in flight. The client protocol demands that a client gets an answer or a close within 3 s of connecting.
type Timeouts struct {
	FirstRequest time.Duration // from the accept to the last byte of the first request
	Request      time.Duration // from the first byte of a request to its last
	Idle         time.Duration // since the last request or answer; clients usually close a connection after 4 s without one
	// NewConnGrace is how long after the accept the first request of a connection may still be on its way. Until then, a
	// connection without a request is among the last to be evicted. From then on it is among the first.
	NewConnGrace time.Duration
}

// DefaultTimeouts are the timeouts that the dispatcher uses.
var DefaultTimeouts = Timeouts{
	FirstRequest: 2500 * time.Millisecond,
	Request:      2500 * time.Millisecond,
	Idle:         5 * time.Second,
	NewConnGrace: 250 * time.Millisecond,
}

const (
	minSweepInterval = time.Millisecond
	// sweepsPerTimeout is the number of sweeps (see sweepUntilLastConn) in Timeouts.FirstRequest. It limits how late an expired
	// timeout is noticed.
	sweepsPerTimeout = 10
)

// Server serves clients on one address. The exported fields must be set before Serve and not changed afterwards.
type Server struct {
	Core     *dispatch.Core
	Ready    func() bool // decides the answer to CHECK
	Settings balancer.Settings
	Timeouts Timeouts
	// Cores is the number of processor cores that the process may use. It may be a fraction.
	Cores float64
	// DrainState decides which calls are admitted, and which connections are closed, while the process drains.
	DrainState *drain.State

	logs        logs
	descriptors *descriptors.Share
	sharedUnits *workQueue  // work units that all connections share
	requestIDs  *requestIDs // the ids of the requests on all connections

	mu         sync.Mutex
	conns      map[*trackedConn]bool
	connClosed *sync.Cond // signals that a connection was removed from conns
}

// logs holds a throttled logger for each log line whose rate depends on the clients.
type logs struct {
	connRejected  *logthrottle.Logger
	acceptFailed  *logthrottle.Logger
	protocolError *logthrottle.Logger
	requestFailed *logthrottle.Logger
	answersCut    *logthrottle.Logger
}

// Serve accepts connections on ln and serves them. Each open connection holds a descriptor of share. Serve returns after ln and
// the last connection are closed. It must be called only once.
func (s *Server) Serve(ln net.Listener, share *descriptors.Share) error {
	s.descriptors = share
	s.init()
	listenerEnded := make(chan struct{})
	defer close(listenerEnded)
	go s.sweepUntilLastConn(listenerEnded) // returns when Serve has returned and no connection is open
	limited := &listener{Listener: ln, server: s}
	for {
		conn, err := limited.accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		go conn.serve() // returns once the connection is closed
	}
}

func (s *Server) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = map[*trackedConn]bool{}
	s.connClosed = sync.NewCond(&s.mu)
	s.requestIDs = newRequestIDs(spentTimeFor(&s.Settings))
	s.sharedUnits = newSharedUnits(s.Cores)
	s.logs = logs{
		connRejected:  logthrottle.New(),
		acceptFailed:  logthrottle.New(),
		protocolError: logthrottle.New(),
		requestFailed: logthrottle.New(),
		answersCut:    logthrottle.New(),
	}
}

// OpenConns returns the number of open connections. It is safe for concurrent use.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// serve reads and handles the requests of a connection until it is closed. From the first request on, another goroutine writes the
// answers, because an answer may follow long after the answers to later requests.
func (t *trackedConn) serve() {
	reader := newRequestReader(t)
	first, err := reader.next()
	if err != nil {
		t.closeWithoutRequest(err)
		return
	}
	client := newClientConn(t.server, t)
	if !t.attach(client) {
		return
	}
	go client.writeAnswers()
	client.readRequests(first, reader)
}

// sweepUntilLastConn repeatedly closes the connections that have exceeded a timeout or that package drain wants closed. It
// returns when listenerEnded is closed and no connection is open.
func (s *Server) sweepUntilLastConn(listenerEnded <-chan struct{}) {
	accepting := true
	for accepting || s.OpenConns() > 0 {
		timer := time.NewTimer(s.sweepInterval())
		select {
		case <-timer.C:
		case <-s.DrainState.Changed():
		case <-listenerEnded:
			accepting = false
			listenerEnded = nil // a nil channel is never ready
		}
		timer.Stop()
		now := time.Now()
		s.closeTimedOut(now)
		s.closeLingering(now)
		s.sweepDraining(now)
	}
}

func (s *Server) closeTimedOut(now time.Time) {
	for _, conn := range s.timedOut(now) {
		switch {
		case conn.isTakingAnswers(now):
		case conn.closeIfIdle(closedTimedOut):
		case conn.undelivered(closedTimedOut):
			conn.forceClose(closedStalled)
		}
	}
}

func (s *Server) timedOut(now time.Time) []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var timedOut []*trackedConn
	for conn := range s.conns {
		if conn.timedOutLocked(now) {
			timedOut = append(timedOut, conn)
		}
	}
	return timedOut
}

// evictIdle evicts the first idle connection in the order of idleConn.compare, and reports whether it evicted one.
func (s *Server) evictIdle(reason closeReason) bool {
	for _, idle := range s.idleConns() {
		if idle.conn.closeIfIdle(reason) { // false: the connection is in use again
			return true
		}
	}
	return false
}

// idleConns returns the connections without requests in flight and unwritten answers, in the order in which to evict them.
func (s *Server) idleConns() []idleConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var idle []idleConn
	for conn := range s.conns {
		if since, isIdle := conn.idleSinceLocked(); isIdle {
			idle = append(idle, s.Timeouts.newIdleConn(conn, conn.client == nil, since, now))
		}
	}
	slices.SortFunc(idle, idleConn.compare)
	return idle
}

// evictionRank ranks idle connections by the harm that closing them does. Lower ranks are evicted first.
type evictionRank int

const (
	rankNoRequest evictionRank = iota // the client has not sent a complete request
	rankIdle                          // the client has sent requests, and none is in flight
	rankNew                           // accepted less than Timeouts.NewConnGrace ago: its first request may be on its way
)

// idleConn is an idle connection that may be evicted.
type idleConn struct {
	conn  *trackedConn
	rank  evictionRank
	since time.Time // the last activity, or the accept if there was no request
}

// newIdleConn returns conn with its rank. noRequest says that the client has not sent a complete request.
func (t *Timeouts) newIdleConn(conn *trackedConn, noRequest bool, since, now time.Time) idleConn {
	rank := rankIdle
	if noRequest {
		rank = rankNoRequest
	}
	if noRequest && now.Sub(since) < t.NewConnGrace {
		rank = rankNew
	}
	return idleConn{conn: conn, rank: rank, since: since}
}

// compare returns a negative number if c is to be evicted before other: by rank, and the longest idle first.
func (c idleConn) compare(other idleConn) int {
	return cmp.Or(cmp.Compare(c.rank, other.rank), c.since.Compare(other.since))
}
