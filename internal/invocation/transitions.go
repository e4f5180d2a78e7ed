package invocation

import "slices"

// Transition is one row of the state machine's table. It applies when Event occurs in state From and the guard holds. It
// either moves the invocation to state To or rejects the event with an error.
type Transition struct {
	From    State
	Event   Event
	guard   guard
	To      State   // next state; zero if the event is rejected
	Outcome Outcome // the outcome, if the transition completes the invocation
	Effects Effects
	update  update // changes to the invocation besides state and outcome; may be nil
	err     error  // if set, the event is rejected with this error, and nothing changes
}

// Combinations of effects and updates that several transitions share.
var (
	persistAndNotify          = effects(EffectPersist, EffectNotify)
	persistNotifyAndCancelRun = effects(EffectPersist, EffectNotify, EffectCancelRun)
	persistAndSchedule        = effects(EffectPersist, EffectSchedule)

	setRejected = chain(setRetryAt, setDeadLetter)
	setFailed   = chain(setMayHaveRun, setDeadLetter)
)

// Transitions is the table of the state machine. Step takes the first transition for the state and event whose guard
// holds. The last transition for each state and event has the guard always.
var Transitions = slices.Concat(waitingTransitions, submittedTransitions, runningTransitions, completedTransitions)

// waitingTransitions are the transitions from StateWaiting, in which no run is in progress.
var waitingTransitions = []Transition{
	{From: StateWaiting, Event: EventSubmit, guard: beforeNextRun, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventSubmit, guard: beforeExpiry, To: StateSubmitted, update: countRun},
	{From: StateWaiting, Event: EventSubmit, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventStart, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventServed, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventRejected, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventFailed, guard: always, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventCancel, guard: always,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: persistAndNotify},
	{From: StateWaiting, Event: EventExpire, guard: beforeExpiry, err: ErrInvalidTransition},
	{From: StateWaiting, Event: EventExpire, guard: always,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setDeadLetter},
	{From: StateWaiting, Event: EventRestart, guard: beforeExpiry,
		To: StateWaiting, Effects: effects(EffectSchedule)},
	{From: StateWaiting, Event: EventRestart, guard: always,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setDeadLetter},
	{From: StateWaiting, Event: EventWithdraw, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: persistAndNotify, update: setDeadLetter},
	{From: StateWaiting, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateWaiting, Event: EventDelete, guard: always, err: ErrInvalidTransition},
}

// submittedTransitions are the transitions from StateSubmitted, in which a run has not reached a worker. An idempotent
// invocation is the exception: its attempts are written to workers without EventStart, so its function may have run.
var submittedTransitions = []Transition{
	{From: StateSubmitted, Event: EventSubmit, guard: always, err: ErrInvalidTransition},
	{From: StateSubmitted, Event: EventStart, guard: always, To: StateRunning, Effects: effects(EffectPersist)},
	{From: StateSubmitted, Event: EventServed, guard: always,
		To: StateCompleted, Outcome: OutcomeServed, Effects: persistAndNotify, update: addResultBytes},
	{From: StateSubmitted, Event: EventRejected, guard: willRetry,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateSubmitted, Event: EventRejected, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setDeadLetter},
	{From: StateSubmitted, Event: EventRejected, guard: always,
		To: StateCompleted, Outcome: OutcomeRejected, Effects: persistAndNotify, update: setRejected},
	{From: StateSubmitted, Event: EventFailed, guard: willRetryIdempotent,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateSubmitted, Event: EventFailed, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setFailed},
	{From: StateSubmitted, Event: EventFailed, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: persistAndNotify, update: setFailed},
	// In StateSubmitted only the function of an idempotent invocation can have run: for any other, EventStart comes first.
	{From: StateSubmitted, Event: EventCancel, guard: isIdempotent,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: persistNotifyAndCancelRun, update: setMayHaveRun},
	{From: StateSubmitted, Event: EventCancel, guard: always,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: persistNotifyAndCancelRun},
	// The run in progress ends by the deadline and then reports its own outcome.
	{From: StateSubmitted, Event: EventExpire, guard: always, err: ErrInvalidTransition},
	{From: StateSubmitted, Event: EventRestart, guard: beforeExpiry,
		To: StateWaiting, Effects: effects(EffectSchedule)},
	{From: StateSubmitted, Event: EventRestart, guard: always,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setDeadLetter},
	// The run in progress may still complete the invocation.
	{From: StateSubmitted, Event: EventWithdraw, guard: always, err: ErrInvalidTransition},
	{From: StateSubmitted, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateSubmitted, Event: EventDelete, guard: always, err: ErrInvalidTransition},
}

// runningTransitions are the transitions from StateRunning, in which the run may have reached a worker.
var runningTransitions = []Transition{
	{From: StateRunning, Event: EventSubmit, guard: always, err: ErrInvalidTransition},
	{From: StateRunning, Event: EventStart, guard: always,
		To: StateRunning}, // a further attempt of the same run
	{From: StateRunning, Event: EventServed, guard: always,
		To: StateCompleted, Outcome: OutcomeServed, Effects: persistAndNotify, update: addResultBytes},
	{From: StateRunning, Event: EventRejected, guard: willRetry,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateRunning, Event: EventRejected, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setDeadLetter},
	{From: StateRunning, Event: EventRejected, guard: always,
		To: StateCompleted, Outcome: OutcomeRejected, Effects: persistAndNotify, update: setRejected},
	{From: StateRunning, Event: EventFailed, guard: willRetryIdempotent,
		To: StateWaiting, Effects: persistAndSchedule, update: setNextRun},
	{From: StateRunning, Event: EventFailed, guard: deadlineExceeded,
		To: StateCompleted, Outcome: OutcomeDeadlineExceeded, Effects: persistAndNotify, update: setFailed},
	{From: StateRunning, Event: EventFailed, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: persistAndNotify, update: setFailed},
	{From: StateRunning, Event: EventCancel, guard: always,
		To: StateCompleted, Outcome: OutcomeCancelled, Effects: persistNotifyAndCancelRun, update: setMayHaveRun},
	{From: StateRunning, Event: EventExpire, guard: always, err: ErrInvalidTransition},
	{From: StateRunning, Event: EventRestart, guard: isIdempotent,
		To: StateWaiting, Effects: persistAndSchedule},
	// The function may have run before the restart, and its answer is lost. It is not idempotent, so another run could
	// repeat its effect, such as a booking.
	{From: StateRunning, Event: EventRestart, guard: always,
		To: StateCompleted, Outcome: OutcomeFailed, Effects: persistAndNotify, update: setFailed},
	{From: StateRunning, Event: EventWithdraw, guard: always, err: ErrInvalidTransition},
	{From: StateRunning, Event: EventRedrive, guard: always, err: ErrNotDeadLetter},
	{From: StateRunning, Event: EventDelete, guard: always, err: ErrInvalidTransition},
}

// completedTransitions are the transitions from StateCompleted. The outcome is final: none of them changes it.
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
