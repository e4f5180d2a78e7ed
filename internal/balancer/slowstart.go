package balancer

import (
	"math"

	"kitefall/internal/permit"
)

// slowStartMargin is how many standard deviations of chance are kept clear of the overload limit.
const slowStartMargin = 3.0

// skippedInSlowStart reports whether a worker that is warming up is passed over: with many dispatchers, the
// lot of slowStartAllows counts only the first choice of a hot function's first attempt.
func (b *Balancer) skippedInSlowStart(r *request, w *worker, i int) bool {
	firstChoice := r.function.groupSize > 1 && i+len(r.attempts) == 0
	return w.slowStart.active && b.settings.Dispatchers >= manyDispatchers && !firstChoice
}

// slowStartAllows reports whether a worker that is warming up may be sent a request: a dispatcher's share of
// the overload multiple of its present capacity, less a margin for chance. A share below one is dealt by lot
// among all requests that all dispatchers are likely to send there.
func (b *Balancer) slowStartAllows(r *request, w *worker) bool {
	warmth := b.warmth(w)
	if warmth >= 1 {
		return true
	}
	window := b.settings.OverloadWindow
	dispatchers := float64(b.settings.Dispatchers)
	w.slowStart.sends = permit.After(w.slowStart.sends, b.now-window)
	budget := b.settings.OverloadMultiple * warmth * b.answerRate(r, w) * window.Seconds()
	budget += slowStartMargin * (slowStartMargin/2 - math.Sqrt(budget+slowStartMargin*slowStartMargin/4))
	if float64(len(w.slowStart.sends)+1) > math.Max(1, budget/dispatchers) {
		return false
	}
	lot := unitInterval(w.hash ^ mix(b.seed+uint64(r.ID)))
	share := lot * dispatchers * b.expectedCalls(r, w) / callDecay.Seconds() * window.Seconds()
	return budget >= dispatchers || share < budget
}
