package invoke

import "context"

// waitBound ends the waits of polls once its context is done. It is never changed.
type waitBound struct {
	ctx context.Context
	end context.CancelFunc
}

func newWaitBound() *waitBound {
	ctx, end := context.WithCancel(context.Background())
	return &waitBound{ctx: ctx, end: end}
}

// Evacuate sends the clients away until Rejoin: new invocations are rejected, idle connections are closed, and each other one
// after its last answer. Invocations in flight go on, and polls are answered.
func (s *Server) Evacuate() {
	s.draining.Store(true)
	s.httpServer.SetKeepAlivesEnabled(false)
}

// EndWaits has polls answer at once with how their invocation stands, until Rejoin: one that waits would keep its connection.
func (s *Server) EndWaits() { s.waits.Load().end() }

// Rejoin takes clients again.
func (s *Server) Rejoin() {
	s.waits.Store(newWaitBound())
	s.httpServer.SetKeepAlivesEnabled(true)
	s.draining.Store(false)
}
