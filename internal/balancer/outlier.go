package balancer

import (
	"math"
	"time"
)

const (
	// A worker is slow if its latency ratio, answer time to expected time, exceeds this.
	latencyOutlierRatio = 2.0

	maxProbeBackoff = 8 * time.Second // longest time between two probes of an ejected worker

	// An outlier's failure rate for a class exceeds the fleet's by failureExcess; the fleet's rate is
	// taken as minFleetFailureRate at least.
	failureExcess       = 0.3
	minFleetFailureRate = 0.01

	baseFailureScoreLimit = 1.5            // limit of the failure score while there have been no calls
	fleetFailureSmoothing = smoothing / 10 // weight of a new sample in the fleet's failure rate

	// A failure in one class also counts in the other classes, multiplied by otherClassSeverity, unless the
	// worker has answered a request of that other class within recentAnswerAge.
	otherClassSeverity = 0.5
	recentAnswerAge    = time.Second

	resetSeverity = 0.2 // severity of a connection reset, which a healthy worker may cause too

	// Requests that are not idempotent have a lower limit of the failure score: this part of the usual one.
	notIdempotentLimitRatio = 0.5

	// From maxConsecutiveRejections consecutive rejections on, a class is ejected from a worker for
	// minClassEjection. Each further rejection doubles that time, maxClassEjectionDoublings times and to
	// maxProbeBackoff/4 at most.
	maxConsecutiveRejections  = 4
	minClassEjection          = 250 * time.Millisecond
	maxClassEjectionDoublings = 5

	// Ejections are ignored while more than this part of the ready workers is ejected.
	failOpenShare = 0.5
)

// failureSeverity is the part of a failure, from 0 to 1, that the end of an attempt counts as for its
// worker. Statuses that are not listed count as successes.
var failureSeverity = map[Status]float64{Failed: 1, TimedOut: 1, Reset: resetSeverity}

// healthy reports whether a request may go to a worker, by the worker's health: it neither fails nor
// rejects too many requests of the class, the request does not exclude it, and it is not ejected or may be
// probed. While ejections are ignored, an ejected worker counts as healthy, too.
func (b *Balancer) healthy(r *request, w *worker) bool {
	class := w.healthOf(r.class.Name)
	limit := b.failureScoreLimit()
	if r.class.Idempotency == NotIdempotent {
		limit *= notIdempotentLimitRatio
	}
	if r.excluded[w.ID] || b.now < class.ejectedUntil || class.failureScore > limit {
		return false
	}
	return !w.ejected() || b.failOpen || b.mayProbe(r, w)
}

// mayProbe reports whether a request may probe an ejected worker: a probe is due, the worker has no
// attempt in flight, and the request is idempotent and has an attempt left after this one.
func (b *Balancer) mayProbe(r *request, w *worker) bool {
	due := b.now >= max(w.ejection.probeAt, w.zone.ejection.probeAt)
	repeatable := r.class.Idempotency == Idempotent && len(r.attempts)+1 < b.settings.MaxAttempts
	return due && repeatable && len(w.pendingAttempts) == 0
}

// postponeProbe postpones the next probe of a worker, and that of its zone if the zone is unreachable.
func (b *Balancer) postponeProbe(w *worker) {
	w.ejection.postponeProbe(b.now, maxProbeBackoff)
	if w.zone.ejection.active {
		w.zone.ejection.postponeProbe(b.now, maxProbeBackoff)
	}
}

// recordAttemptResult adds the end of an attempt to the failure scores of its worker. An error of a
// function that no worker has answered yet may be the function's fault: it counts once another worker
// answers.
func (b *Balancer) recordAttemptResult(a *attempt, status Status) {
	f := a.request.function
	if status == Failed && !f.countError(b.now) {
		f.erroredWorkers = append(lastN(f.erroredWorkers, maxUnknownErrors-1), a.worker)
		return
	}
	if status != Reset || b.recordReset(a.worker) {
		b.recordResult(a.worker, a.request.class.Name, failureSeverity[status])
	}
}

// recordResult adds a result to a worker's failure score of the class and to the fleet's failure rate. A
// failure also counts in part in the worker's scores of other classes.
func (b *Balancer) recordResult(w *worker, className string, severity float64) {
	rate := b.stats.failureRate[className]
	test := newFailureTest(math.Max(rate, minFleetFailureRate), failureExcess, 1-minFleetFailureRate)
	limit := b.failureScoreLimit()
	for name := range b.classes {
		other := w.class(name)
		answers := other.lastAnswerAt > 0 && b.now-other.lastAnswerAt <= recentAnswerAge
		if name != className && severity > 0 && !answers {
			other.addFailure(test, limit, otherClassSeverity*severity)
		}
	}
	class := w.class(className)
	if class.failureScore <= limit { // an outlier's results do not count in the fleet's failure rate
		updateMean(&rate, severity, fleetFailureSmoothing)
		b.stats.failureRate[className] = rate
	}
	class.addResult(test, limit, severity)
}

// failureScoreLimit returns the failure score above which a worker is an outlier. It grows with the calls
// per worker, since more calls bring longer runs of failures by chance; with few calls, one failure is
// enough.
func (b *Balancer) failureScoreLimit() float64 {
	return baseFailureScoreLimit + math.Log(1+b.hotSet.callsPerWorker)
}

// ejectClass keeps requests of a class from a worker that rejects them, for a time that doubles with each
// further rejection. After that time one request probes the worker.
func (b *Balancer) ejectClass(class *classHealth) {
	doublings := min(class.consecutiveRejections-maxConsecutiveRejections, maxClassEjectionDoublings)
	class.ejectedUntil = b.now + min(minClassEjection<<doublings, maxProbeBackoff/4)
}

// recordReset records that a connection to a worker broke, and reports whether this is a new break: one
// break ends all attempts on its connection, and is reported for each of them. A single break shows little,
// since a healthy worker may cause one too. A worker is ejected at a second break with no sign of life in
// between.
func (b *Balancer) recordReset(w *worker) bool {
	if b.now-w.lastReset < sweepInterval && w.lastReset > 0 {
		return false
	}
	if w.lastReset > w.lastContact {
		b.eject(w)
	}
	w.lastReset = b.now
	return true
}

// eject takes a worker out of placement until it answers a probe.
func (b *Balancer) eject(w *worker) { w.ejection.start(b.now, b.silenceLimit()) }

// ejectIfSilent ejects a worker that gave no sign of life during an attempt, unless the attempt ended
// before the silence limit, as when its client left early. Before the first answer the limit is unknown: only
// an attempt that timed out counts then.
func (b *Balancer) ejectIfSilent(w *worker, e OutcomeEvent) {
	limitKnown := b.stats.meanAnswer > 0 || e.Status == TimedOut
	if limitKnown && e.Elapsed >= b.silenceLimit() && b.now-w.lastContact > e.Elapsed {
		b.eject(w)
	}
}

// checkWorkers updates the mean load, and ejects silent workers and unreachable zones. If most ready
// workers are ejected, it fails open: ejections are then ignored.
func (b *Balancer) checkWorkers() {
	ejected := 0
	b.meanLoad = 0
	for _, z := range b.zones {
		z.totalWait = z.endedWait
		b.ejectIfUnreachable(z)
	}
	for _, w := range b.ready {
		if len(w.pendingAttempts) == 0 && !w.ejected() { // no load, as with most workers of a large fleet
			continue
		}
		b.meanLoad += b.load(w) / float64(len(b.ready))
		if len(w.pendingAttempts) > 0 && b.stats.meanAnswer > 0 {
			oldest := w.pendingAttempts[0].sentAt
			if b.now-max(oldest, w.lastContact) > b.silenceLimit() {
				b.eject(w)
			}
			w.zone.totalWait += b.unansweredTime(w.zone, b.now-oldest)
		}
		b.ejectIfUnreachable(w.zone)
		if w.ejected() {
			ejected++
		}
	}
	b.failOpen = float64(ejected) > failOpenShare*float64(len(b.ready))
}
