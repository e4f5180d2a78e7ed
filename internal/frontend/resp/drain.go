package resp

import (
	"maps"
	"slices"
	"time"

	"kitefall/internal/drain"
	"kitefall/internal/metrics"
)

// How the server sends its clients away. Package drain decides; the sweep asks it for each connection, often while clients
// are being sent away (sweepDraining), and a connection asks for itself whenever it may have become idle (closeIfDraining).
// Requests that are not taken any more are refused (handleCall). At the end of the process the listener reports its end only
// after the last connection (waitForLastConn).

// drainSweepInterval is the time between two sweeps while clients are being sent away.
const drainSweepInterval = 20 * time.Millisecond

// violationClientHeld names connections that still had requests open when the time for it was over, in metrics.
const violationClientHeld = "client_held"

// sweepInterval is the time until the next sweep.
func (s *Server) sweepInterval() time.Duration {
	if s.DrainState.Phase() != drain.Serving {
		return drainSweepInterval
	}
	return max(s.Timeouts.FirstRequest/sweepsPerTimeout, minSweepInterval)
}

// sweepDraining does with each connection what package drain says.
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

func (s *Server) drainConn(conn *trackedConn, now time.Time) {
	client := conn.attached()
	lastRequest, open := conn.acceptedAt, 0
	if client != nil {
		lastRequest, open = client.requestsInUse()
	}
	switch s.DrainState.Judge(now, conn.acceptedAt, lastRequest) {
	case drain.Keep:
		conn.overdue = false // it was spared by a call to take clients again
	case drain.CloseIfIdle:
		conn.closeIfIdle(closedWhenDraining)
	case drain.AnswerAndClose:
		if client != nil {
			client.failOpenRequests()
		}
		conn.closeIfIdle(closedWhenDraining)
	case drain.Close:
		conn.closeOverdue(open)
	}
}

// closeOverdue closes a connection whose time is over. What was read up to now is answered first, until the next sweep; the
// rest of a request that came in part is not waited for. open is how many requests had no answer when this sweep began.
func (t *trackedConn) closeOverdue(open int) {
	if t.closeIfIdle(closedOverdue) {
		return
	}
	if t.overdue {
		if open > 0 { // they came after the last sweep, which answered all
			metrics.Violations.Add(violationClientHeld)
		}
		t.closeAnyway(closedOverdue)
		return
	}
	t.overdue = true
	if client := t.attached(); client != nil {
		client.failOpenRequests()
	}
}

// requestsInUse returns when the last request came, and how many are open.
func (c *clientConn) requestsInUse() (last time.Time, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRequest, len(c.requests)
}

// closeIfDraining closes the connection if it is idle and clients are being sent away.
func (c *clientConn) closeIfDraining() {
	now := time.Now()
	if c.server.DrainState.Judge(now, now, now) != drain.Keep {
		c.closeIfIdle(closedWhenDraining)
	}
}

// waitForLastConn returns once no connection is open.
func (s *Server) waitForLastConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 {
		s.connClosed.Wait()
	}
}
