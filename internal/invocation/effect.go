package invocation

// Effect is an action that the caller of Step must carry out after a transition.
type Effect uint8

// The effects.
const (
	EffectPersist   Effect = 1 << iota // store the new state, before the other effects, any write to a worker and any reply
	EffectNotify                       // report the final outcome to the clients that wait for it
	EffectCancelRun                    // cancel the run in progress at the dispatcher
	EffectSchedule                     // hand the invocation to the scheduler for its next run
	EffectDelete                       // delete the invocation; only a record that it existed is kept
)

// Effects is a set of effects. The zero value is the empty set.
type Effects uint8

// effects returns the set of the given members.
func effects(members ...Effect) Effects {
	set := Effects(0)
	for _, member := range members {
		set |= Effects(member)
	}
	return set
}

// Has reports whether the set contains effect.
func (e Effects) Has(effect Effect) bool { return e&Effects(effect) != 0 }

// without returns the set without effect.
func (e Effects) without(effect Effect) Effects { return e &^ Effects(effect) }
