package invocation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// name describes the transition by its state, event and guard. The name is unique in the table.
func (t *Transition) name() string {
	name := t.From.String() + ", " + t.Event.String()
	if t.guard.name != "" {
		name += ", " + t.guard.name
	}
	return name
}

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// scenario is one combination of the conditions on which guards and updates depend.
type scenario struct {
	idempotent         bool
	deferred           bool
	deadlineExceeded   bool
	retryGranted       bool
	deadLetter         bool
	mayHaveRun         bool
	confirmed          bool
	beforeNextRun      bool
	expired            bool
	withIdempotencyKey bool
}

// allScenarios returns every combination of the conditions.
func allScenarios() []scenario {
	var scenarios []scenario
	for bits := range 1 << 10 {
		isSet := func(bit int) bool { return bits>>bit&1 == 1 }
		scenarios = append(scenarios, scenario{
			idempotent:         isSet(0),
			deferred:           isSet(1),
			deadlineExceeded:   isSet(2),
			retryGranted:       isSet(3),
			deadLetter:         isSet(4),
			mayHaveRun:         isSet(5),
			confirmed:          isSet(6),
			beforeNextRun:      isSet(7),
			expired:            isSet(8),
			withIdempotencyKey: isSet(9),
		})
	}
	return scenarios
}

// invocation returns an invocation in the given state, and the time at which the event occurs.
func (s scenario) invocation(state State) (*Invocation, time.Time) {
	request := Request{Tenant: "a", Idempotent: s.idempotent, Deferred: s.deferred, Expires: noon.Add(time.Hour)}
	if s.withIdempotencyKey {
		request.IdempotencyKey = "k"
	}
	inv := New("t", request, noon)
	inv.State = state
	inv.DeadLetter = s.deadLetter
	inv.MayHaveRun = s.mayHaveRun
	inv.NextRunAt = noon
	if state == StateCompleted {
		inv.Outcome = OutcomeFailed
	}
	now := noon.Add(time.Minute)
	if s.beforeNextRun {
		inv.NextRunAt = now.Add(time.Minute)
	}
	if s.expired {
		now = inv.Expires
	}
	return inv, now
}

// input returns the input for an event in this scenario.
func (s scenario) input(event Event, now time.Time) Input {
	input := Input{
		Event:            event,
		DeadlineExceeded: s.deadlineExceeded,
		Confirmed:        s.confirmed,
		Note:             "seen by the operator",
		Successor:        "h",
		Bytes:            7,
	}
	if s.retryGranted {
		input.RetryAt = now.Add(time.Second)
	}
	return input
}

// Applies every event in every state and scenario. The test fails if a combination has no transition, if a transition is
// never taken, if a rejected event changes the invocation, or if an accepted event breaks an invariant.
func TestEveryTransition(t *testing.T) {
	taken := map[*Transition]int{}
	for _, s := range allScenarios() {
		for state := StateWaiting; state <= StateCompleted; state++ {
			for event := EventSubmit; event <= lastEvent; event++ {
				inv, now := s.invocation(state)
				before := *inv
				transition, effects, err := Step(inv, s.input(event, now), now)
				require.NotNil(t, transition, "%v, %v", state, event)
				taken[transition]++
				if err != nil {
					require.Equal(t, before, *inv, transition.name())
					require.Zero(t, effects, transition.name())
					continue
				}
				requireInvariants(t, s, transition, &before, inv, effects, now)
			}
		}
	}
	for i := range Transitions {
		assert.NotZero(t, taken[&Transitions[i]], "no scenario takes the transition: %s", Transitions[i].name())
	}
}

// requireInvariants checks the invariants that hold after every transition that accepts its event.
func requireInvariants(
	t *testing.T, s scenario, transition *Transition, before, after *Invocation, effects Effects, now time.Time,
) {
	t.Helper()
	name := transition.name()
	completes := before.State != StateCompleted && after.State == StateCompleted
	starts := before.State != StateRunning && after.State == StateRunning

	require.Equal(t, completes, effects.Has(EffectNotify), "EffectNotify exactly on completion: %s", name)
	require.Equal(t, completes, after.Outcome != before.Outcome, name)
	if !after.Ephemeral && (completes || starts) {
		require.True(t, effects.Has(EffectPersist), "a start and an outcome must be stored: %s", name)
	}
	if after.Ephemeral {
		require.False(t, effects.Has(EffectPersist), name)
	}
	runIsKnown := transition.Event == EventRejected || transition.Event == EventServed
	if before.State == StateRunning && after.State != StateRunning && !s.idempotent && !runIsKnown {
		require.True(t, after.State == StateCompleted && after.MayHaveRun, "may have run, must not run again: %s", name)
	}
	if after.State == StateSubmitted {
		require.False(t, now.Before(after.NextRunAt) || !now.Before(after.Expires), name)
		require.Equal(t, before.Runs+1, after.Runs, name)
	}
	if after.State == StateWaiting && before.State != StateWaiting {
		require.True(t, effects.Has(EffectSchedule), name)
	}
	if transition.Event == EventRedrive {
		require.True(t, s.deadLetter && (s.idempotent || !s.mayHaveRun || s.confirmed), name)
		require.Equal(t, []any{OutcomeFailed, "h"}, []any{after.Outcome, after.RedrivenAs}, name)
	}
	if completes {
		failed := after.Outcome != OutcomeServed && after.Outcome != OutcomeCancelled
		isDeadLetter := s.deferred && failed
		// The scenarios also include incomplete invocations marked as dead letters, which do not occur in practice.
		require.True(t, after.DeadLetter == isDeadLetter || s.deadLetter, name)
	}
}

// Applies random events and records which runs reach a worker. A non-idempotent invocation must not run again unless the
// earlier run was rejected, and no invocation may report more than one outcome.
func TestRandomEventsRunNonIdempotentOnce(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		lifecycle := newRandomLifecycle(random)
		for range 60 {
			lifecycle.step()
		}
		if !lifecycle.inv.Idempotent {
			require.LessOrEqual(t, lifecycle.runs, 1+rejectedRuns(lifecycle.inv), "seed %d: %v", seed, lifecycle.inv.History)
		}
		require.LessOrEqual(t, lifecycle.notifications, 1, "seed %d", seed)
		require.LessOrEqual(t, len(lifecycle.inv.History), MaxHistory)
	}
}

// randomLifecycle applies random events to an invocation and records the runs that reach a worker.
type randomLifecycle struct {
	random        *rand.Rand
	inv           *Invocation
	now           time.Time
	written       bool // an attempt of the current run was written to a worker
	runs          int  // number of runs with an attempt written to a worker
	notifications int  // number of transitions with EffectNotify
}

func newRandomLifecycle(random *rand.Rand) *randomLifecycle {
	idempotent := random.IntN(2) == 0
	deferred := random.IntN(4) > 0
	request := Request{Idempotent: idempotent, Deferred: deferred, Expires: noon.Add(time.Minute)}
	return &randomLifecycle{random: random, inv: New("t", request, noon), now: noon}
}

// step advances the time and applies one random event, unless the event cannot occur now.
func (l *randomLifecycle) step() {
	l.now = l.now.Add(time.Duration(l.random.IntN(3000)) * time.Millisecond)
	input := l.randomInput()
	if !l.canOccur(input) {
		return
	}
	if input.Event == EventRestart && l.inv.State == StateSubmitted {
		*l.inv = l.inv.Persisted()
	}
	previous := l.inv.State
	_, effects, err := Step(l.inv, input, l.now)
	if err != nil {
		return
	}
	starts := l.inv.State == StateRunning && previous != StateRunning
	reachesWorkerUnstored := l.inv.Idempotent && l.inv.State == StateSubmitted && l.random.IntN(2) == 0
	if starts || reachesWorkerUnstored {
		l.written = true
		l.runs++
	}
	if l.inv.State != StateRunning && l.inv.State != StateSubmitted {
		l.written = false
	}
	if effects.Has(EffectNotify) {
		l.notifications++
	}
}

func (l *randomLifecycle) randomInput() Input {
	input := Input{
		Event:            EventSubmit + Event(l.random.IntN(int(lastEvent-EventSubmit))),
		DeadlineExceeded: l.random.IntN(4) == 0,
	}
	if l.random.IntN(3) > 0 {
		input.RetryAt = l.now.Add(time.Second)
	}
	return input
}

// canOccur reports whether the event can occur, given that the dispatcher reports correctly whether a worker may have run
// the function. EventRejected after a write stands for a worker that reports that it did not run the function.
func (l *randomLifecycle) canOccur(input Input) bool {
	switch input.Event {
	case EventRejected:
		return !l.written || l.random.IntN(2) != 0
	case EventFailed:
		mayHaveRunUnstored := l.inv.Idempotent && l.inv.State == StateSubmitted
		return l.written || mayHaveRunUnstored
	case EventRedrive:
		return false
	default:
		return true
	}
}

// rejectedRuns returns the number of runs that ended without the function having run.
func rejectedRuns(inv *Invocation) int {
	count := 0
	for _, entry := range inv.History {
		if entry.Event == EventRejected {
			count++
		}
	}
	return count
}
