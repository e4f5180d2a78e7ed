package invoke

import (
	"context"
	"net/http"
	"time"

	"kitefall/internal/invocation"
)

// answerGrace is how long past its deadline a synchronous invocation may take to store its outcome.
const answerGrace = 250 * time.Millisecond

// handleCreate creates an invocation. A synchronous one is answered with its outcome; a deferred one with that too, if
// it comes while the client prefers to wait, or else with where to ask for it.
func (s *Server) handleCreate(w http.ResponseWriter, r *http.Request, tenant string) error {
	if s.draining.Load() {
		return rejected(rejectionRetryAfter).withDetail("the dispatcher takes no clients at present")
	}
	begin := time.Now()
	preferences := parsePreferences(r.Header)
	_, deferred := preferences[preferAsync]
	request, err := s.parseRequest(w, r, tenant, deferred)
	if err != nil {
		return err
	}
	wait, err := s.preferredWait(preferences)
	if err != nil {
		return err
	}
	if deferred {
		return s.createDeferred(w, r, request, begin, wait)
	}
	return s.invoke(w, r, request)
}

// invoke runs a synchronous invocation and answers with its outcome.
func (s *Server) invoke(w http.ResponseWriter, r *http.Request, request invocation.Request) error {
	answerBy := s.executor.Clock().Machine(request.Expires).Add(answerGrace)
	ctx, cancel := context.WithDeadline(r.Context(), answerBy)
	defer cancel()
	view, err := s.executor.Invoke(ctx, request)
	if err != nil {
		return err
	}
	return s.writeView(w, view)
}

// createDeferred submits a deferred invocation. Where the client prefers to wait, it waits for the outcome for that long
// since begin.
func (s *Server) createDeferred(w http.ResponseWriter, r *http.Request, request invocation.Request,
	begin time.Time, wait time.Duration) error {
	view, err := s.executor.Submit(request)
	if err != nil {
		return err
	}
	w.Header().Set("Preference-Applied", preferAsync)
	if wait > 0 {
		return s.awaitAndWriteView(w, r, begin.Add(wait), request.Tenant, view.ID)
	}
	return s.writeView(w, view)
}
