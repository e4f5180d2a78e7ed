package invoke

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"kitefall/internal/invocation/executor"
	"kitefall/internal/metrics"
)

// unusedTimeout is how long after its accept a connection without a request is closed, once EndWaits was called. It leaves time
// for the handshake and the first request over a slow link.
const unusedTimeout = time.Second

// cutAtShutdown is the metrics label of connections that Shutdown closed while a request on them was being handled.
const cutAtShutdown = "shutdown"

// waitLimit is a context that all waiting requests share: cancelling it ends their waits. Its fields are never changed.
type waitLimit struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newWaitLimit() *waitLimit {
	ctx, cancel := context.WithCancel(context.Background())
	return &waitLimit{ctx: ctx, cancel: cancel}
}

// Drain makes clients move to other dispatchers, until Rejoin: new invocations are rejected, and each connection is closed after
// its next response. Invocations in flight continue, and polls still wait and are answered.
func (s *Server) Drain() { s.draining.Store(true) }

// EndWaits answers every request that waits for an outcome at once with the current state of its invocation, until Rejoin. It
// rejects requests whose bodies are incomplete, and closes the connections on which no request is being handled: idle ones at
// once, others unusedTimeout after they were accepted. A request that a client sends on a connection while the server closes it
// gets a reset. EndWaits must therefore be called long enough after Drain that clients have noticed the drain.
func (s *Server) EndWaits() {
	s.waitLimit.Load().cancel()
	s.httpServer.SetKeepAlivesEnabled(false)
	s.conns.closeUnused(unusedTimeout)
}

// Rejoin ends an evacuation: the server accepts new invocations and keeps connections open again.
func (s *Server) Rejoin() {
	s.waitLimit.Store(newWaitLimit())
	s.conns.keepUnused()
	s.httpServer.SetKeepAlivesEnabled(true)
	s.draining.Store(false)
}

// Shutdown stops accepting connections, and waits until every request has its response and every connection is closed, until ctx
// is done. Then it closes the remaining connections. Those on which a request was being handled are counted and logged: their
// clients get no whole response.
func (s *Server) Shutdown(ctx context.Context) {
	if s.httpServer.Shutdown(ctx) == nil {
		return
	}
	cut := s.conns.countInUse()
	metrics.AnswersCut.AddMany(cutAtShutdown, cut)
	if cut > 0 {
		slog.Error("invoke: connections closed before their response", "reason", cutAtShutdown, "conns", cut)
	}
	s.httpServer.Close()
}

// rejectWhileDraining returns the problem to respond with if the server does not accept new invocations, or nil.
func (s *Server) rejectWhileDraining() error {
	if s.draining.Load() {
		return rejectedByDrain()
	}
	return nil
}

func rejectedByDrain() *problem {
	return rejected(rejectionRetryAfter).withDetail("the dispatcher takes no clients at present")
}

// closeWhileDraining wraps a handler so that, from Drain to Rejoin, each connection is closed gracefully after its next response.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitWait returns the context of a request that waits for an outcome. It is done when the client has left, at until, or when
// EndWaits is called; executor.MustAnswer tells whether the client still waits for a response. The caller must call stop when
// the request no longer waits.
func (s *Server) limitWait(r *http.Request, until time.Time) (ctx context.Context, stop func()) {
	limited, cancel := context.WithCancelCause(r.Context())
	removeLimit := context.AfterFunc(s.waitLimit.Load().ctx, func() { cancel(executor.ErrAnswerNow) })
	ignoreDeparture := s.departures.add(r, cancel)
	ctx, cancelDeadline := context.WithDeadline(limited, until)
	return ctx, func() {
		cancelDeadline()
		ignoreDeparture()
		removeLimit()
		cancel(nil)
	}
}
