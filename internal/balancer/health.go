package balancer

// What is believed of workers and of their zones: who fails, who is slow, who keeps silent.

import (
	"math"
	"time"
)

const (
	slowOver    = 2.0                    // a worker is slow if its answers take this multiple of their due
	slowPrior   = 1.5                    // ... where this many usual answers speak for it
	slowSpan    = 3 * time.Second        // ... and its own are forgotten with this time constant
	silentAfter = 10.0                   // a worker is silent after this many mean answer times
	darkAfter   = 5.0                    // a zone is, whose workers together owe answers for this many ...
	darkEach    = 2.0                    // ... of which one attempt counts for so many: any may be long
	trialMost   = 8 * time.Second        // longest time between two trials of a silent worker
	badOver     = 0.3                    // a worker that fails this much more of a class than the fleet is bad
	badLeast    = 0.01                   // ... which is taken to fail this part at the least
	badOther    = 0.5                    // a failure says this much of the other classes ...
	badRecent   = time.Second            // ... unless the worker has answered them in this time
	badBreak    = 0.2                    // a connection that breaks says this much: any peer may cut it
	badUnsafe   = 0.5                    // calls that may not be repeated go elsewhere at this part of the limit
	turnedMost  = 4                      // so many calls of a class turned away in a row shut a worker to it ...
	turnedRest  = 250 * time.Millisecond // ... for this long, and twice as long each time
	panicShare  = 0.5                    // when more of the fleet is suspect than this, suspicion is ignored
)

// slow is how long a worker's answers take against what they should, by the work of the calls: a home answers
// its own functions only, so that their usual times say nothing. Attempts still out count once overdue.
func (b *Balancer) slow(w *worker) float64 {
	took, usual := slowPrior*b.answer, slowPrior*b.answer
	took += w.took.add(b.now, 0, slowSpan)
	usual += w.usual.add(b.now, 0, slowSpan)
	for _, a := range w.out {
		if age := (b.now - a.at).Seconds(); age > a.usual {
			took, usual = took+age, usual+a.usual
		}
	}
	if b.answer == 0 { // nothing to compare with yet
		return 1
	}
	return took / usual
}

// judge takes the end of an attempt into the test of its worker: Page's cumulated sum of log likelihood
// ratios, of a worker that fails badOver more of the class than the fleet against one that fails as much.
func (b *Balancer) judge(w *worker, class string, bad float64) {
	usual, limit := math.Max(b.bad[class], badLeast), b.badLimit()
	high := math.Min(usual+badOver, 1-badLeast)
	for c := range b.classes {
		if c != class && bad > 0 && (w.good[c] == 0 || b.now-w.good[c] > badRecent) { // else it takes that one
			w.bad[c] = math.Min(w.bad[c], limit) + badOther*bad*math.Log(high/usual)
		}
	}
	if w.bad[class] <= limit { // the fleet's own rate is that of the others
		b.bad[class] += (bad - b.bad[class]) * smooth / 10
	}
	w.bad[class] = math.Max(0, math.Min(w.bad[class], limit)+bad*math.Log(high/usual)+
		(1-bad)*math.Log((1-high)/(1-usual)))
}

// badLimit is the sum above which a worker counts as bad: with more calls to judge by, chance alone brings
// more failures in a row, and one failure in few calls must do.
func (b *Balancer) badLimit() float64 { return 1.5 + math.Log(1+b.share) }

// shutFor keeps a class off a worker that turns it away, till the next trial of one request.
func (b *Balancer) shutFor(w *worker, class string) {
	w.shut[class] = b.now + min(turnedRest<<min(w.turned[class]-turnedMost, 5), trialMost/4)
}

// heard notes word from a worker. It tells of its zone as well: that one can be reached.
func (b *Balancer) heard(w *worker) {
	w.heard = b.now
	*w.zone = zone{heard: b.now}
}

func (b *Balancer) alive(w *worker) {
	b.heard(w)
	w.suspect, w.backoff = false, 0
}

// silent tells that a worker is out of turn: it is suspect, or all of its zone keep silent.
func (b *Balancer) silent(w *worker) bool { return w.suspect || w.zone.dark }

// broken notes that a connection to a worker broke, and tells whether that is news: one break ends all that
// was open there. A break alone says little, any peer may spoil an answer or cut a connection. A process that
// has died refuses the next one, and a worker is suspect that breaks again before it has answered.
func (b *Balancer) broken(w *worker) bool {
	if b.now-w.broke < sweepEvery && w.broke > 0 {
		return false
	}
	if w.broke > w.heard {
		b.suspect(w)
	}
	w.broke = b.now
	return true
}

// suspect takes a worker out of turn until it answers a trial.
func (b *Balancer) suspect(w *worker) {
	if !w.suspect {
		w.suspect = true
		w.backoff = sec(silentAfter * b.answer)
		w.trialAt = b.now + w.backoff
	}
}

// trial puts off the next trial of a suspect worker, twice as long each time.
func (b *Balancer) trial(w *worker) {
	w.backoff = min(2*w.backoff, trialMost)
	w.trialAt = b.now + w.backoff
	if z := w.zone; z.dark {
		z.backoff = min(2*z.backoff, trialMost)
		z.trialAt = b.now + z.backoff
	}
}

// lookAfter takes stock of the workers: mean load, silence, and whether most are suspect.
func (b *Balancer) lookAfter() {
	silent, suspects := sec(silentAfter*b.answer), 0
	b.mean = 0
	for _, z := range b.zones {
		z.owed = z.lost
	}
	for _, w := range b.list {
		z := w.zone
		b.mean += b.load(w) / float64(len(b.list))
		if len(w.out) > 0 && b.answer > 0 {
			if b.now-max(w.out[0].at, w.heard) > silent {
				b.suspect(w)
			}
			z.owed += b.owed(z, b.now-w.out[0].at)
		}
		// A zone is lost as a whole: few calls to many workers would find out each of them alone, and late.
		if !z.dark && b.answer > 0 && z.owed > sec(darkAfter*b.answer) {
			z.dark, z.backoff = true, silent
			z.trialAt = b.now + silent
		}
		if b.silent(w) {
			suspects++
		}
	}
	b.panicky = float64(suspects) > panicShare*float64(len(b.list))
}

// owed is how far an attempt without word for so long tells that its zone is dark.
func (b *Balancer) owed(z *zone, wait time.Duration) time.Duration {
	return max(0, min(wait, b.now-z.heard, sec(darkEach*b.answer)))
}
