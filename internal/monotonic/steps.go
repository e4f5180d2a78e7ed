package monotonic

import (
	"log/slog"
	"time"

	"kitefall/internal/metrics"
)

// minStep is the smallest change in the offset of the wall clock against the monotonic clock that counts as a step. Slewing
// shifts a clock by at most 0.5 ms per second.
const minStep = 100 * time.Millisecond

// Labels of metrics.ClockSteps.
const (
	stepForward = "forward"
	stepBack    = "back"
)

// StepDetector detects steps of the machine's wall clock. Its results are only logged and counted, for operators who compare
// log timestamps with those of other machines. It is not safe for concurrent use.
type StepDetector struct {
	start  time.Time
	wall   time.Time     // start without its monotonic reading
	offset time.Duration // of the wall clock against the monotonic clock since start, as of the last detected step
}

// NewStepDetector returns a detector of steps from now on.
func NewStepDetector() *StepDetector {
	now := time.Now()
	return &StepDetector{start: now, wall: now.Round(0)} // Round strips the monotonic reading
}

// Check compares the wall and monotonic readings of now, a result of time.Now. It logs, counts and returns a step since the
// last detected one; 0: there was none.
func (d *StepDetector) Check(now time.Time) time.Duration {
	elapsed := now.Sub(d.start)
	wallElapsed := now.Round(0).Sub(d.wall)
	step := wallElapsed - elapsed - d.offset
	if step.Abs() < minStep {
		return 0
	}
	d.offset += step
	direction := stepForward
	if step < 0 {
		direction = stepBack
	}
	metrics.ClockSteps.Add(direction)
	slog.Warn("clock: the wall clock was stepped", "step", step.Round(time.Millisecond), "offset",
		d.offset.Round(time.Millisecond))
	return step
}
