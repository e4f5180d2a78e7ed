package invoke

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// answerGrace is how long after the deadline of a synchronous invocation the server still waits for the outcome to be stored.
const answerGrace = 250 * time.Millisecond

// handleCreate creates an invocation. The response to a synchronous invocation is its outcome. The response to a deferred
// one is its outcome if the invocation completes within the wait that the client prefers, and otherwise a pending document
// with the path to poll.
func (s *Server) handleCreate(w http.ResponseWriter, r *http.Request, tenant string) error {
	if err := s.rejectWhileDraining(); err != nil {
		return err
	}
	receivedAt := time.Now()
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
	if err := s.rejectWhileDraining(); err != nil { // the drain may have begun while the body was read
		return err
	}
	if deferred {
		return s.createDeferred(w, r, request, receivedAt, wait)
	}
	return s.createSynchronous(w, r, request)
}

// createSynchronous runs a synchronous invocation and responds with its outcome.
func (s *Server) createSynchronous(w http.ResponseWriter, r *http.Request, request invocation.Request) error {
	answerDeadline := s.executor.Clock().ToSystemTime(request.Expires).Add(answerGrace)
	ctx, stop := s.limitWait(r, answerDeadline)
	defer stop()
	view, err := s.executor.Invoke(ctx, request)
	if err != nil {
		return err
	}
	endedByDrain := view.Outcome == invocation.OutcomeCancelled && errors.Is(context.Cause(ctx), executor.ErrAnswerNow)
	if endedByDrain && view.Idempotent { // a retry does no harm
		return rejectedByDrain()
	}
	return s.writeView(w, view)
}

// createDeferred submits a deferred invocation. If the client prefers to wait, createDeferred waits for the outcome until
// receivedAt + wait.
func (s *Server) createDeferred(w http.ResponseWriter, r *http.Request, request invocation.Request,
	receivedAt time.Time, wait time.Duration) error {
	view, err := s.executor.Submit(request)
	if err != nil {
		return err
	}
	w.Header().Set("Preference-Applied", preferAsync)
	if wait > 0 && view.State != invocation.StateCompleted {
		return s.awaitAndWriteView(w, r, receivedAt.Add(wait), request.Tenant, view.ID)
	}
	return s.writeView(w, view)
}
