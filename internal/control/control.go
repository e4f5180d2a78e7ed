// Package control offers the operators' operations on the invocations of a dispatcher: over its control socket while it
// runs, on the store's file while it does not. Both sides implement the interface Operations.
package control

import (
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// Operations are the operators' operations on the invocations of one store. Errors keep their meaning over the control
// socket: they can be tested for the errors of package invocation with errors.Is.
type Operations interface {
	// List returns the invocations that match the filter.
	List(filter store.Filter) ([]Invocation, error)
	// Show returns the invocation with its history.
	Show(id string) (Invocation, error)
	// Redrive submits a dead letter's request again and returns the new invocation. One that may have run and is not
	// idempotent has to be confirmed: the operator has found out that it did not run, and the reason says how.
	Redrive(id string, confirmed bool, reason string) (Invocation, error)
	// Purge removes dead letters that completed at least so long ago, those named or all, and returns their number. The
	// age is by the clock of the store's times, not by that of the caller.
	Purge(ids []string, minAge time.Duration) (int, error)
	// Snapshot writes a copy of the store to a new file. The path has to be absolute.
	Snapshot(path string) error
	// Verify reads and checks the whole store and returns the number of its invocations.
	Verify() (int, error)
	// Compact rewrites the store's file without unused space and returns its size in bytes before and after.
	Compact() (before, after int64, err error)
}

// Invocation is an invocation as operators see it. Its body and result belong to the tenant and are not shown.
type Invocation struct {
	ID             string                    `json:"id"`
	Tenant         string                    `json:"tenant"`
	IdempotencyKey string                    `json:"key,omitempty"`
	Function       string                    `json:"function"`
	Class          string                    `json:"class"`
	Urgency        int                       `json:"urgency"`
	State          string                    `json:"state"`
	Outcome        string                    `json:"end,omitempty"` // once it is completed
	MayHaveRun     bool                      `json:"may_have_run,omitempty"`
	DeadLetter     bool                      `json:"dead,omitempty"`
	CreatedAt      time.Time                 `json:"created"`
	NextRunAt      time.Time                 `json:"due,omitzero"` // until it is completed
	Expires        time.Time                 `json:"expires"`
	CompletedAt    time.Time                 `json:"ended,omitzero"`
	Runs           int                       `json:"runs"`
	Bytes          int64                     `json:"bytes"`
	RedriveOf      string                    `json:"origin,omitempty"` // the dead letter's ID
	RedrivenAs     string                    `json:"heir,omitempty"`   // the new invocation's ID
	History        []invocation.HistoryEntry `json:"history,omitempty"`
}

func newInvocation(stored *invocation.Invocation) Invocation {
	v := Invocation{
		ID:             stored.ID,
		Tenant:         stored.Tenant,
		IdempotencyKey: stored.IdempotencyKey,
		Function:       stored.Function,
		Class:          stored.Class,
		Urgency:        int(stored.Urgency),
		State:          stored.State.String(),
		MayHaveRun:     stored.MayHaveRun,
		DeadLetter:     stored.DeadLetter,
		CreatedAt:      stored.CreatedAt,
		Expires:        stored.Expires,
		CompletedAt:    stored.CompletedAt,
		Runs:           stored.Runs,
		Bytes:          stored.Bytes,
		RedriveOf:      stored.RedriveOf,
		RedrivenAs:     stored.RedrivenAs,
		History:        stored.History,
	}
	if stored.State == invocation.StateCompleted {
		v.Outcome = stored.Outcome.String()
	} else {
		v.NextRunAt = stored.NextRunAt
	}
	return v
}
