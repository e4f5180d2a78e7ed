package invocation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// name describes the transition by its state, event and guard. It is unique in the table.
func (t *Transition) name() string {
	name := t.From.String() + ", " + t.Event.String()
	if t.guard.name != "" {
		name += ", " + t.guard.name
	}
	return name
}

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// scenario is a combination of everything that the guards look at.
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

// allScenarios returns every combination.
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

// invocation returns an invocation in a state, and the time at which it meets the event.
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

// input returns an event with its data.
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

// Every state meets every event in every scenario. Each transition of the table is taken by some, and the invariants
// hold for all.
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
		assert.NotZero(t, taken[&Transitions[i]], "no test takes the transition: %s", Transitions[i].name())
	}
}

// requireInvariants checks what must hold after every transition that accepts its event.
func requireInvariants(
	t *testing.T, s scenario, transition *Transition, before, after *Invocation, effects Effects, now time.Time,
) {
	t.Helper()
	name := transition.name()
	completes := before.State != StateCompleted && after.State == StateCompleted
	starts := before.State != StateRunning && after.State == StateRunning

	require.Equal(t, completes, effects.Has(EffectNotify), "notified exactly when it completes: %s", name)
	require.Equal(t, completes, after.Outcome != before.Outcome, name)
	if !after.Ephemeral && (completes || starts) {
		require.True(t, effects.Has(EffectPersist), "stored first: %s", name)
	}
	if after.Ephemeral {
		require.False(t, effects.Has(EffectPersist), name)
	}
	provesRun := transition.Event == EventRejected || transition.Event == EventServed
	if before.State == StateRunning && after.State != StateRunning && !s.idempotent && !provesRun {
		require.True(t, after.State == StateCompleted && after.MayHaveRun, "what may have run does not run again: %s", name)
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
		// The scenarios also have incomplete dead letters, which never occur.
		require.True(t, after.DeadLetter == isDeadLetter || s.deadLetter, name)
	}
}

// Random events beside a model that knows what really ran: an invocation that is not idempotent never runs twice.
func TestRandomEventsRunNonIdempotentOnce(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		world := newRandomWorld(random)
		for range 60 {
			world.step()
		}
		if !world.inv.Idempotent {
			require.LessOrEqual(t, world.runs, 1+rejectedRuns(world.inv), "seed %d: %v", seed, world.inv.History)
		}
		require.LessOrEqual(t, world.notifications, 1, "seed %d", seed)
		require.LessOrEqual(t, len(world.inv.History), MaxHistory)
	}
}

// randomWorld applies random events to an invocation and knows what the workers did.
type randomWorld struct {
	random        *rand.Rand
	inv           *Invocation
	now           time.Time
	written       bool // an attempt of the present run was written to a worker
	runs          int  // runs that were written to a worker
	notifications int
}

func newRandomWorld(random *rand.Rand) *randomWorld {
	idempotent := random.IntN(2) == 0
	deferred := random.IntN(4) > 0
	request := Request{Idempotent: idempotent, Deferred: deferred, Expires: noon.Add(time.Minute)}
	return &randomWorld{random: random, inv: New("t", request, noon), now: noon}
}

// step applies one random event.
func (w *randomWorld) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	input := w.randomInput()
	if !w.possible(input) {
		return
	}
	if input.Event == EventRestart && w.inv.State == StateSubmitted {
		*w.inv = w.inv.Persisted()
	}
	previous := w.inv.State
	_, effects, err := Step(w.inv, input, w.now)
	if err != nil {
		return
	}
	starts := w.inv.State == StateRunning && previous != StateRunning
	startsUnstored := w.inv.Idempotent && w.inv.State == StateSubmitted && w.random.IntN(2) == 0
	if starts || startsUnstored {
		w.written = true
		w.runs++
	}
	if w.inv.State != StateRunning && w.inv.State != StateSubmitted {
		w.written = false
	}
	if effects.Has(EffectNotify) {
		w.notifications++
	}
}

func (w *randomWorld) randomInput() Input {
	input := Input{
		Event:            EventSubmit + Event(w.random.IntN(int(lastEvent-EventSubmit))),
		DeadlineExceeded: w.random.IntN(4) == 0,
	}
	if w.random.IntN(3) > 0 {
		input.RetryAt = w.now.Add(time.Second)
	}
	return input
}

// possible reports whether the event can occur: the dispatcher tells the truth about what may have run.
func (w *randomWorld) possible(input Input) bool {
	switch input.Event {
	case EventRejected:
		return !w.written || w.random.IntN(2) != 0
	case EventFailed:
		mayRunUnstored := w.inv.Idempotent && w.inv.State == StateSubmitted
		return w.written || mayRunUnstored
	case EventRedrive:
		return false
	default:
		return true
	}
}

// rejectedRuns returns the number of runs that certainly did not run.
func rejectedRuns(inv *Invocation) int {
	count := 0
	for _, entry := range inv.History {
		if entry.Event == EventRejected {
			count++
		}
	}
	return count
}
