// Package soak runs dispatchers and workers as real processes over loopback, injects faults that overlap in time, and checks
// the dispatchers' rules from outside, by what clients and workers have seen.
//
// A [Fleet] holds the processes of one run. Its dispatchers are the real program, built by package wallstep so that their
// wall clocks can be stepped. Its workers are processes of the test binary ([WorkerMain]), which write each event to a file;
// the endpoint list and the clients live in the process of the test. All times are those of the machine's monotonic clock,
// which the processes share. [Check] is the oracle: it takes what was recorded and returns the rules that were broken.
//
// A [Plan] holds the faults of a run. [RandomPlan] draws one from a seed; the same seed gives the same plan, but the
// processes run in real time, so that a run does not repeat exactly.
package soak

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the machine's monotonic time, which all processes share.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(err) // the clock exists on every Linux
	}
	return time.Duration(now.Nano())
}
