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
	now := time.Now()
	if s.draining.Load() {
		return rejected(now.Add(rejectionRetryAfter)).withDetail("the dispatcher is being restarted")
	}
	preferences := parsePreferences(r.Header)
	_, deferred := preferences[preferAsync]
	request, err := s.parseRequest(w, r, tenant, deferred, now)
	if err != nil {
		return err
	}
	waitUntil, err := s.waitDeadline(preferences, now)
	if err != nil {
		return err
	}
	if deferred {
		return s.createDeferred(w, r, request, waitUntil, now)
	}
	return s.invoke(w, r, request)
}

// invoke runs a synchronous invocation and answers with its outcome.
func (s *Server) invoke(w http.ResponseWriter, r *http.Request, request invocation.Request) error {
	ctx, cancel := context.WithDeadline(r.Context(), request.Expires.Add(answerGrace))
	defer cancel()
	view, err := s.executor.Invoke(ctx, request)
	if err != nil {
		return err
	}
	return s.writeView(w, view)
}

// createDeferred submits a deferred invocation. Where waitUntil is after now, it waits for the outcome until then.
func (s *Server) createDeferred(w http.ResponseWriter, r *http.Request, request invocation.Request,
	waitUntil, now time.Time) error {
	view, err := s.executor.Submit(request)
	if err != nil {
		return err
	}
	w.Header().Set("Preference-Applied", preferAsync)
	if waitUntil.After(now) {
		return s.awaitAndWriteView(w, r, waitUntil, request.Tenant, view.ID)
	}
	return s.writeView(w, view)
}
