// Package admin serves the operators' address over HTTP/1.1. Requests ask whether the process is ready, and start or end its
// evacuation. Every answer is made from data that is already in memory, so that it arrives in time under any load.
//
// Source: operation page (where operators call, sending clients away).
package admin

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"kitefall/internal/descriptors"
)

// Methods and paths of the operators' requests.
const (
	routeReady     = "GET /api/ready"
	routeTelemetry = "GET /api/telemetry"
	routeEvacuate  = "PUT /api/evacuate"
	routeRejoin    = "PUT /api/rejoin"
)

// Limits for HTTP clients. Some clients connect, send nothing or only part of a request, and stay connected.
const (
	readTimeout  = 2 * time.Second // from accepting a connection until its request is received
	writeTimeout = 2 * time.Second // from the end of a request's header until the response is sent
	// maxHeaderBytes limits the size of a request's header; net/http adds a fixed allowance to it.
	maxHeaderBytes = 1 << 10
)

// Operations are the operations that operators can request from the process. They are called from many goroutines and must
// not block.
type Operations interface {
	// Ready reports whether the process accepts calls.
	Ready() bool
	// Evacuate starts an evacuation: the process closes its clients' connections by the schedule of package drain. It
	// returns no error if an evacuation is already in progress.
	Evacuate() error
	// Rejoin ends an evacuation: the process accepts clients again. It returns no error if the process already does.
	Rejoin() error
}

// Server answers the operators' requests. Serve may be called once; Close may be called at any time.
type Server struct {
	http        http.Server
	descriptors *descriptors.Share
}

// New returns a server that takes the descriptors of its connections from a share. When none is free, a new connection
// evicts an open one.
func New(operations Operations, share *descriptors.Share) *Server {
	s := &Server{descriptors: share}
	s.http = http.Server{
		Handler:        routes(operations),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
	}
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	return s
}

// Serve answers the requests that arrive on a listener until Close. Its error is never nil; after Close it is
// http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(newBoundedListener(ln, s.descriptors))
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// routes returns the handler of all requests. http.ServeMux answers unknown paths with 404 and wrong methods with 405.
func routes(operations Operations) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(routeReady, func(w http.ResponseWriter, _ *http.Request) {
		if !operations.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc(routeTelemetry, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "this version has no figures to tell", http.StatusServiceUnavailable)
	})
	mux.HandleFunc(routeEvacuate, changeHandler(operations.Evacuate, "evacuating"))
	mux.HandleFunc(routeRejoin, changeHandler(operations.Rejoin, "serving"))
	return mux
}

// changeHandler returns a handler that calls apply and answers with successText. An error of apply means that the current state
// of the process does not permit the change; the answer is then 409 with the error.
func changeHandler(apply func() error, successText string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := apply(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, successText)
	}
}
