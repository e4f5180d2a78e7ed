package invoke

import (
	"encoding/json"
	"net/http"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// pollInterval is what a client is told to leave between polls of a pending invocation, in seconds.
const pollInterval = "1"

// pendingDocument is the answer about an invocation that has no outcome yet.
type pendingDocument struct {
	Deadline     time.Time                 `json:"deadline"`
	History      []invocation.HistoryEntry `json:"history"`
	Runs         int                       `json:"runs"`
	Status       string                    `json:"status"`
	InvocationID string                    `json:"ticket"`
}

// writeView answers with the outcome of an invocation, or that it is pending.
func (s *Server) writeView(w http.ResponseWriter, view executor.View) error {
	if view.State == invocation.StateCompleted {
		return s.writeOutcome(w, view)
	}
	writePending(w, view)
	return nil
}

func writePending(w http.ResponseWriter, view executor.View) {
	header := w.Header()
	header.Set("Location", invocationPath(view.ID))
	header.Set("Retry-After", pollInterval)
	header.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	json.NewEncoder(w).Encode(pendingDocument{
		Deadline:     view.Expires,
		History:      view.History,
		Runs:         view.Runs,
		Status:       "pending",
		InvocationID: view.ID,
	})
}

// writeOutcome answers with the result of a completed invocation, or returns the problem that it ended with.
func (s *Server) writeOutcome(w http.ResponseWriter, view executor.View) error {
	function := s.config.Functions[view.Function] // nil if the operator has removed it
	if view.Durable {                             // else it cannot be asked for
		w.Header().Set("Content-Location", invocationPath(view.ID))
	}
	if view.Outcome != invocation.OutcomeServed {
		return problemForOutcome(view, function != nil && function.idempotent, s.executor.Clock().Now())
	}
	if function != nil {
		w.Header().Set("Content-Type", function.ContentType)
	}
	w.Write(view.Result)
	return nil
}
