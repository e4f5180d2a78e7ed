package executor

import (
	"errors"
	"log/slog"
	"time"

	"kitefall/internal/invocation"
)

// deleteInterval is the time between two deletions of invocations whose retention has ended.
const deleteInterval = time.Minute

// deleteExpired periodically deletes the invocations whose retention has ended, until the executor is closed. It also
// stores the current time, so that the clock does not go back at the next start of the program.
func (e *Executor) deleteExpired() {
	ticker := time.NewTicker(deleteInterval)
	defer ticker.Stop()
	for {
		now := e.clock.Now()
		_, clockErr := e.store.AdvanceClock(now)
		if err := errors.Join(clockErr, e.store.DeleteExpired(now)); err != nil {
			slog.Error("tickets: sweep failed", "err", err)
		}
		select {
		case <-ticker.C:
		case <-e.ctx.Done():
			return
		}
	}
}

// expire completes an invocation whose deadline passed while it was waiting for a run.
func (e *Executor) expire(id string) {
	_, _, err := e.store.Apply(id, invocation.Input{Event: invocation.EventExpire}, nil, e.clock.Now())
	switch {
	case err == nil:
		e.waiters.notify(id)
	case errors.Is(err, invocation.ErrStorage):
		slog.Error("tickets: the end is not stored yet", "ticket", id, "err", err)
		e.retryLater(func() { e.expire(id) })
	}
}
