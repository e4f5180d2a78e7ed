package balancer

// What is believed of workers and of their zones: who fails, who is slow, who keeps silent.

import (
	"math"
	"time"
)

const (
	latencyOutlierRatio   = 2.0                    // a worker is slow if its answers take this multiple of their due
	latencyPrior          = 1.5                    // ... where this many usual answers speak for it
	latencyDecay          = 3 * time.Second        // ... and its own are forgotten with this time constant
	silenceFactor         = 10.0                   // a worker is silent after this many mean answer times
	zoneUnreachableFactor = 5.0                    // a zone is, whose workers together owe answers for this many ...
	maxZoneAttemptFactor  = 2.0                    // ... of which one attempt counts for so many: any may be long
	maxProbeBackoff       = 8 * time.Second        // longest time between two trials of a silent worker
	failureExcess         = 0.3                    // a worker that fails this much more of a class than the fleet is bad
	minFailureRate        = 0.01                   // ... which is taken to fail this part at the least
	otherClassShare       = 0.5                    // a failure says this much of the other classes ...
	recentAnswer          = time.Second            // ... unless the worker has answered them in this time
	resetSeverity         = 0.2                    // a connection that breaks says this much: any peer may cut it
	notIdempotentLimit    = 0.5                    // calls that may not be repeated go elsewhere at this part of the limit
	maxRejectedInARow     = 4                      // so many calls of a class turned away in a row shut a worker to it ...
	minClassEjection      = 250 * time.Millisecond // ... for this long, and twice as long each time
	failOpenShare         = 0.5                    // when more of the fleet is suspect than this, suspicion is ignored
)

// slow is how long a worker's answers take against what they should, by the work of the calls: a home answers
// its own functions only, so that their usual times say nothing. Attempts still out count once overdue.
func (b *Balancer) latencyRatio(w *worker) float64 {
	took, usual := latencyPrior*b.meanAnswer, latencyPrior*b.meanAnswer
	took += w.answerTime.add(b.now, 0, latencyDecay)
	usual += w.expectedTime.add(b.now, 0, latencyDecay)
	for _, a := range w.outstanding {
		if age := (b.now - a.sentAt).Seconds(); age > a.expected {
			took, usual = took+age, usual+a.expected
		}
	}
	if b.meanAnswer == 0 { // nothing to compare with yet
		return 1
	}
	return took / usual
}

// judge takes the end of an attempt into the test of its worker: Page's cumulated sum of log likelihood
// ratios, of a worker that fails badOver more of the class than the fleet against one that fails as much.
func (b *Balancer) recordResult(w *worker, class string, bad float64) {
	usual, limit := math.Max(b.failureRate[class], minFailureRate), b.failureScoreLimit()
	high := math.Min(usual+failureExcess, 1-minFailureRate)
	for c := range b.classes {
		if c != class && bad > 0 && (w.lastOK[c] == 0 || b.now-w.lastOK[c] > recentAnswer) { // else it takes that one
			w.failureScore[c] = math.Min(w.failureScore[c], limit) + otherClassShare*bad*math.Log(high/usual)
		}
	}
	if w.failureScore[class] <= limit { // the fleet's own rate is that of the others
		b.failureRate[class] += (bad - b.failureRate[class]) * smoothing / 10
	}
	w.failureScore[class] = math.Max(0, math.Min(w.failureScore[class], limit)+bad*math.Log(high/usual)+
		(1-bad)*math.Log((1-high)/(1-usual)))
}

// badLimit is the sum above which a worker counts as bad: with more calls to judge by, chance alone brings
// more failures in a row, and one failure in few calls must do.
func (b *Balancer) failureScoreLimit() float64 { return 1.5 + math.Log(1+b.callsPerWorker) }

// shutFor keeps a class off a worker that turns it away, till the next trial of one request.
func (b *Balancer) ejectClass(w *worker, class string) {
	w.ejectedUntil[class] = b.now + min(minClassEjection<<min(w.rejectedInARow[class]-maxRejectedInARow, 5), maxProbeBackoff/4)
}

// heard notes word from a worker. It tells of its zone as well: that one can be reached.
func (b *Balancer) markReachable(w *worker) {
	w.lastHeard = b.now
	*w.zone = zone{lastHeard: b.now}
}

func (b *Balancer) markHealthy(w *worker) {
	b.markReachable(w)
	w.ejected, w.probeBackoff = false, 0
}

// silent tells that a worker is out of turn: it is suspect, or all of its zone keep silent.
func (b *Balancer) unavailable(w *worker) bool { return w.ejected || w.zone.unreachable }

// broken notes that a connection to a worker broke, and tells whether that is news: one break ends all that
// was open there. A break alone says little, any peer may spoil an answer or cut a connection. A process that
// has died refuses the next one, and a worker is suspect that breaks again before it has answered.
func (b *Balancer) onReset(w *worker) bool {
	if b.now-w.lastReset < sweepInterval && w.lastReset > 0 {
		return false
	}
	if w.lastReset > w.lastHeard {
		b.eject(w)
	}
	w.lastReset = b.now
	return true
}

// suspect takes a worker out of turn until it answers a trial.
func (b *Balancer) eject(w *worker) {
	if !w.ejected {
		w.ejected = true
		w.probeBackoff = seconds(silenceFactor * b.meanAnswer)
		w.probeAt = b.now + w.probeBackoff
	}
}

// trial puts off the next trial of a suspect worker, twice as long each time.
func (b *Balancer) postponeProbe(w *worker) {
	w.probeBackoff = min(2*w.probeBackoff, maxProbeBackoff)
	w.probeAt = b.now + w.probeBackoff
	if z := w.zone; z.unreachable {
		z.probeBackoff = min(2*z.probeBackoff, maxProbeBackoff)
		z.probeAt = b.now + z.probeBackoff
	}
}

// lookAfter takes stock of the workers: mean load, silence, and whether most are suspect.
func (b *Balancer) checkWorkers() {
	silent, suspects := seconds(silenceFactor*b.meanAnswer), 0
	b.meanLoad = 0
	for _, z := range b.zones {
		z.outstandingTime = z.lostTime
	}
	for _, w := range b.ready {
		z := w.zone
		b.meanLoad += b.load(w) / float64(len(b.ready))
		if len(w.outstanding) > 0 && b.meanAnswer > 0 {
			if b.now-max(w.outstanding[0].sentAt, w.lastHeard) > silent {
				b.eject(w)
			}
			z.outstandingTime += b.unansweredTime(z, b.now-w.outstanding[0].sentAt)
		}
		// A zone is lost as a whole: few calls to many workers would find out each of them alone, and late.
		if !z.unreachable && b.meanAnswer > 0 && z.outstandingTime > seconds(zoneUnreachableFactor*b.meanAnswer) {
			z.unreachable, z.probeBackoff = true, silent
			z.probeAt = b.now + silent
		}
		if b.unavailable(w) {
			suspects++
		}
	}
	b.failOpen = float64(suspects) > failOpenShare*float64(len(b.ready))
}

// owed is how far an attempt without word for so long tells that its zone is dark.
func (b *Balancer) unansweredTime(z *zone, wait time.Duration) time.Duration {
	return max(0, min(wait, b.now-z.lastHeard, seconds(maxZoneAttemptFactor*b.meanAnswer)))
}
