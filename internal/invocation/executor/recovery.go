package executor

import (
	"log/slog"
	"runtime/debug"

	"kitefall/internal/invocation"
	"kitefall/internal/schedule"
)

// Recover restarts the invocations that earlier runs of the program left incomplete. Then it starts the goroutines that
// drive the scheduler and delete invocations whose retention has ended; Close stops these goroutines. Recover must be
// called once, before any request is made.
func (e *Executor) Recover() error {
	incomplete, completed := 0, 0
	var initial []schedule.Event
	err := e.store.ForEachIncomplete(func(inv *invocation.Invocation) error {
		incomplete++
		function, functionKnown := e.catalog.Describe(inv.Function)
		restarted, effects, err := e.restart(inv, functionKnown)
		if err != nil {
			return err
		}
		if effects.Has(invocation.EffectSchedule) {
			initial = append(initial, schedule.AddEvent{Job: newJob(restarted, function)})
		} else {
			completed++
		}
		return nil
	})
	if err != nil {
		return err
	}
	debug.FreeOSMemory() // recovery reads far more data than it keeps in memory
	slog.Info("tickets: taken up at the start", "open", incomplete, "ended", completed)
	e.goroutines.Go(func() { e.feeder.run(initial) })
	e.goroutines.Go(e.deleteExpired)
	return nil
}

// restart applies EventRestart to an invocation. If the invocation is then incomplete and its function is no longer in
// the catalog, restart also applies EventWithdraw.
func (e *Executor) restart(
	inv *invocation.Invocation, functionKnown bool,
) (*invocation.Invocation, invocation.Effects, error) {
	input := invocation.Input{Event: invocation.EventRestart}
	preview := *inv
	_, effects, err := invocation.Step(&preview, input, e.clock.Now())
	// The event is first applied to a copy, to skip the store where nothing has to be stored. This holds for most
	// invocations, and there may be very many of them.
	if err == nil && effects.Has(invocation.EffectPersist) {
		inv, effects, err = e.store.Apply(inv.ID, input, nil, e.clock.Now())
	}
	if err != nil {
		return nil, 0, err
	}
	if inv.State == invocation.StateCompleted || functionKnown {
		return inv, effects, nil
	}
	withdraw := invocation.Input{
		Event: invocation.EventWithdraw,
		Note:  "function " + inv.Function + " is not in the catalogue any more",
	}
	return e.store.Apply(inv.ID, withdraw, nil, e.clock.Now())
}
