// Package invoke is the frontend for devices on poor links: an API over HTTPS to invoke functions, synchronously or
// deferred. Clients authenticate by their SPIFFE identities. Both kinds of request become invocations of package
// executor, which decides all about them.
//
//	POST   /v1/functions/{function}/invocations  invoke a function; with Prefer: respond-async, deferred
//	GET    /v1/invocations/{invocation}          ask for the outcome; with Prefer: wait=SECONDS, wait for it
//	DELETE /v1/invocations/{invocation}          cancel
package invoke

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"golang.org/x/net/netutil"

	"kitefall/internal/invocation/executor"
	"kitefall/internal/logthrottle"
)

const (
	readTimeout          = 10 * time.Second // of the headers, and of the body: links are poor, but requests small
	idleTimeout          = time.Minute      // of a connection
	maxHeaderBytes       = 16 << 10
	maxConcurrentStreams = 64 // of one HTTP/2 connection
)

// Server serves the invoke API. Its methods are safe for concurrent use.
type Server struct {
	config       *Config
	executor     *executor.Executor
	httpServer   *http.Server
	slots        chan struct{} // holds an element for each request in flight
	draining     atomic.Bool   // new invocations are rejected
	waits        atomic.Pointer[waitBound]
	forbiddenLog *logthrottle.Logger
}

// New returns a server; Serve starts it. The config must have been validated.
func New(config *Config, invocations *executor.Executor, identity IdentitySource) *Server {
	s := &Server{
		config:       config,
		executor:     invocations,
		slots:        make(chan struct{}, config.MaxInFlight),
		forbiddenLog: logthrottle.New(),
	}
	s.waits.Store(newWaitBound())
	s.httpServer = &http.Server{
		Handler:           s.closeWhileDraining(s.routes()),
		TLSConfig:         newTLSConfig(identity),
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
	return s
}

func newTLSConfig(identity IdentitySource) *tls.Config {
	config := tlsconfig.MTLSServerConfig(identity, identity, tlsconfig.AuthorizeAny())
	config.MinVersion = tls.VersionTLS12
	// A resumed session would skip the check of the client's SVID: it could outlive a bundle that was withdrawn.
	config.SessionTicketsDisabled = true
	return config
}

// Serve accepts connections on ln until Shutdown, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	err := s.httpServer.ServeTLS(netutil.LimitListener(ln, s.config.MaxConns), "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain rejects new invocations from now on, so that those in flight can be completed. Polls are still answered.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown accepts no more connections and waits for the requests in flight, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.httpServer.Shutdown(ctx) }
