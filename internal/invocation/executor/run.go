package executor

import (
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"time"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/failpoint"
	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// The bounds of the retry delay that a rejected client is given.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// startRun executes a StartRun action of the scheduler. It does nothing after StopScheduling: the invocation stays in the store.
func (e *Executor) startRun(id string) {
	run := e.runs.begin(id)
	if run == nil {
		return
	}
	inv, err := e.prepareRun(id)
	if err != nil {
		e.runs.remove(id)
		e.runs.end(run)
		e.abortRun(id, err)
		return
	}
	coreCall, err := e.catalog.Call(&inv.Request)
	if err != nil { // the function was removed from the catalog after the run had been scheduled
		e.completeRun(inv, run, call.Answer{Outcome: call.Rejected})
		return
	}
	e.submitRun(inv, run, coreCall)
}

// prepareRun applies EventSubmit to an invocation and returns it with its body.
func (e *Executor) prepareRun(id string) (*invocation.Invocation, error) {
	body, err := e.store.Body(id)
	if err != nil {
		return nil, err
	}
	inv, _, err := e.store.Apply(id, invocation.Input{Event: invocation.EventSubmit}, nil, e.clock.Now())
	if err != nil {
		return nil, err
	}
	inv.Body = body
	return inv, nil
}

// abortRun reports to the scheduler that a run could not be started. An invocation that may still be waiting is scheduled
// again after storeRetryDelay.
func (e *Executor) abortRun(id string, cause error) {
	e.feeder.send(schedule.RunAbortedEvent{ID: id})
	mayStillWait := errors.Is(cause, invocation.ErrStorage) || errors.Is(cause, invocation.ErrInvalidTransition)
	if mayStillWait {
		slog.Error("tickets: not run yet", "ticket", id, "err", cause)
		e.retryLater(func() { e.reschedule(id) })
	}
}

// reschedule adds an invocation to the scheduler again if it is still waiting. If the store cannot be read, reschedule is
// retried later.
func (e *Executor) reschedule(id string) {
	inv, err := e.store.Get(id)
	switch {
	case errors.Is(err, invocation.ErrStorage):
		e.retryLater(func() { e.reschedule(id) })
	case err == nil && inv.State == invocation.StateWaiting:
		e.schedule(inv)
	}
}

// schedule adds a waiting invocation to the scheduler, unless its function is no longer in the catalog.
func (e *Executor) schedule(inv *invocation.Invocation) {
	if function, ok := e.catalog.Describe(inv.Function); ok {
		e.feeder.send(schedule.AddEvent{Job: newJob(inv, function)})
	}
}

// submitRun submits the call of a run to the dispatcher.
func (e *Executor) submitRun(inv *invocation.Invocation, run *submission, coreCall *call.Call) {
	// Each run has its own call ID, since an answer to an earlier run may still arrive.
	coreCall.ID = mathrand.Uint64()
	coreCall.Deadline = e.clock.ToSystemTime(e.runDeadline(inv))
	if !inv.Idempotent {
		coreCall.BeforeFirstAttempt = func() error { return e.persistStart(inv.ID) }
	}
	coreCall.Done = func(answer call.Answer) {
		failpoint.Hit("run-ended")
		// The dispatcher's goroutine must not wait for the disk.
		e.goroutines.Go(func() { e.completeRun(inv, run, answer) })
	}
	handle, err := e.core.Submit(coreCall)
	if err != nil {
		coreCall.Done(call.Answer{Outcome: call.Rejected})
		return
	}
	if cancelled := run.setHandle(handle); cancelled {
		e.abandonRun(inv.ID, run, handle)
	}
}

// runDeadline returns the time by which a run that starts now must end.
func (e *Executor) runDeadline(inv *invocation.Invocation) time.Time {
	deadline := e.clock.Now().Add(inv.RunTimeout)
	if inv.Expires.Before(deadline) {
		return inv.Expires
	}
	return deadline
}

// persistStart stores that an attempt may have been written to a worker. If persistStart fails, the attempt is not sent.
func (e *Executor) persistStart(id string) error {
	_, _, err := e.store.Apply(id, invocation.Input{Event: invocation.EventStart}, nil, e.clock.Now())
	failpoint.Hit("marked")
	return err
}

// suspendRun ends the run in progress, if any, of an invocation that is being cancelled, as far as it has not begun at a worker. If
// the cancellation is not stored in the end, the invocation is scheduled again.
func (e *Executor) suspendRun(id string) {
	if run := e.runs.get(id); run != nil {
		run.abandon()
	}
}

// cancelRun cancels the run in progress, if any, of an invocation that has completed. If the dispatcher has not returned
// the run's handle yet, submitRun cancels the run.
func (e *Executor) cancelRun(id string) {
	run := e.runs.get(id)
	if run == nil {
		return
	}
	if handle := run.markCancelled(); handle != nil {
		e.abandonRun(id, run, handle)
	}
}

// abandonRun cancels a run at the dispatcher and frees its place in the scheduler with a RunAbortedEvent, since the
// dispatcher does not report the end of a cancelled call.
func (e *Executor) abandonRun(id string, run *submission, handle *dispatch.Handle) {
	handle.Cancel()
	e.runs.remove(id)
	e.runs.end(run)
	e.feeder.send(schedule.RunAbortedEvent{ID: id})
}

// completeRun stores the end of a run and retries until the store accepts it or the executor is closed. Clients do not
// get the outcome before it is stored: an outcome in memory alone could differ from the one found after a restart of the
// program.
func (e *Executor) completeRun(inv *invocation.Invocation, run *submission, answer call.Answer) {
	e.runs.remove(inv.ID)
	defer e.runs.end(run)
	input := inputFor(answer)
	input.RetryAt = e.endScheduledRun(inv.ID, run, answer)
	for {
		failpoint.Hit("before-end")
		updated, effects, err := e.store.Apply(inv.ID, input, answer.Body, e.clock.Now())
		if !errors.Is(err, invocation.ErrStorage) {
			failpoint.Hit("after-end")
			if err == nil {
				e.executeEffects(updated, effects)
			}
			return
		}
		slog.Error("tickets: the answer is not stored yet", "ticket", inv.ID, "tenant", inv.Tenant, "err", err)
		if !e.waitToRetryStore() {
			return
		}
	}
}

// endScheduledRun reports the end of a run to the scheduler and returns when the next run may start, as feeder.runEnded does. A run
// that suspendRun has ended says nothing of the dispatcher, and does not count.
func (e *Executor) endScheduledRun(id string, run *submission, answer call.Answer) (nextRunAt time.Time) {
	if run.wasAbandoned() && didNotRun(answer) {
		e.feeder.send(schedule.RunAbortedEvent{ID: id})
		return e.clock.Now().Add(storeRetryDelay)
	}
	return e.feeder.runEnded(id, inputFor(answer).Event, answer.RetryAfter)
}

// executeEffects executes the effects of the end of a run, which must be stored already.
func (e *Executor) executeEffects(inv *invocation.Invocation, effects invocation.Effects) {
	if effects.Has(invocation.EffectSchedule) {
		e.schedule(inv)
	}
	if effects.Has(invocation.EffectNotify) {
		e.waiters.notify(inv.ID)
	}
}

// didNotRun reports whether no worker has run a call.
func didNotRun(answer call.Answer) bool { return answer.Outcome == call.Rejected && !answer.MayHaveRun }

// inputFor converts the dispatcher's answer to an input of the invocation's state machine.
func inputFor(answer call.Answer) invocation.Input {
	input := invocation.Input{
		Event:            invocation.EventRejected,
		DeadlineExceeded: answer.DeadlineExceeded,
		RetryAfter:       min(max(answer.RetryAfter, minRetryAfter), maxRetryAfter),
	}
	switch {
	case answer.Outcome == call.Served:
		input.Event = invocation.EventServed
		input.Bytes = int64(len(answer.Body))
	case answer.MayHaveRun:
		input.Event = invocation.EventFailed
	}
	return input
}
