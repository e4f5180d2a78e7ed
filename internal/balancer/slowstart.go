package balancer

import (
	"math"

	"kitefall/internal/permit"
)

// slowStartMarginDeviations is how many standard deviations of the number of requests sent are left free
// below the overload limit.
const slowStartMarginDeviations = 3.0

// skippedInSlowStart reports whether a worker that is warming up is passed over as the candidate at an
// index. With many dispatchers it gets a request only as the first candidate, for a first attempt of a hot
// function. slowStartAllows relies on this: the number of requests that it expects at a worker counts each
// request at its first candidate only.
func (b *Balancer) skippedInSlowStart(r *request, w *worker, index int) bool {
	firstChoice := r.function.groupSize > 1 && index+len(r.attempts) == 0
	return w.slowStart.active && b.settings.Dispatchers >= manyDispatchers && !firstChoice
}

// slowStartAllows reports whether a worker that is warming up may get a request. All dispatchers together
// may send, within the overload window, the overload multiple of the worker's present capacity less a
// margin for random variation; each gets an equal share. If a share is less than one request, a
// pseudo-random draw picks the allowed requests out of all those that the dispatchers are expected to
// send to the worker.
func (b *Balancer) slowStartAllows(r *request, w *worker) bool {
	warmth := b.warmth(w)
	if warmth >= 1 {
		return true
	}
	window := b.settings.OverloadWindow
	dispatchers := float64(b.settings.Dispatchers)
	w.slowStart.recentSends = permit.After(w.slowStart.recentSends, b.now-window)
	budget := b.settings.OverloadMultiple * warmth * b.answerRate(r, w) * window.Seconds()
	// The largest mean that stays below the limit by the margin, at a standard deviation of sqrt(mean).
	budget += slowStartMarginDeviations *
		(slowStartMarginDeviations/2 - math.Sqrt(budget+slowStartMarginDeviations*slowStartMarginDeviations/4))
	if float64(len(w.slowStart.recentSends)+1) > math.Max(1, budget/dispatchers) {
		return false
	}
	draw := unitInterval(w.hash ^ mix(b.seed+uint64(r.ID)))
	// The request's random position among those expected from all dispatchers within the window.
	position := draw * dispatchers * b.expectedCalls(r, w) / callDecay.Seconds() * window.Seconds()
	return budget >= dispatchers || position < budget
}
