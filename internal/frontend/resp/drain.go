package resp

import (
	"maps"
	"slices"
	"time"

	"kitefall/internal/drain"
	"kitefall/internal/metrics"
)

// This file closes the connections of clients while the process drains. Package drain decides which connections are closed, and
// when. During a drain, the sweep asks package drain about every connection at short intervals (sweepDraining), and each
// connection asks whenever it may have become idle (closeIfDraining). handleCall rejects the calls that package drain no longer
// admits. When the process ends, the listener waits for the last connection before it reports its own end (waitForLastConn).

// drainSweepInterval is the time between two sweeps during a drain.
const drainSweepInterval = 20 * time.Millisecond

// stallTimeout is how long a client may take nothing of its answers after the close deadline of its connection.
const stallTimeout = time.Second

// violationClientHeld is the metrics label of connections that still had requests in flight when they were closed after their
// close deadline.
const violationClientHeld = "client_held"

// sweepInterval returns the time until the next sweep.
func (s *Server) sweepInterval() time.Duration {
	if s.DrainState.Phase() != drain.Serving {
		return drainSweepInterval
	}
	return max(s.Timeouts.FirstRequest/sweepsPerTimeout, minSweepInterval)
}

// sweepDraining applies the decision of package drain to every connection.
func (s *Server) sweepDraining(now time.Time) {
	if s.DrainState.Phase() == drain.Serving {
		return
	}
	for _, conn := range s.openConns() {
		s.drainConn(conn, now)
	}
}

func (s *Server) openConns() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// drainConn applies the decision of package drain to one connection.
func (s *Server) drainConn(conn *trackedConn, now time.Time) {
	client := conn.attachedClient()
	lastRequest, inFlight := conn.acceptedAt, 0
	if client != nil {
		lastRequest, inFlight = client.requestActivity()
	}
	conn.observeDelivery(now)
	switch s.DrainState.ActionFor(now, conn.acceptedAt, lastRequest) {
	case drain.Keep:
		conn.pastCloseDeadline = false // a sweep of an earlier drain, which a rejoin has ended, may have set it
	case drain.CloseIfIdle:
		conn.closeIfIdle(closedWhenDraining)
	case drain.AnswerAndClose:
		if client != nil {
			client.failRequestsInFlight()
		}
		conn.closeIfIdle(closedWhenDraining)
	case drain.Finish:
		conn.finishPastDeadline(now, inFlight)
	case drain.Close:
		conn.closePastDeadline(inFlight)
	}
}

// finishPastDeadline closes a connection whose close deadline has passed, like closePastDeadline, but has the client take its
// answers first. A client that has taken nothing for stallTimeout is disconnected.
func (t *trackedConn) finishPastDeadline(now time.Time, inFlight int) {
	client := t.attachedClient()
	switch {
	case client == nil || !t.pastCloseDeadline:
		t.closePastDeadline(inFlight)
	case t.stalledFor(now) > stallTimeout:
		t.forceClose(closedStalled)
	default:
		client.finish(closedDrainTimeout)
	}
}

// closePastDeadline closes a connection whose close deadline has passed. If the connection is still in use, it fails the requests
// in flight and closes the connection only in the next sweep, so that all requests that were read are answered first. It does not
// wait for the rest of an incomplete request. inFlight is the number of requests in flight when this sweep began.
func (t *trackedConn) closePastDeadline(inFlight int) {
	if t.closeIfIdle(closedDrainTimeout) {
		return
	}
	if t.pastCloseDeadline {
		if inFlight > 0 { // these requests arrived after the last sweep, which answered all that were in flight then
			metrics.Violations.Add(violationClientHeld)
		}
		t.forceClose(closedDrainTimeout)
		return
	}
	t.pastCloseDeadline = true
	if client := t.attachedClient(); client != nil {
		client.failRequestsInFlight()
	}
}

// requestActivity returns when the last CALL arrived (zero: none has), and the number of requests in flight.
func (c *clientConn) requestActivity() (lastRequest time.Time, inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRequest, len(c.requests)
}

// closeIfDraining closes the connection if it is idle and package drain currently has idle connections closed.
func (c *clientConn) closeIfDraining() {
	now := time.Now()
	if c.server.DrainState.ActionFor(now, now, now) != drain.Keep {
		c.closeIfIdle(closedWhenDraining)
	}
}

// waitForLastConn blocks until no connection is open.
func (s *Server) waitForLastConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 {
		s.connClosed.Wait()
	}
}
