package invocation

import "slices"

// Transition is one row of the state machine's table. It applies to an invocation in state From that meets Event, if
// its guard holds. It either moves the invocation to state To or rejects the event with an error.
type Transition struct {
	From    State
	Event   Event
	guard   guard
	To      State   // zero if the event is rejected
	Outcome Outcome // the outcome, if the transition completes the invocation
	Effects Effects
	update  update // what else changes; may be nil
	err     error  // the event is rejected with this error, and nothing changes
}

// Combinations of effects and updates that several transitions share.
var (
	completed             = effects(EffectPersist, EffectNotify)
	completedAndCancelRun = effects(EffectPersist, EffectNotify, EffectCancelRun)
	persistAndSchedule    = effects(EffectPersist, EffectSchedule)

	setRejected = chain(setRetryAt, setDeadLetter)
	setFailed   = chain(setMayHaveRun, setDeadLetter)
)

// Transitions is the table of the state machine. Of the transitions for a state and an event, the first whose guard
// holds is taken. The last one for each state and event has the guard always.
var Transitions = slices.Concat(waitingTransitions, submittedTransitions, runningTransitions, completedTransitions)

// waitingTransitions are those of an invocation without a run in progress.
var waitingTransitions = []Transition{
	{From: StateWaiting, Event: EventSubmit, guard: beforeNextRun, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventSubmit, guard: beforeExpiry, To: StateSubmitted, update: countRun},
	{From: StateWaiting, Event: EventSubmit, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventStart, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventServed, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventRejected, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventFailed, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventCancel, guard: always,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: completed},
	{From: StateWaiting, Event: EventExpire, guard: beforeExpiry, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventExpire, guard: always,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setDeadLetter},
	{From: StateWaiting, Event: EventRestart, guard: beforeExpiry,
		To: StateWaiting, Effects: effects(EffectSchedule)},
	{From: StateWaiting, Event: EventRestart, guard: always,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setDeadLetter},
	{From: StateWaiting, Event: EventWithdraw, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: completed, update: setDeadLetter},
	{From: StateWaiting, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateWaiting, Event: EventDelete, guard: always, err: ErrInvalidTransition},
}

// submittedTransitions are those of an invocation whose run has not reached a worker, unless it is idempotent: an
// idempotent one runs without EventStart, so it may have run.
var submittedTransitions = []Transition{
	{From: StateSubmitted, Event: EventSubmit, guard: always, err: ErrInvalidTransition},
	{From: StateSubmitted, Event: EventStart, guard: always, To: StateRunning, Effects: effects(EffectPersist)},
	{From: StateSubmitted, Event: EventServed, guard: always,
		To: StateCompleted, Outcome: OutcomeServed, Effects: completed, update: addResultBytes},
	{From: StateSubmitted, Event: EventRejected, guard: willRetry,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateSubmitted, Event: EventRejected, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setDeadLetter},
	{From: StateSubmitted, Event: EventRejected, guard: always,
		To: StateCompleted, Outcome: OutcomeRejected, Effects: completed, update: setRejected},
	{From: StateSubmitted, Event: EventFailed, guard: willRetryIdempotent,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateSubmitted, Event: EventFailed, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setFailed},
	{From: StateSubmitted, Event: EventFailed, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: completed, update: setFailed},
	// Only an idempotent invocation can have run here: any other goes through EventStart first.
	{From: StateSubmitted, Event: EventCancel, guard: isIdempotent,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: completedAndCancelRun, update: setMayHaveRun},
	{From: StateSubmitted, Event: EventCancel, guard: always,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: completedAndCancelRun},
	// The run ends by itself, before the deadline.
	{From: StateSubmitted, Event: EventExpire, guard: always, err: ErrInvalidTransition},
	{From: StateSubmitted, Event: EventRestart, guard: beforeExpiry,
		To: StateWaiting, Effects: effects(EffectSchedule)},
	{From: StateSubmitted, Event: EventRestart, guard: always,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setDeadLetter},
	// The run may still complete it.
	{From: StateSubmitted, Event: EventWithdraw, guard: always, err: ErrInvalidTransition},
	{From: StateSubmitted, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateSubmitted, Event: EventDelete, guard: always, err: ErrInvalidTransition},
}

// runningTransitions are those of an invocation whose run may have reached a worker.
var runningTransitions = []Transition{
	{From: StateRunning, Event: EventSubmit, guard: always, err: ErrInvalidTransition},
	{From: StateRunning, Event: EventStart, guard: always,
		To: StateRunning}, // a further attempt of the same run
	{From: StateRunning, Event: EventServed, guard: always,
		To: StateCompleted, Outcome: OutcomeServed, Effects: completed, update: addResultBytes},
	{From: StateRunning, Event: EventRejected, guard: willRetry,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateRunning, Event: EventRejected, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setDeadLetter},
	{From: StateRunning, Event: EventRejected, guard: always,
		To: StateCompleted, Outcome: OutcomeRejected, Effects: completed, update: setRejected},
	{From: StateRunning, Event: EventFailed, guard: willRetryIdempotent,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateRunning, Event: EventFailed, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: completed, update: setFailed},
	{From: StateRunning, Event: EventFailed, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: completed, update: setFailed},
	{From: StateRunning, Event: EventCancel, guard: always,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: completedAndCancelRun, update: setMayHaveRun},
	{From: StateRunning, Event: EventExpire, guard: always, err: ErrInvalidTransition},
	{From: StateRunning, Event: EventRestart, guard: isIdempotent,
		To: StateWaiting, Effects: persistAndSchedule},
	// It may have run before the restart, and nobody can tell any more: a second run could book twice.
	{From: StateRunning, Event: EventRestart, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: completed, update: setFailed},
	{From: StateRunning, Event: EventWithdraw, guard: always, err: ErrInvalidTransition},
	{From: StateRunning, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateRunning, Event: EventDelete, guard: always, err: ErrInvalidTransition},
}

// completedTransitions are those of an invocation with a final outcome, which never changes.
var completedTransitions = []Transition{
	{From: StateCompleted, Event: EventSubmit, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventStart, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventServed, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventRejected, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventFailed, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventCancel, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventExpire, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventRestart, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventWithdraw, guard: always, err: ErrCompleted},
	{From: StateCompleted, Event: EventRedrive, guard: mayRedrive,
		To: StateCompleted, Effects: effects(EffectPersist), update: setRedrivenAs},
	{From: StateCompleted, Event: EventRedrive, guard: isDeadLetter, err: ErrNotConfirmed},
	{From: StateCompleted, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateCompleted, Event: EventDelete, guard: always,
		To: StateCompleted, Effects: effects(EffectPersist, EffectDelete)},
}
