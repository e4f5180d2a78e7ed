package resp

import (
	"maps"
	"slices"
)

// The drain of a server that is about to stop: Drain marks it as draining and closes the idle connections; each other
// connection is closed when its last answer is written or its last request cancelled (closeIfDraining); those accepted
// in the meantime are closed by the sweep (trackedConn.timedOutLocked); and the listener reports its end only after the
// last of them (waitForLastConn).

// Drain closes each connection once its last answer is written, and idle ones at once. It does not wait: Serve returns
// after the last connection, provided its listener is closed too.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, conn := range conns {
		conn.closeIfIdle(closedWhenDraining)
	}
}

// sweepReason is why the sweep closes a connection.
func (s *Server) sweepReason() closeReason {
	if s.isDraining() {
		return closedWhenDraining
	}
	return closedTimedOut
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// closeIfDraining closes the connection if it is idle and the server drains.
func (c *clientConn) closeIfDraining() {
	if c.server.isDraining() {
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
