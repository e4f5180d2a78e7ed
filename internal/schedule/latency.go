package schedule

import "time"

const (
	// minLoadTime is less than any load of a function takes.
	minLoadTime = 150 * time.Millisecond

	// floorGrowth lets the floor follow a fleet that has become slower.
	floorGrowth = 1.01

	// averageWeight is the weight of the last run in the moving average.
	averageWeight = 0.2

	// minSlowSeconds is the average, in seconds, up to which a function is never slow: below it the noise of the
	// system is greater than the differences of workers.
	minSlowSeconds = 0.02
)

// runLatency follows how long the runs of one function take, in seconds.
type runLatency struct {
	floor   float64 // the least of the recent runs; 0: none was observed
	average float64 // exponentially weighted moving average
}

// includesLoad reports whether a run took so long that it must have waited for a load of its function.
func (l *runLatency) includesLoad(elapsed time.Duration) bool {
	return l.floor > 0 && elapsed.Seconds() > 2*l.floor+minLoadTime.Seconds()
}

// observe takes in a run and reports whether the function is slow: its average is above slowFactor times its floor.
func (l *runLatency) observe(elapsed time.Duration, slowFactor float64) (slow bool) {
	seconds := elapsed.Seconds()
	if l.floor == 0 {
		l.floor = seconds
		l.average = seconds
		return false
	}
	l.floor = min(seconds, l.floor*floorGrowth)
	l.average += averageWeight * (seconds - l.average)
	return l.average > slowFactor*l.floor && l.average > minSlowSeconds
}
