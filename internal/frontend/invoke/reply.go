package invoke

import (
	"encoding/json"
	"net/http"
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
)

// pollInterval is the pause between polls that the Retry-After header of a pending document recommends, in seconds.
const pollInterval = "1"

// pendingDocument is the response body for an invocation that has no outcome yet.
type pendingDocument struct {
	Deadline     time.Time                 `json:"deadline"`
	History      []invocation.HistoryEntry `json:"history"`
	Runs         int                       `json:"runs"`
	Status       string                    `json:"status"`
	InvocationID string                    `json:"ticket"`
}

// writeView responds with the outcome of an invocation, or with a pending document if it has none yet. If the invocation has no
// outcome and is not stored, writeView returns the problem to respond with: a client could not look it up after a restart.
func (s *Server) writeView(w http.ResponseWriter, view executor.View) error {
	if view.State == invocation.StateCompleted {
		return s.writeOutcome(w, view)
	}
	recorded, ok := view.Recorded()
	if !ok {
		return notRecorded()
	}
	writePending(w, recorded)
	return nil
}

func writePending(w http.ResponseWriter, recorded executor.Recorded) {
	inv := recorded.Invocation()
	header := w.Header()
	header.Set("Location", invocationPath(inv.ID))
	header.Set("Retry-After", pollInterval)
	header.Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	json.NewEncoder(w).Encode(pendingDocument{
		Deadline:     inv.Expires,
		History:      inv.History,
		Runs:         inv.Runs,
		Status:       "pending",
		InvocationID: inv.ID,
	})
}

// writeOutcome responds with the result of a completed invocation. If the invocation was not served, writeOutcome returns
// the problem to respond with.
func (s *Server) writeOutcome(w http.ResponseWriter, view executor.View) error {
	function := s.config.Functions[view.Function] // nil if the operator has removed the function
	if view.Durable {                             // a client can poll only a stored invocation
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
