package monotonic

import (
	"log/slog"
	"time"

	"kitefall/internal/metrics"
)

// minStep is the smallest change of the wall clock against the monotonic clock that counts as a step. A clock that is
// slewed moves by 0.5 ms a second at most.
const minStep = 100 * time.Millisecond

// Labels of metrics.ClockSteps.
const (
	stepForward = "forward"
	stepBack    = "back"
)

// StepDetector notices when the wall clock of the machine is set. Nothing in the program depends on it: it is for the
// operators, who compare the times of the log with those of other machines. It is not safe for concurrent use.
type StepDetector struct {
	start  time.Time
	wall   time.Time     // start without its monotonic reading
	offset time.Duration // of the wall clock against the monotonic clock since start, when it was last looked at
}

// NewStepDetector returns a detector of steps from now on.
func NewStepDetector() *StepDetector {
	now := time.Now()
	return &StepDetector{start: now, wall: now.Round(0)} // Round strips the monotonic reading
}

// Check compares the clocks as read at now, a result of time.Now, and logs and counts a step since the last check. It
// returns the step; 0: none.
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
