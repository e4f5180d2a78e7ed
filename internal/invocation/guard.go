package invocation

import "time"

// minRunTime is the least time for which another run is worth starting: more than this must be left between its earliest
// start and the invocation's deadline.
const minRunTime = 50 * time.Millisecond

// guard is the condition under which a transition applies to an invocation, an input and a time.
type guard struct {
	name  string // part of the transition's name in test output; empty for always
	holds func(inv *Invocation, input Input, now time.Time) bool
}

var (
	always = guard{
		holds: func(*Invocation, Input, time.Time) bool { return true },
	}
	isIdempotent = guard{
		name:  "idempotent",
		holds: func(inv *Invocation, _ Input, _ time.Time) bool { return inv.Idempotent },
	}
	willRetry = guard{
		name:  "another run follows",
		holds: anotherRunFollows,
	}
	willRetryIdempotent = guard{
		name: "idempotent, another run follows",
		holds: func(inv *Invocation, input Input, now time.Time) bool {
			return inv.Idempotent && anotherRunFollows(inv, input, now)
		},
	}
	deadlineExceeded = guard{
		name:  "the run's deadline passed",
		holds: func(_ *Invocation, input Input, _ time.Time) bool { return input.DeadlineExceeded },
	}
	beforeNextRun = guard{
		name:  "before the next run may start",
		holds: func(inv *Invocation, _ Input, now time.Time) bool { return now.Before(inv.NextRunAt) },
	}
	beforeExpiry = guard{
		name:  "before the deadline",
		holds: func(inv *Invocation, _ Input, now time.Time) bool { return now.Before(inv.Expires) },
	}
	isDeadLetter = guard{
		name:  "dead letter",
		holds: func(inv *Invocation, _ Input, _ time.Time) bool { return redrivable(inv) },
	}
	mayRedrive = guard{
		name: "dead letter that did not run or is confirmed",
		holds: func(inv *Invocation, input Input, _ time.Time) bool {
			return redrivable(inv) && safeToRedrive(inv, input)
		},
	}
)

// anotherRunFollows reports whether a deferred invocation gets another run: the scheduler has granted one, and more
// than minRunTime is left for it.
func anotherRunFollows(inv *Invocation, input Input, _ time.Time) bool {
	if !inv.Deferred || input.RetryAt.IsZero() {
		return false
	}
	return input.RetryAt.Add(minRunTime).Before(inv.Expires)
}

// redrivable reports whether an invocation is a dead letter that has not been redriven.
func redrivable(inv *Invocation) bool { return inv.DeadLetter && inv.RedrivenAs == "" }

// safeToRedrive reports whether a redrive cannot execute a non-idempotent function twice: the function is idempotent, it
// did not run, or an operator has confirmed that it did not run and has given a reason.
func safeToRedrive(inv *Invocation, input Input) bool {
	confirmed := input.Confirmed && input.Note != ""
	return inv.Idempotent || !inv.MayHaveRun || confirmed
}
