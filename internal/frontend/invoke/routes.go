package invoke

import (
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The path parameters of the routes.
const (
	functionParameter   = "function"
	invocationParameter = "invocation"
)

const invocationsPath = "/v1/invocations/"

// rejectionRetryAfter is the Retry-After of a rejection because no slot is free, or because the server drains.
const rejectionRetryAfter = time.Second

func invocationPath(id string) string { return invocationsPath + id }

// handler handles a request of an authenticated tenant. If it returns an error, it must not have written a response: the
// caller writes a problem document for the error.
type handler func(w http.ResponseWriter, r *http.Request, tenant string) error

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/functions/{"+functionParameter+"}/invocations", s.resourceHandler(map[string]handler{
		http.MethodPost: s.handleCreate,
	}))
	mux.HandleFunc(invocationsPath+"{"+invocationParameter+"}", s.resourceHandler(map[string]handler{
		http.MethodGet:    s.handlePoll,
		http.MethodDelete: s.handleCancel,
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { notFound().write(w) })
	return mux
}

// resourceHandler returns the HTTP handler of one resource. For each request it selects the handler of the method,
// identifies the client's tenant and acquires a slot, in that order. If one of them fails, it responds with a problem
// document.
func (s *Server) resourceHandler(handlers map[string]handler) http.HandlerFunc {
	allowedMethods := strings.Join(slices.Sorted(maps.Keys(handlers)), ", ")
	return func(w http.ResponseWriter, r *http.Request) {
		handle, ok := handlers[r.Method]
		if !ok {
			w.Header().Set("Allow", allowedMethods)
			methodNotAllowed().write(w)
			return
		}
		tenant, err := s.config.tenantOf(r)
		if err != nil {
			s.forbiddenLog.Log(slog.LevelWarn, "invoke: request forbidden", "addr", r.RemoteAddr, "err", err)
			if errors.Is(err, errSVIDExpired) {
				w.Header().Set("Connection", "close") // the client must reconnect with its renewed SVID
			}
			forbidden().write(w)
			return
		}
		if !s.acquireSlot() {
			rejected(rejectionRetryAfter).write(w)
			return
		}
		defer s.releaseSlot()
		if err := handle(w, r, tenant); err != nil {
			problemFor(err).write(w)
		}
	}
}

// acquireSlot takes a slot for a request and reports whether one was free. It does not wait for a slot, because a waiting
// request would hold memory and a goroutine.
func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) releaseSlot() { <-s.slots }
