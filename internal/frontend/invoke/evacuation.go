package invoke

import (
	"context"
	"net/http"
)

// pollContext is a context that all waiting polls share: cancelling it ends their waits. Its fields are never changed.
type pollContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newPollContext() *pollContext {
	ctx, cancel := context.WithCancel(context.Background())
	return &pollContext{ctx: ctx, cancel: cancel}
}

// Evacuate makes clients move to other dispatchers, until Rejoin: new invocations are rejected, and each connection is closed
// after its next response. Invocations in flight continue, and polls are still answered.
func (s *Server) Evacuate() { s.draining.Store(true) }

// EndLongPolls makes every poll return at once with the current state of its invocation, until Rejoin, because a waiting poll
// would keep its connection open. EndLongPolls also closes idle connections. A request that a client sends on an idle connection
// while the server closes that connection gets a reset. EndLongPolls must therefore be called long enough after Evacuate that
// clients have noticed the evacuation.
func (s *Server) EndLongPolls() {
	s.pollContext.Load().cancel()
	s.httpServer.SetKeepAlivesEnabled(false)
}

// closeWhileDraining wraps a handler so that, after Drain and from Evacuate to Rejoin, each connection is closed gracefully
// after its next response.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Rejoin ends an evacuation: the server accepts new invocations and keeps connections open again.
func (s *Server) Rejoin() {
	s.pollContext.Store(newPollContext())
	s.httpServer.SetKeepAlivesEnabled(true)
	s.draining.Store(false)
}
