package invocation

import "time"

// update is the part of a transition that changes fields other than State, Outcome and CompletedAt.
type update func(inv *Invocation, input Input, now time.Time)

// chain returns an update that carries out the given updates in order.
func chain(updates ...update) update {
	return func(inv *Invocation, input Input, now time.Time) {
		for _, change := range updates {
			change(inv, input, now)
		}
	}
}

func countRun(inv *Invocation, _ Input, _ time.Time) { inv.Runs++ }

func setNextRun(inv *Invocation, input Input, _ time.Time) { inv.NextRunAt = input.RetryAt }

func setMayHaveRun(inv *Invocation, _ Input, _ time.Time) { inv.MayHaveRun = true }

func setRedrivenAs(inv *Invocation, input Input, _ time.Time) { inv.RedrivenAs = input.Successor }

func addResultBytes(inv *Invocation, input Input, _ time.Time) { inv.Bytes += input.Bytes }

// setRetryAt sets the time from which the client may retry.
func setRetryAt(inv *Invocation, input Input, now time.Time) {
	inv.RetryAt = now.Add(input.RetryAfter)
}

// setDeadLetter marks a deferred invocation as a dead letter, which operators can redrive or purge. A foreground
// invocation does not become one, because its client waits for the outcome and gets it at once.
func setDeadLetter(inv *Invocation, _ Input, _ time.Time) { inv.DeadLetter = inv.Deferred }
