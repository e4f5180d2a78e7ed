package balancer

import (
	"cmp"
	"math"
	"time"
)

// This file holds estimates of load, capacity and time. They choose nothing; the decisions that use them are
// elsewhere.

const (
	smoothing           = 0.1             // weight of a new sample in a running mean
	fleetSmoothing      = smoothing / 4   // ... over the whole fleet
	minPositiveEstimate = 1e-6            // keeps divisors above zero
	minAnswerTime       = 0.01            // seconds; the shortest that a mean answer is taken for
	maxCallWeight       = 10.0            // one request counts as this many of mean work at most
	maxFunctionRatio    = 10.0            // an answer counts as this many usual ones at most
	initialConcurrency  = 12.0            // in flight to a worker from all dispatchers at first; half at least
	latencyPriorAnswers = 1.5             // a latency ratio starts with this many usual answers ...
	latencyDecay        = 3 * time.Second // ... and a worker's own are forgotten with this time constant
	silenceFactor       = 10.0            // a worker is silent after this many mean answer times
	// One attempt counts for so many mean answer times of its zone at most: any may be long.
	maxZoneAttemptFactor = 2.0
	concurrencyDecrease  = 0.8 // a concurrency window shrinks to this part
)

// warmth is the part of its capacity that a worker has for certain.
func (b *Balancer) warmth(w *worker) float64 {
	if !w.slowStart.active { // the usual case, looked at for every worker in each sweep
		return 1
	}
	return w.slowStart.warmth(b.now, b.settings.SlowStartFloor, b.settings.SlowStartDuration)
}

// capacity is a worker's present capacity, by its weight, its warmth and its answer times.
func (b *Balancer) capacity(w *worker) float64 {
	return w.fullWeight * b.warmth(w) / math.Max(1, w.latency.functionRatio)
}

// load estimates the requests in flight at a worker from all dispatchers, for its present capacity.
func (b *Balancer) load(w *worker) float64 {
	return float64(len(w.outstanding)) * float64(b.settings.Dispatchers) / b.capacity(w)
}

// initialWindow is the concurrency window of a worker of which nothing is known.
func (b *Balancer) initialWindow() float64 {
	return math.Max(2, initialConcurrency/float64(b.settings.Dispatchers))
}

// latencyRatio is how long a worker's answers take against what they should, by the work of the requests: a
// primary worker answers its own functions only, so that their usual times say nothing.
func (b *Balancer) latencyRatio(w *worker) float64 {
	ratio := w.latency.ratio(b.now, latencyPriorAnswers*b.stats.meanAnswer, latencyDecay, w.outstanding)
	if b.stats.meanAnswer == 0 { // nothing to compare with yet
		return 1
	}
	return ratio
}

// answerRate is how many requests a second a worker answers when it is warm, at least.
func (b *Balancer) answerRate(r *request, w *worker) float64 {
	answerTime := cmp.Or(b.stats.meanAnswer, r.class.LatencyObjective.Seconds())
	rate := 1 / math.Max(answerTime, minAnswerTime)
	if b.hotSet.warmWeight > 0 {
		ownAnswers := b.stats.answers.add(b.now, 0, callDecay)
		fleetRate := float64(b.settings.Dispatchers) * ownAnswers / callDecay.Seconds()
		rate = math.Max(rate, fleetRate*w.fullWeight/b.hotSet.warmWeight)
	}
	return rate
}

// expectedCalls is how many of this dispatcher's calls counted are likely to be for a worker.
func (b *Balancer) expectedCalls(r *request, w *worker) float64 {
	even := b.hotSet.callsPerWorker
	calls := math.Max(even, w.hotCalls+b.hotSet.rareCalls/float64(len(b.ready)))
	if f := r.function; !f.hot {
		calls += math.Max(f.calls.value-1, f.demand*even)
	}
	return calls
}

// expectedAnswer is how many seconds the answer to a request should take, by its work where that is told.
func (b *Balancer) expectedAnswer(r *request) float64 {
	expected := b.stats.meanAnswer
	if work := r.WorkEstimate.Seconds(); work > 0 {
		expected *= (1 + work/b.stats.meanWork) / 2
	}
	return expected
}

// callWeight is what a request adds to the count of calls: its work against the mean, where work is told.
func (b *Balancer) callWeight(work float64) float64 {
	if work <= 0 {
		return 1
	}
	updateOrStartMean(&b.stats.meanWork, work, fleetSmoothing)
	return min(work/b.stats.meanWork, maxCallWeight)
}

// learnDemand learns how many workers a function needs from the requests for it that a worker held.
func (b *Balancer) learnDemand(f *function, queueDepth int) {
	callRate := b.hotSet.callsPerWorker / callDecay.Seconds() * float64(b.settings.Dispatchers)
	meanInFlight := callRate * b.stats.meanAnswer // at a worker
	if b.settings.ReportsQueueDepth && meanInFlight > 0 {
		demand := float64(f.groupSize*queueDepth) / meanInFlight
		f.demand += (demand - f.demand) / float64(1+f.groupSize) // the wider the group, the noisier
	}
}

// recordAnswerTime takes an answer time, in seconds, into the running means of the function, worker and
// fleet.
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
	b.stats.answers.add(b.now, 1, callDecay)
}

// recordLatency takes an answer time into its worker's latency ratio; without an answer, one that was
// overdue.
func (b *Balancer) recordLatency(a *attempt, e OutcomeEvent) {
	elapsed := e.Elapsed.Seconds()
	overdue := elapsed > a.expected && (e.Status == TimedOut || e.Status == Cancelled)
	if e.Status == OK || overdue {
		a.worker.latency.add(b.now, elapsed, a.expected, latencyDecay)
	}
}

// unansweredTime is how far an attempt without an answer for so long counts towards its zone being
// unreachable.
func (b *Balancer) unansweredTime(z *zone, wait time.Duration) time.Duration {
	return max(0, min(wait, b.now-z.lastContact, seconds(maxZoneAttemptFactor*b.stats.meanAnswer)))
}

// silenceLimit is how long a worker may keep silent.
func (b *Balancer) silenceLimit() time.Duration { return seconds(silenceFactor * b.stats.meanAnswer) }

// decreaseWindow shrinks a worker's concurrency window, at most once in a mean answer time.
func (b *Balancer) decreaseWindow(w *worker) {
	size := math.Min(w.window.size, float64(len(w.outstanding)+2)) * concurrencyDecrease
	w.window.decrease(b.now, seconds(b.stats.meanAnswer), math.Max(b.initialWindow()/2, size))
}
