package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	hotSetInterval = 250 * time.Millisecond // time between two updates of the hot set
	sweepInterval  = 10 * time.Millisecond  // time between two checks of waiting requests and silent workers
	pollRetryDelay = time.Second            // time from a failed poll of the endpoint list to the next one
)

// sweep does the periodic work: it updates the hot set and leases, checks silent workers, starts hedged
// attempts, and places or ends waiting requests.
func (b *Balancer) sweep() {
	if b.now-b.hotSet.updatedAt >= hotSetInterval {
		b.updateHotSet()
	}
	b.checkLeases()
	b.assumeRestarts()
	b.renewLeases()
	b.checkWorkers()
	var waiting []*request
	for _, r := range slices.Clone(b.unanswered) {
		switch {
		case r.pendingCount > 0:
			b.hedge(r)
		case b.tooLate(r):
			b.finish(r)
		case b.now+sweepInterval > r.halfTime() && !r.reachedWorker():
			b.sendOrFinishAtHalfTime(r)
		case r.waitingFor == nil:
			waiting = append(waiting, r)
		case b.loadWaitOver(r):
			r.abandonLoadWait()
			waiting = append(waiting, r)
		}
	}
	b.placeWaiting(waiting)
	b.preloadHotSet()
}

// placeWaiting places waiting requests in descending order of their value. Requests that would miss their
// latency objective are ended, which leaves capacity for others.
func (b *Balancer) placeWaiting(waiting []*request) {
	b.backlogged = false
	slices.Reverse(waiting) // newest first: under overload, some are served in time rather than all late
	slices.SortStableFunc(waiting, func(q, r *request) int {
		return cmp.Compare(b.valuePerSecond(r), b.valuePerSecond(q))
	})
	for _, r := range waiting {
		if b.now+seconds(r.function.meanAnswer) > r.objective && len(b.ready) > 0 {
			b.finish(r)
			continue
		}
		b.place(r)
		stillWaiting := !r.closed && r.pendingCount == 0 && r.waitingFor == nil
		b.backlogged = b.backlogged || stillWaiting
	}
}

// pollEndpoints subscribes to the endpoint list if there is no subscription: at the first event, and
// pollRetryDelay after a failure.
func (b *Balancer) pollEndpoints() {
	if !b.settings.PollEndpoints || b.polling.active {
		return
	}
	if b.timer.id == 0 || b.now-b.polling.changedAt > pollRetryDelay { // the first event, or a retry
		b.polling = polling{active: true, changedAt: b.now}
		b.emit(Watch{On: true})
	}
}
