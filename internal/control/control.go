// Package control provides the operators' operations on the invocations of a dispatcher. They are carried out over the control
// socket while the dispatcher runs, and on the file of its store otherwise. Both ways implement the interface Operations.
package control

import (
	"time"

	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
)

// Operations are the operators' operations on the invocations of one store. errors.Is matches their errors with
// those of package invocation, also over the control socket.
type Operations interface {
	// List returns the invocations that match the filter.
	List(filter store.Filter) ([]Invocation, error)
	// Show returns the invocation with the given ID, including its history.
	Show(id string) (Invocation, error)
	// Redrive submits the request of a dead letter again and returns the new invocation. If the dead letter may have run and
	// is not idempotent, confirmed and a reason are required: the operator confirms that it did not run, and the reason says
	// how this was found out.
	Redrive(id string, confirmed bool, reason string) (Invocation, error)
	// Purge deletes the dead letters with the given IDs, or all if there are no IDs, and returns how many it deleted. It
	// deletes only those that completed at least minAge ago, by the clock of the store's times and not by the caller's.
	Purge(ids []string, minAge time.Duration) (int, error)
	// Snapshot writes a copy of the store to a new file. The path must be absolute.
	Snapshot(path string) error
	// Verify reads and checks the whole store and returns the number of invocations in it.
	Verify() (int, error)
	// Compact rewrites the store's file without unused space and returns its size in bytes before and after.
	Compact() (before, after int64, err error)
}

// Invocation is an invocation as it is shown to operators, without body and result, which belong to the tenant.
type Invocation struct {
	ID             string                    `json:"id"`
	Tenant         string                    `json:"tenant"`
	IdempotencyKey string                    `json:"key,omitempty"`
	Function       string                    `json:"function"`
	Class          string                    `json:"class"`
	Urgency        int                       `json:"urgency"`
	State          string                    `json:"state"`
	Outcome        string                    `json:"end,omitempty"` // set once the invocation is completed
	MayHaveRun     bool                      `json:"may_have_run,omitempty"`
	DeadLetter     bool                      `json:"dead,omitempty"`
	CreatedAt      time.Time                 `json:"created"`
	NextRunAt      time.Time                 `json:"due,omitzero"` // set until the invocation is completed
	Expires        time.Time                 `json:"expires"`
	CompletedAt    time.Time                 `json:"ended,omitzero"`
	Runs           int                       `json:"runs"`
	Bytes          int64                     `json:"bytes"`            // size of body and result
	RedriveOf      string                    `json:"origin,omitempty"` // ID of the dead letter that this invocation redrives
	RedrivenAs     string                    `json:"heir,omitempty"`   // ID of the invocation that redrives this dead letter
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
