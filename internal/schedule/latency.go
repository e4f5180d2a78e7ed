package schedule

import "time"

const (
	// minLoadTime is a lower bound of the time that it takes to load a function.
	minLoadTime = 150 * time.Millisecond

	// floorGrowth is the factor by which the floor grows with each slower run, so that it follows a fleet that has
	// become slower.
	floorGrowth = 1.01

	// averageWeight is the weight of the latest run in the moving average.
	averageWeight = 0.2

	// minSlowSeconds is the average run time, in seconds, up to which a function never counts as slow: at shorter run
	// times, the noise of the system is greater than the differences between workers.
	minSlowSeconds = 0.02
)

// runLatency tracks the run times of one function, in seconds.
type runLatency struct {
	floor   float64 // time of the fastest recent run; 0: no run was observed
	average float64 // exponentially weighted moving average
}

// includesLoad reports whether the time of a run is so far above the floor that it must include a load of the function.
func (l *runLatency) includesLoad(elapsed time.Duration) bool {
	return l.floor > 0 && elapsed.Seconds() > 2*l.floor+minLoadTime.Seconds()
}

// observe records the time of a run and reports whether the function is slow, that is, whether its average exceeds both
// minSlowSeconds and slowFactor times its floor.
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
