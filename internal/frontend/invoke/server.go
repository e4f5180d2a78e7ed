// Package invoke is the frontend for devices on unreliable links: an HTTPS API to invoke functions, synchronously or
// deferred. Clients authenticate with their SPIFFE identities. Both kinds of request become invocations, which package
// executor runs and keeps.
//
//	POST   /v1/functions/{function}/invocations  invoke a function; with Prefer: respond-async, deferred
//	GET    /v1/invocations/{invocation}          poll the outcome; with Prefer: wait=SECONDS, wait for it
//	DELETE /v1/invocations/{invocation}          cancel the invocation
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

	"kitefall/internal/descriptors"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/linger"
	"kitefall/internal/logthrottle"
)

const (
	readTimeout          = 10 * time.Second // for the headers, and again for the body: links are poor, but requests are small
	idleTimeout          = time.Minute      // of a connection without requests in flight
	maxHeaderBytes       = 16 << 10
	maxConcurrentStreams = 64 // per HTTP/2 connection
)

// Server serves the invoke API. Its methods are safe for concurrent use.
type Server struct {
	config       *Config
	executor     *executor.Executor
	httpServer   *http.Server
	slots        chan struct{} // holds an element for each request in flight
	conns        *connTracker
	departures   departureWatch            // ends the waits of clients that have left
	draining     atomic.Bool               // new invocations are rejected; set by Drain, cleared by Rejoin
	waitLimit    atomic.Pointer[waitLimit] // ends the waits of all requests; replaced by Rejoin
	forbiddenLog *logthrottle.Logger
	closing      linger.Group // connections whose clients may still be reading a response
}

// New returns a server, which Serve starts. The config must have been validated, as by ReadConfig.
func New(config *Config, invocationExecutor *executor.Executor, identity IdentitySource) *Server {
	s := &Server{
		config:       config,
		executor:     invocationExecutor,
		slots:        make(chan struct{}, config.MaxInFlight),
		conns:        newConnTracker(),
		forbiddenLog: logthrottle.New(),
	}
	s.waitLimit.Store(newWaitLimit())
	s.httpServer = &http.Server{
		Handler:           s.conns.markInUse(s.closeWhileDraining(s.routes())),
		ConnContext:       s.conns.connContext,
		ConnState:         s.conns.connState,
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
	// A resumed TLS session skips the verification of the client's SVID, so the session would still be accepted after the
	// trust bundle that verified the SVID was withdrawn.
	config.SessionTicketsDisabled = true
	return config
}

// Serve accepts connections on ln until Shutdown, and then returns nil. Each connection holds a descriptor of share until its
// socket is closed.
func (s *Server) Serve(ln net.Listener, share *descriptors.Share) error {
	limited := netutil.LimitListener(share.Listener(observableListener{linger.Deliver(ln)}), s.config.MaxConns)
	err := s.httpServer.ServeTLS(s.closing.Listener(limited), "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// AwaitDelivery waits, after Shutdown, until the clients have taken their responses, or until ctx is done.
func (s *Server) AwaitDelivery(ctx context.Context) { s.closing.Wait(ctx) }
