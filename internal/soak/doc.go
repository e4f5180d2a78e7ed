// Package soak runs dispatchers and workers as real processes over loopback, injects faults that overlap in time, and checks
// the dispatchers' rules from outside, using the events that clients and workers recorded.
//
// A [Fleet] holds the processes of one run. Its dispatchers are the real program, built by package wallstep so that their
// wall clocks can be stepped. Its workers are processes of the test binary ([WorkerMain]), which write each event to a file.
// The endpoint list and the clients run in the process of the test. All recorded times are readings of the machine's monotonic
// clock, which the processes share. [Check] is the oracle: it takes the recorded [History] and returns the violations of rules.
//
// A [Plan] holds the faults of a run. [RandomPlan] draws a plan from a seed. The same seed gives the same plan, but two runs of
// a plan differ in detail, since the processes run in real time.
package soak

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of the machine's monotonic clock, which all processes share.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(err) // every Linux kernel has this clock
	}
	return time.Duration(now.Nano())
}
