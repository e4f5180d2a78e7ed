package balancer

import (
	"cmp"
	"math"
	"time"
)

// This file estimates load, capacity and time. The decisions that use these estimates are in other files.

const (
	smoothing           = 0.1           // weight of a new sample in a running mean
	fleetSmoothing      = smoothing / 4 // weight of a new sample in a running mean over the whole fleet
	minPositiveEstimate = 1e-6          // lower limit that keeps divisors above zero
	minAnswerTime       = 0.01          // seconds; lower limit of the mean answer time in answerRate
	maxCallWeight       = 10.0          // one request counts as at most this many requests of mean work
	maxFunctionRatio    = 10.0          // upper limit of an answer time, as a multiple of the function's mean

	// initialConcurrency is the initial limit of requests in flight to a worker from all dispatchers. The
	// limit never falls below half of it.
	initialConcurrency = 12.0

	latencyPriorAnswers = 1.5             // a latency ratio starts with this many mean answer times
	latencyDecay        = 3 * time.Second // time constant with which a worker's own answer times are forgotten
	silenceFactor       = 10.0            // mean answer times without a sign of life until a worker is silent

	// maxZoneAttemptFactor limits how much one attempt without an answer counts towards its zone being
	// unreachable, in mean answer times: any single request may take long.
	maxZoneAttemptFactor = 2.0

	concurrencyDecrease = 0.8 // a decrease multiplies a concurrency window by this factor
)

// warmth returns the fraction of its capacity that a worker has at least.
func (b *Balancer) warmth(w *worker) float64 {
	if !w.slowStart.active { // fast path: each sweep checks every worker, and nearly all are warm
		return 1
	}
	return w.slowStart.warmth(b.now, b.settings.SlowStartFloor, b.settings.SlowStartDuration)
}

// capacity returns the present capacity of a worker, from its weight, warmth and answer times.
func (b *Balancer) capacity(w *worker) float64 {
	return w.fullWeight * b.warmth(w) / math.Max(1, w.latency.functionRatio)
}

// load estimates the requests in flight at a worker from all dispatchers, divided by its present capacity.
func (b *Balancer) load(w *worker) float64 {
	return float64(len(w.pendingAttempts)) * float64(b.settings.Dispatchers) / b.capacity(w)
}

// initialWindow returns the concurrency window of a worker without any outcomes yet.
func (b *Balancer) initialWindow() float64 {
	return math.Max(2, initialConcurrency/float64(b.settings.Dispatchers))
}

// latencyRatio returns the answer times of a worker divided by the times expected for the work of its
// requests. The mean answer times of functions cannot serve as the reference: a primary worker alone
// answers its functions, so their means are its own answer times.
func (b *Balancer) latencyRatio(w *worker) float64 {
	ratio := w.latency.ratio(b.now, latencyPriorAnswers*b.stats.meanAnswer, latencyDecay, w.pendingAttempts)
	if b.stats.meanAnswer == 0 { // no answer yet to compare with
		return 1
	}
	return ratio
}

// answerRate estimates from below how many requests per second a worker answers when it is warm. Answers
// of workers that are not warm, drain or have gone do not count: they tell nothing of the warm ones.
func (b *Balancer) answerRate(r *request, w *worker) float64 {
	answerTime := cmp.Or(b.stats.meanAnswer, r.class.LatencyObjective.Seconds())
	rate := 1 / math.Max(answerTime, minAnswerTime)
	if b.hotSet.warmWeight > 0 {
		fleetRate := float64(b.settings.Dispatchers) * b.hotSet.warmAnswers / callDecay.Seconds()
		rate = math.Max(rate, fleetRate*w.fullWeight/b.hotSet.warmWeight)
	}
	return rate
}

// expectedCalls estimates how many of this dispatcher's counted calls are for a worker.
func (b *Balancer) expectedCalls(r *request, w *worker) float64 {
	evenShare := b.hotSet.callsPerWorker
	calls := math.Max(evenShare, w.hotCalls+b.hotSet.rareCalls/float64(len(b.ready)))
	if f := r.function; !f.hot {
		calls += math.Max(f.calls.value-1, f.demand*evenShare)
	}
	return calls
}

// expectedAnswer returns the expected answer time of a request, in seconds. It depends on the work estimate
// if the request has one.
func (b *Balancer) expectedAnswer(r *request) float64 {
	expected := b.stats.meanAnswer
	if work := r.WorkEstimate.Seconds(); work > 0 {
		expected *= (1 + work/b.stats.meanWork) / 2
	}
	return expected
}

// callWeight returns what a request adds to the count of calls: its work relative to the mean work, or 1 if
// it has no work estimate. It also updates the mean work.
func (b *Balancer) callWeight(work float64) float64 {
	if work <= 0 {
		return 1
	}
	updateOrStartMean(&b.stats.meanWork, work, fleetSmoothing)
	return min(work/b.stats.meanWork, maxCallWeight)
}

// updateDemand updates the estimate of how many workers a function needs. The queue depth is how many
// requests for the function a worker held when another one arrived.
func (b *Balancer) updateDemand(f *function, queueDepth int) {
	callRate := b.hotSet.callsPerWorker / callDecay.Seconds() * float64(b.settings.Dispatchers)
	meanInFlight := callRate * b.stats.meanAnswer // requests at one worker, from all dispatchers
	if b.settings.ReportsQueueDepth && meanInFlight > 0 {
		demand := float64(f.groupSize*queueDepth) / meanInFlight
		f.demand += (demand - f.demand) / float64(1+f.groupSize) // samples of wider groups are noisier
	}
}

// recordAnswerTime adds an answer time, in seconds, to the running means of its function, its worker and
// the fleet.
func (b *Balancer) recordAnswerTime(a *attempt, elapsed float64) {
	f := a.request.function
	latency := &a.worker.latency
	if f.meanAnswer == 0 {
		f.meanAnswer = elapsed
	}
	functionRatio := math.Min(elapsed/math.Max(f.meanAnswer, minPositiveEstimate), maxFunctionRatio)
	objectiveRatio := elapsed / math.Max(a.request.class.LatencyObjective.Seconds(), minPositiveEstimate)
	updateMean(&latency.functionRatio, functionRatio, smoothing)
	updateMean(&latency.objectiveRatio, objectiveRatio, smoothing)
	updateMean(&f.meanAnswer, elapsed, smoothing)
	updateOrStartMean(&b.stats.meanAnswer, elapsed, fleetSmoothing)
	a.worker.answers.add(b.now, 1, callDecay)
}

// recordLatency adds an answer time to the latency ratio of its worker. An attempt that timed out or was
// cancelled counts too if it was overdue.
func (b *Balancer) recordLatency(a *attempt, e OutcomeEvent) {
	elapsed := e.Elapsed.Seconds()
	overdue := elapsed > a.expected && (e.Status == TimedOut || e.Status == Cancelled)
	if e.Status == OK || overdue {
		a.worker.latency.add(b.now, elapsed, a.expected, latencyDecay)
	}
}

// unansweredTime returns how much an attempt that has waited for an answer counts towards its zone being
// unreachable.
func (b *Balancer) unansweredTime(z *zone, wait time.Duration) time.Duration {
	return max(0, min(wait, b.now-z.lastContact, seconds(maxZoneAttemptFactor*b.stats.meanAnswer)))
}

// silenceLimit returns how long a worker with pending attempts may give no sign of life.
func (b *Balancer) silenceLimit() time.Duration { return seconds(silenceFactor * b.stats.meanAnswer) }

// decreaseWindow shrinks the concurrency window of a worker, at most once per mean answer time.
func (b *Balancer) decreaseWindow(w *worker) {
	size := math.Min(w.window.size, float64(len(w.pendingAttempts)+2)) * concurrencyDecrease
	w.window.decrease(b.now, seconds(b.stats.meanAnswer), math.Max(b.initialWindow()/2, size))
}
