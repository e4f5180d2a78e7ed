package balancer

import "time"

// StaleSync is the age of the last sync from which discovery counts as out of sync: the endpoint list is no
// longer expected to report restarts, and the operators' log and metrics show the outage. At this age, two
// polls in a row have failed or were answered by a server that lags behind.
const StaleSync = 3 * time.Second

// restarts holds the workers whose processes seem to have ended since the last sync. While discovery is out
// of sync, there is no report that one of these workers has restarted and is cold, yet the dispatcher counts
// as notified of a restart. So the balancer assumes the restart.
type restarts struct {
	gone []*worker // workers whose goneAt is set
}

// onPeerGone handles the event that nothing listens at a worker's address, or that the worker has closed
// its last connection.
func (b *Balancer) onPeerGone(e PeerGoneEvent) {
	w := b.workers[e.Worker]
	if w == nil || !b.settings.EndpointLeases {
		return
	}
	if w.goneAt == 0 {
		b.restarts.gone = append(b.restarts.gone, w)
	}
	w.goneAt = b.now
	w.assumedCold = false
	b.assumeRestarts()
}

// assumeRestarts treats workers whose processes seem to have ended since the last sync as restarted now,
// and thus as cold. It does nothing while discovery is in sync, since the list then reports restarts.
func (b *Balancer) assumeRestarts() {
	if !b.outOfSync() {
		return
	}
	for _, w := range b.restarts.gone {
		if !w.assumedCold {
			w.assumedCold = true
			w.slowStart = slowStart{startedAt: b.now, active: true}
			b.unloadAll(w)
		}
	}
}

// recordFirstContact moves the assumed start of a worker to the time of the first attempt that reached the
// worker again. The worker may have started at any time before this attempt, and the latest possible start
// makes it count as coldest.
func (b *Balancer) recordFirstContact(a *attempt) {
	w := a.worker
	if w.assumedCold && w.slowStart.startedAt <= w.goneAt && a.sentAt > w.goneAt {
		w.slowStart.startedAt = a.sentAt
	}
}

// clearAssumedRestarts drops the assumed restarts of workers that were gone before a sync, since the list
// reports restarts again. From now on their warmth follows from the last start that the list has
// reported.
func (b *Balancer) clearAssumedRestarts(syncedAt time.Duration) {
	var goneLater []*worker
	for _, w := range b.restarts.gone {
		if w.goneAt >= syncedAt {
			goneLater = append(goneLater, w)
			continue
		}
		if w.assumedCold {
			w.slowStart.startedAt = w.Started
			w.slowStart.active = w.Started > 0
		}
		w.goneAt = 0
		w.assumedCold = false
	}
	b.restarts.gone = goneLater
}
