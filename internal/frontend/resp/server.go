// Package resp is the frontend for the platform's clients. It accepts RESP requests over TCP, hands them to the
// dispatcher as calls, and writes each answer as soon as it is known, in whatever order that is. Which worker gets a
// call, and whether it is retried, is decided by the dispatcher alone.
//
// Source: client protocol. The words of requests and answers are translated here and nowhere else.
//
// Locks are taken in this order: Server.mu, clientConn.mu, requestIDs.mu.
package resp

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"kitefall/internal/balancer"
	"kitefall/internal/descriptors"
	"kitefall/internal/dispatch"
	"kitefall/internal/drain"
	"kitefall/internal/logthrottle"
)

// Timeouts bounds how long a client may hold a connection without a request in flight. A connection with requests in
// flight is closed by none of them. The protocol owes a client an answer or a close 3 s after it has connected.
type Timeouts struct {
	FirstRequest time.Duration // from the accept to the end of its first request
	Request      time.Duration // from the first byte of a request to its last
	Idle         time.Duration // since its last request or answer; clients usually close after 4 s themselves
	// Silence is how long after the accept a connection without any request may have its first one under way. Until then it
	// is the last to make room for others, and after that the first.
	Silence time.Duration
}

// DefaultTimeouts are the timeouts used in service.
var DefaultTimeouts = Timeouts{
	FirstRequest: 2500 * time.Millisecond,
	Request:      2500 * time.Millisecond,
	Idle:         5 * time.Second,
	Silence:      250 * time.Millisecond,
}

const (
	minSweepInterval = time.Millisecond
	// sweepsPerTimeout is how many sweeps fall into Timeouts.FirstRequest: it sets how late a timeout may be noticed.
	sweepsPerTimeout = 10
)

// Server serves clients on one address. The exported fields are set before Serve and not changed after it.
type Server struct {
	Core     *dispatch.Core
	Ready    func() bool // the answer to CHECK
	Settings balancer.Settings
	Timeouts Timeouts
	// DrainState says whether clients are sent away.
	DrainState *drain.State

	logs        logs
	descriptors *descriptors.Share
	requestIDs  *requestIDs // of the requests in flight on all connections

	mu         sync.Mutex
	conns      map[*trackedConn]bool
	connClosed *sync.Cond // signals that a connection has left conns
}

// logs holds one throttled log line per fault that clients can cause at will.
type logs struct {
	connRejected  *logthrottle.Logger
	acceptFailed  *logthrottle.Logger
	protocolError *logthrottle.Logger
	requestFailed *logthrottle.Logger
}

// Serve accepts connections on ln, and takes their descriptors from a share. It returns once ln is closed and the last
// connection has ended. It must be called once only.
func (s *Server) Serve(ln net.Listener, share *descriptors.Share) error {
	s.descriptors = share
	s.init()
	listenerEnded := make(chan struct{})
	defer close(listenerEnded)
	go s.sweepUntilLastConn(listenerEnded) // ends by itself after the last connection
	limited := &listener{Listener: ln, server: s}
	return redcon.NewServer(ln.Addr().String(), s.handleFirstRequest, nil, nil).Serve(limited)
}

func (s *Server) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = map[*trackedConn]bool{}
	s.connClosed = sync.NewCond(&s.mu)
	s.requestIDs = newRequestIDs()
	s.logs = logs{
		connRejected:  logthrottle.New(),
		acceptFailed:  logthrottle.New(),
		protocolError: logthrottle.New(),
		requestFailed: logthrottle.New(),
	}
}

// ActiveConns returns the number of open connections. It is safe for concurrent use.
func (s *Server) ActiveConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// handleFirstRequest takes a connection out of redcon's hands at its first request: redcon answers requests in their
// order, and here an answer may come long after those to later requests. The two goroutines that it starts end when
// the connection is closed.
func (s *Server) handleFirstRequest(conn redcon.Conn, command redcon.Command) {
	tracked := conn.NetConn().(*trackedConn)
	client := newClientConn(s, tracked, conn.Detach())
	if !tracked.attach(client) {
		return
	}
	go client.writeAnswers()
	go client.readRequests(command)
}

// sweepUntilLastConn closes connections that have exceeded a timeout, or are to be sent away, until the listener has ended
// and no connection is left.
func (s *Server) sweepUntilLastConn(listenerEnded <-chan struct{}) {
	accepting := true
	for accepting || s.ActiveConns() > 0 {
		next := time.NewTimer(s.sweepInterval())
		select {
		case <-next.C:
		case <-s.DrainState.Changed():
		case <-listenerEnded:
			accepting = false
			listenerEnded = nil // a nil channel is never ready
		}
		next.Stop()
		now := time.Now()
		s.closeTimedOut(now)
		s.sweepDraining(now)
	}
}

func (s *Server) closeTimedOut(now time.Time) {
	for _, conn := range s.timedOut(now) {
		conn.closeIfIdle(closedTimedOut)
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

// closeOneIdle closes the connection that costs least to close, see idleConn.compare, and reports whether one was closed.
func (s *Server) closeOneIdle(reason closeReason) bool {
	for _, idle := range s.idleConns() {
		if idle.conn.closeIfIdle(reason) { // else it is in use again
			return true
		}
	}
	return false
}

// idleConns returns the connections without requests in flight, in the order in which they may be closed.
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

// idleRank is how little harm it does to close a connection: lower ones go first.
type idleRank int

const (
	rankSilent idleRank = iota // it has never sent a whole request
	rankIdle                   // it has, and nothing is in flight
	rankNew                    // it is silent, but only for Timeouts.Silence: its first request may be under way
)

// idleConn is a connection that may be closed to make room for another.
type idleConn struct {
	conn  *trackedConn
	rank  idleRank
	since time.Time
}

// newIdleConn returns a connection that is idle, or silent, since a time.
func (t *Timeouts) newIdleConn(conn *trackedConn, silent bool, since, now time.Time) idleConn {
	rank := rankIdle
	if silent {
		rank = rankSilent
	}
	if silent && now.Sub(since) < t.Silence {
		rank = rankNew
	}
	return idleConn{conn: conn, rank: rank, since: since}
}

// compare is negative if closing c does less harm than closing other.
func (c idleConn) compare(other idleConn) int {
	return cmp.Or(cmp.Compare(c.rank, other.rank), c.since.Compare(other.since))
}
