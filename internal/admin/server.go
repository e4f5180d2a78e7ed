// Package admin is the operators' address: HTTP/1.1 calls that ask whether the process is ready, and that send its clients
// away or take them again. Every answer is made of what is in memory already, so that it comes in time whatever the load is.
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

// The operators' calls.
const (
	callReady     = "GET /api/ready"
	callTelemetry = "GET /api/telemetry"
	callEvacuate  = "PUT /api/evacuate"
	callRejoin    = "PUT /api/rejoin"
)

// How long a caller may take. Some send nothing, or half a call, and stay.
const (
	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// maxHeaderBytes bounds what is read of a call, beside what net/http adds to it.
	maxHeaderBytes = 1 << 10
)

// Operations is what operators can ask of the process. Its methods are called from many goroutines and must not wait.
type Operations interface {
	// Ready reports whether the process takes work.
	Ready() bool
	// Evacuate has the process send its clients away. That it does already is no error.
	Evacuate() error
	// Rejoin has it take clients again. That it does already is no error.
	Rejoin() error
}

// Server answers the operators' calls. Serve may be called once; Close may be called at any time.
type Server struct {
	http        http.Server
	descriptors *descriptors.Share
}

// New returns a server that takes the descriptors of its connections from a share; the newest callers are served.
func New(operations Operations, share *descriptors.Share) *Server {
	s := &Server{descriptors: share}
	s.http = http.Server{
		Handler:        routes(operations),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
	}
	s.http.SetKeepAlivesEnabled(false) // one call a connection
	return s
}

// Serve answers the calls on a listener until Close. Its error is never nil, and http.ErrServerClosed after Close.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(newBoundedListener(ln, s.descriptors))
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// routes returns the handler of all calls. Unknown paths are answered with 404 and wrong methods with 405, as http.ServeMux
// does.
func routes(operations Operations) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(callReady, func(w http.ResponseWriter, _ *http.Request) {
		if !operations.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc(callTelemetry, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "this version has no figures to tell", http.StatusServiceUnavailable)
	})
	mux.HandleFunc(callEvacuate, change(operations.Evacuate, "evacuating"))
	mux.HandleFunc(callRejoin, change(operations.Rejoin, "serving"))
	return mux
}

// change returns the handler of a call that changes something. An error means that it cannot be done in the present state.
func change(apply func() error, done string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := apply(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, done)
	}
}
