package balancer

import "time"

// StaleSync is the age of the last sync from which on discovery counts as silent: the endpoint list is not
// relied on to tell of a restart, and operators are told. Two polls in a row have failed by then, or were
// answered by a server that is behind.
const StaleSync = 3 * time.Second

// restarts is the workers whose processes seem to have ended since the last sync. While discovery is silent
// nobody tells that they have started again, and that they are cold; it counts as told all the same.
type restarts struct {
	gone []*worker // those with a goneAt
}

// onPeerGone notes that nothing listens at a worker's address, or that its last connection was closed there.
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

// assumeRestarts takes workers that were gone since the last sync for cold, as if they started now.
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

// noteFirstContact moves the assumed start of a worker to when it was first reached again: it may have
// started at any time before.
func (b *Balancer) noteFirstContact(a *attempt) {
	w := a.worker
	if w.assumedCold && w.slowStart.startedAt <= w.goneAt && a.sentAt > w.goneAt {
		w.slowStart.startedAt = a.sentAt
	}
}

// forgetRestarts ends what was assumed of workers, since the list tells of restarts again. From now on they
// are as warm as by the last start that it has told.
func (b *Balancer) forgetRestarts(syncedAt time.Duration) {
	var later []*worker
	for _, w := range b.restarts.gone {
		if w.goneAt >= syncedAt {
			later = append(later, w)
			continue
		}
		if w.assumedCold {
			w.slowStart.startedAt = w.Started
			w.slowStart.active = w.Started > 0
		}
		w.goneAt = 0
		w.assumedCold = false
	}
	b.restarts.gone = later
}
