package balancer

import (
	"math"
	"time"
)

const (
	latencyOutlierRatio = 2.0                    // a worker is slow from this multiple of the expected time
	maxProbeBackoff     = 8 * time.Second        // longest time between two probes of an ejected worker
	failureExcess       = 0.3                    // an outlier fails this much more of a class than the fleet ...
	minFailureRate      = 0.01                   // ... which is taken to fail this part at the least
	failureLimitBase    = 1.5                    // failure score of an outlier where there are no calls yet
	fleetFailureWeight  = smoothing / 10         // weight of a new sample in the fleet's failure rate
	otherClassShare     = 0.5                    // a failure says this much of the other classes ...
	recentAnswer        = time.Second            // ... unless the worker has answered them in this time
	resetSeverity       = 0.2                    // a reset is this part of a failure: any peer may cause it
	notIdempotentLimit  = 0.5                    // the limit of not idempotent requests is this part of it
	maxRejectedInARow   = 4                      // so many rejections in a row eject a class from a worker ...
	minClassEjection    = 250 * time.Millisecond // ... for this long, and twice as long each time
	maxClassDoublings   = 5                      // ... so many times
	failOpenShare       = 0.5                    // ejections are ignored when more of the fleet is unavailable
)

// failureSeverity is how far the end of an attempt counts as a failure of its worker.
var failureSeverity = map[Status]float64{Failed: 1, TimedOut: 1, Reset: resetSeverity}

// healthy leaves out workers that fail or reject too much of the class, or are unavailable.
func (b *Balancer) healthy(r *request, w *worker) bool {
	class := w.healthOf(r.class.Name)
	limit := b.failureScoreLimit()
	if r.class.Idempotency == NotIdempotent {
		limit *= notIdempotentLimit
	}
	if r.excluded[w.ID] || b.now < class.ejectedUntil || class.failureScore > limit {
		return false
	}
	return !w.unavailable() || b.failOpen || b.mayProbe(r, w)
}

// mayProbe reports whether a request may probe an unavailable worker: one idempotent request at a time that
// has an attempt left after it.
func (b *Balancer) mayProbe(r *request, w *worker) bool {
	due := b.now >= max(w.ejection.probeAt, w.zone.ejection.probeAt)
	repeatable := r.class.Idempotency == Idempotent && len(r.attempts)+1 < b.settings.MaxAttempts
	return due && repeatable && len(w.outstanding) == 0
}

// postponeProbe puts off the next probe of a worker, and of its zone if that is unreachable.
func (b *Balancer) postponeProbe(w *worker) {
	w.ejection.postponeProbe(b.now, maxProbeBackoff)
	if w.zone.ejection.active {
		w.zone.ejection.postponeProbe(b.now, maxProbeBackoff)
	}
}

// recordFailure judges a worker by the end of an attempt. An error of a function that nobody has answered for
// says nothing yet: it is the worker's own if another one answers.
func (b *Balancer) recordFailure(a *attempt, status Status) {
	f := a.request.function
	if status == Failed && !f.countError(b.now) {
		f.erroredWorkers = append(lastN(f.erroredWorkers, maxUnknownErrors-1), a.worker)
		return
	}
	if status != Reset || b.onReset(a.worker) {
		b.recordResult(a.worker, a.request.class.Name, failureSeverity[status])
	}
}

// recordResult adds a result to a worker's failure scores, of other classes in part, and to the fleet's.
func (b *Balancer) recordResult(w *worker, className string, severity float64) {
	rate := b.stats.failureRate[className]
	test := newFailureTest(math.Max(rate, minFailureRate), failureExcess, 1-minFailureRate)
	limit := b.failureScoreLimit()
	for name := range b.classes {
		other := w.class(name)
		answers := other.lastOK > 0 && b.now-other.lastOK <= recentAnswer
		if name != className && severity > 0 && !answers {
			other.addFailure(test, limit, otherClassShare*severity)
		}
	}
	class := w.class(className)
	if class.failureScore <= limit { // the fleet's own rate is that of the others
		updateMean(&rate, severity, fleetFailureWeight)
		b.stats.failureRate[className] = rate
	}
	class.addResult(test, limit, severity)
}

// failureScoreLimit is the score of a failure outlier: with more calls, chance brings more failures in a row;
// of few calls, one failure must do.
func (b *Balancer) failureScoreLimit() float64 {
	return failureLimitBase + math.Log(1+b.hotSet.callsPerWorker)
}

// ejectClass keeps a class off a worker that rejects it, until the next probe of one request.
func (b *Balancer) ejectClass(class *classHealth) {
	doublings := min(class.rejectedInARow-maxRejectedInARow, maxClassDoublings)
	class.ejectedUntil = b.now + min(minClassEjection<<doublings, maxProbeBackoff/4)
}

// onReset notes that a connection broke, and reports whether that is news: one break ends all attempts there.
// One says little, any peer may cause it; a worker is ejected that breaks again before it has answered.
func (b *Balancer) onReset(w *worker) bool {
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

// ejectIfSilent ejects a worker that gave no sign of life during an attempt, unless its client soon left.
func (b *Balancer) ejectIfSilent(w *worker, e OutcomeEvent) {
	limitKnown := b.stats.meanAnswer > 0 || e.Status == TimedOut
	if limitKnown && e.Elapsed >= b.silenceLimit() && b.now-w.lastContact > e.Elapsed {
		b.eject(w)
	}
}

// checkWorkers updates the mean load, ejects silent workers and zones, and fails open when most are.
func (b *Balancer) checkWorkers() {
	unavailable := 0
	b.meanLoad = 0
	for _, z := range b.zones {
		z.outstandingTime = z.lostTime
		b.checkZone(z)
	}
	for _, w := range b.ready {
		if len(w.outstanding) == 0 && !w.unavailable() { // nearly all, in a large fleet: it has no load
			continue
		}
		b.meanLoad += b.load(w) / float64(len(b.ready))
		if len(w.outstanding) > 0 && b.stats.meanAnswer > 0 {
			oldest := w.outstanding[0].sentAt
			if b.now-max(oldest, w.lastContact) > b.silenceLimit() {
				b.eject(w)
			}
			w.zone.outstandingTime += b.unansweredTime(w.zone, b.now-oldest)
		}
		b.checkZone(w.zone)
		if w.unavailable() {
			unavailable++
		}
	}
	b.failOpen = float64(unavailable) > failOpenShare*float64(len(b.ready))
}
