package invoke

import (
	"context"
	"net/http"
)

// waitBound ends the waits of polls once its context is done. It is never changed.
type waitBound struct {
	ctx context.Context
	end context.CancelFunc
}

func newWaitBound() *waitBound {
	ctx, end := context.WithCancel(context.Background())
	return &waitBound{ctx: ctx, end: end}
}

// Evacuate sends the clients away until Rejoin: new invocations are rejected, and each connection ends after its next answer.
// Invocations in flight go on, and polls are answered.
func (s *Server) Evacuate() { s.draining.Store(true) }

// EndWaits has polls answer at once with how their invocation stands, until Rejoin: one that waits would keep its connection.
// It also closes the connections that are idle. A first request that crosses such a close is reset, so this comes late, when
// clients have long noticed that they are sent away.
func (s *Server) EndWaits() {
	s.waits.Load().end()
	s.httpServer.SetKeepAlivesEnabled(false)
}

// closeWhileDraining has a connection end after its answer, gracefully, while clients are sent away.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Rejoin takes clients again.
func (s *Server) Rejoin() {
	s.waits.Store(newWaitBound())
	s.httpServer.SetKeepAlivesEnabled(true)
	s.draining.Store(false)
}
