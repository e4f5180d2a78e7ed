package invoke

import (
	"net/http"
	"time"

	"kitefall/internal/invocation"
)

// handlePoll responds with the outcome of an invocation, or with a pending document if the invocation has not completed
// within the wait that the client prefers.
func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request, tenant string) error {
	receivedAt := time.Now()
	wait, err := s.preferredWait(parsePreferences(r.Header))
	if err != nil {
		return err
	}
	return s.awaitAndWriteView(w, r, receivedAt.Add(wait), tenant, r.PathValue(invocationParameter))
}

// handleCancel cancels an invocation. If the invocation has already completed, its outcome is kept and is the response.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, tenant string) error {
	view, err := s.executor.Cancel(tenant, r.PathValue(invocationParameter))
	if err != nil {
		return err
	}
	if view.Outcome != invocation.OutcomeCancelled {
		return s.writeOutcome(w, view)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// awaitAndWriteView waits for the outcome of an invocation until waitUntil, and then writes the outcome or a pending
// document. EndWaits ends the wait early.
func (s *Server) awaitAndWriteView(w http.ResponseWriter, r *http.Request, waitUntil time.Time,
	tenant, id string) error {
	ctx, stop := s.limitWait(r, waitUntil)
	defer stop()
	view, err := s.executor.Wait(ctx, tenant, id)
	if err != nil {
		return err
	}
	return s.writeView(w, view)
}
