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

// The names of path parameters.
const (
	functionParameter   = "function"
	invocationParameter = "invocation"
)

const invocationsPath = "/v1/invocations/"

// rejectionRetryAfter is when to come back after a rejection for want of a slot, or during a drain.
const rejectionRetryAfter = time.Second

func invocationPath(id string) string { return invocationsPath + id }

// handler handles a request of an authenticated tenant. An error that it returns becomes a problem document: then it
// has written nothing itself.
type handler func(w http.ResponseWriter, r *http.Request, tenant string) error

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/functions/{"+functionParameter+"}/invocations", s.resource(map[string]handler{
		http.MethodPost: s.handleCreate,
	}))
	mux.HandleFunc(invocationsPath+"{"+invocationParameter+"}", s.resource(map[string]handler{
		http.MethodGet:    s.handlePoll,
		http.MethodDelete: s.handleCancel,
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { notFound().write(w) })
	return mux
}

// resource serves one resource: it finds the handler of the method, the client's tenant, and a slot for the request.
func (s *Server) resource(handlers map[string]handler) http.HandlerFunc {
	allowed := strings.Join(slices.Sorted(maps.Keys(handlers)), ", ")
	return func(w http.ResponseWriter, r *http.Request) {
		handle, ok := handlers[r.Method]
		if !ok {
			w.Header().Set("Allow", allowed)
			methodNotAllowed().write(w)
			return
		}
		tenant, err := s.config.tenantOf(r)
		if err != nil {
			s.forbiddenLog.Log(slog.LevelWarn, "invoke: request forbidden", "addr", r.RemoteAddr, "err", err)
			if errors.Is(err, errExpired) {
				w.Header().Set("Connection", "close") // the client comes back with its present one
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

// acquireSlot reports whether one more request may be in flight. It does not wait for a slot: a request that waits
// holds memory and a goroutine.
func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) releaseSlot() { <-s.slots }
