package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	hotSetInterval = 250 * time.Millisecond // how often the hot set is updated
	sweepInterval  = 10 * time.Millisecond  // how often waiting requests and silent workers are looked at
	pollRetryDelay = time.Second            // a failed poll of the endpoint list is repeated after this
)

// sweep looks after silent workers, the hot set, waiting requests and hedged requests.
func (b *Balancer) sweep() {
	if b.now-b.hotSet.updatedAt >= hotSetInterval {
		b.updateHotSet()
	}
	b.checkLeases()
	b.assumeRestarts()
	b.keepLeases()
	b.checkWorkers()
	var waiting []*request
	for _, r := range slices.Clone(b.unanswered) {
		switch {
		case r.outstanding > 0:
			b.hedge(r)
		case b.tooLate(r):
			b.finish(r)
		case b.now+sweepInterval > r.halfTime() && !r.reachedWorker():
			b.decideAtHalfTime(r)
		case r.waitingFor == nil:
			waiting = append(waiting, r)
		case b.loadWaitOver(r):
			r.giveUpLoad()
			waiting = append(waiting, r)
		}
	}
	b.placeWaiting(waiting)
	b.preloadHotSet()
}

// placeWaiting places requests by value. Those that would miss their objective make room for others.
func (b *Balancer) placeWaiting(waiting []*request) {
	b.backlogged = false
	slices.Reverse(waiting) // newest first: under overload some are then served well, rather than all late
	slices.SortStableFunc(waiting, func(q, r *request) int { return cmp.Compare(b.value(r), b.value(q)) })
	for _, r := range waiting {
		if b.now+seconds(r.function.meanAnswer) > r.objective && len(b.ready) > 0 {
			b.finish(r)
			continue
		}
		b.place(r)
		held := !r.closed && r.outstanding == 0 && r.waitingFor == nil
		b.backlogged = b.backlogged || held
	}
}

// pollEndpoints subscribes to the endpoint list where that is needed, at once and again after a failure.
func (b *Balancer) pollEndpoints() {
	if !b.settings.PollEndpoints || b.polling.active {
		return
	}
	if b.timer.id == 0 || b.now-b.polling.changedAt > pollRetryDelay { // the first event, or a retry
		b.polling = polling{active: true, changedAt: b.now}
		b.emit(Watch{On: true})
	}
}
