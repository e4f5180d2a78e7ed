package invocation

import (
	"fmt"
	"time"
)

// transitionKey is a combination of state and event.
type transitionKey struct {
	from  State
	event Event
}

// transitionIndex holds the transitions for each state and event, in the order of the table.
var transitionIndex = indexTransitions(Transitions)

func indexTransitions(table []Transition) map[transitionKey][]*Transition {
	index := map[transitionKey][]*Transition{}
	for i := range table {
		transition := &table[i]
		key := transitionKey{transition.From, transition.Event}
		index[key] = append(index[key], transition)
	}
	return index
}

// Step applies an input to an invocation. It returns the transition taken and the effects that the caller must carry out.
// The effects of an ephemeral invocation never include EffectPersist. If the transition rejects the event, Step leaves
// the invocation unchanged and returns the transition's error, one of this package's errors.
func Step(inv *Invocation, input Input, now time.Time) (*Transition, Effects, error) {
	for _, transition := range transitionIndex[transitionKey{inv.State, input.Event}] {
		if !transition.guard.holds(inv, input, now) {
			continue
		}
		if transition.err != nil {
			return transition, 0, transition.err
		}
		return transition, transition.apply(inv, input, now), nil
	}
	// Not reached with an event after EventCreated: TestEveryTransition checks that a guard holds for every combination.
	return nil, 0, fmt.Errorf("no transition from %v on %v", inv.State, input.Event)
}

// apply carries out the transition on the invocation and returns its effects.
func (t *Transition) apply(inv *Invocation, input Input, now time.Time) Effects {
	previous := inv.State
	inv.State = t.To
	if t.update != nil {
		t.update(inv, input, now)
	}
	if t.To == StateCompleted && previous != StateCompleted {
		inv.Outcome = t.Outcome
		inv.CompletedAt = now
	}
	// A transition that leaves an incomplete invocation in its state, such as a further attempt of the same run, is not
	// recorded in the history. Changes of a completed invocation, such as a redrive, are.
	if previous != t.To || previous == StateCompleted {
		inv.appendHistory(HistoryEntry{At: now, Run: inv.Runs, Event: input.Event, Note: input.Note})
	}
	if inv.Ephemeral {
		return t.Effects.without(EffectPersist)
	}
	return t.Effects
}
