package invoke

import (
	"context"
	"net/http"
	"time"

	"kitefall/internal/invocation"
)

// handlePoll answers with the outcome of an invocation, or that it is pending.
func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request, tenant string) error {
	begin := time.Now()
	wait, err := s.preferredWait(parsePreferences(r.Header))
	if err != nil {
		return err
	}
	return s.awaitAndWriteView(w, r, begin.Add(wait), tenant, r.PathValue(invocationParameter))
}

// handleCancel cancels an invocation. If its outcome came first, that stays and is the answer.
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

// awaitAndWriteView waits for the outcome of an invocation up to a moment, and answers with what there is then.
func (s *Server) awaitAndWriteView(w http.ResponseWriter, r *http.Request, waitUntil time.Time,
	tenant, id string) error {
	ctx, cancel := context.WithDeadline(r.Context(), waitUntil)
	defer cancel()
	defer context.AfterFunc(s.waits.Load().ctx, cancel)()
	view, err := s.executor.Wait(ctx, tenant, id)
	if err != nil {
		return err
	}
	return s.writeView(w, view)
}
