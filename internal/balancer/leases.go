package balancer

import (
	"slices"
	"time"
)

// LeaseChoiceMargin is the minimum time until a worker's lease expires for the worker to be chosen. The
// margin is needed because the lease is checked again when the choice is carried out.
const LeaseChoiceMargin = 50 * time.Millisecond

// leases is the state of the leases of all workers that the endpoint list names as ready. Leases are used
// only with Settings.EndpointLeases. A worker without a valid lease is excluded like a draining one: from
// the hot set, from placement and from load orders.
type leases struct {
	syncedAt    time.Duration // when the poll of the last sync was sent
	nextCheckAt time.Duration // no lease expires or resumes before this time without an event
	expired     int           // workers that the list names as ready and whose lease has expired

	contested []*worker // workers with a contested lease, and some that are no longer contested
}

// leaseLeft returns the time from now during which a worker may be chosen; negative if it may not be chosen.
func (b *Balancer) leaseLeft(w *worker) time.Duration {
	if !b.settings.EndpointLeases {
		return 0
	}
	return w.lease.Left(b.settings.leaseTerms, b.leases.syncedAt, b.now) - LeaseChoiceMargin
}

// outOfSync reports whether the last sync is at least StaleSync old, so that leases may expire for lack
// of syncs.
func (b *Balancer) outOfSync() bool {
	return b.settings.EndpointLeases && b.now-b.leases.syncedAt >= StaleSync
}

// available reports whether a worker may be chosen: the list names it as ready, and its lease is valid. The
// workers that were available at the last update are the ready workers, b.ready.
func (b *Balancer) available(w *worker) bool { return w.State == Ready && b.leaseLeft(w) >= 0 }

// onEndpointsSynced handles a sync: all changes that discovery knew of at e.AsOf have been received. A
// sync renews leases.
func (b *Balancer) onEndpointsSynced(e EndpointsSyncedEvent) {
	b.leases.syncedAt = max(b.leases.syncedAt, e.AsOf)
	b.clearAssumedRestarts(e.AsOf)
	if b.leases.expired > 0 {
		b.applyLeases()
	}
}

// updateLease updates the lease of a worker by the outcome of an attempt: an accepted call renews the
// lease, and a rejected one may contest it.
func (b *Balancer) updateLease(w *worker, e OutcomeEvent) {
	if !b.settings.EndpointLeases || e.WrittenAt == 0 {
		return
	}
	switch e.Status {
	case OK, Miss, Failed:
		w.lease.RecordAccepted(e.WrittenAt, e.ConnectedSince, b.leases.syncedAt)
	case Rejected:
		b.contestLease(w, e.WrittenAt)
	default:
		return
	}
	b.onLeaseChanged(w)
}

// onLeaseChanged updates the ready workers, or the time of the next lease check, after a worker's lease
// has changed.
func (b *Balancer) onLeaseChanged(w *worker) {
	if b.available(w) != w.inReady {
		b.applyLeases()
	} else { // the lease may expire or become valid again sooner than before
		b.leases.nextCheckAt = min(b.leases.nextCheckAt, b.nextLeaseChange([]*worker{w}))
	}
}

// contestLease stops syncs from renewing the lease of a worker that has rejected a call. It does nothing
// if this would make the contested leases more than failOpenShare of all: where so many workers reject,
// they are full rather than draining, and enough other workers must remain for the calls.
func (b *Balancer) contestLease(w *worker, writtenAt time.Duration) {
	b.leases.contested = slices.DeleteFunc(b.leases.contested, func(other *worker) bool {
		return other == w || other.State != Ready || !other.lease.Contested(b.leases.syncedAt)
	})
	limit := failOpenShare * float64(len(b.ready)+b.leases.expired)
	if float64(len(b.leases.contested)+1) > limit {
		return
	}
	w.lease.RecordRejected(writtenAt)
	b.leases.contested = append(b.leases.contested, w)
}

// checkLeases updates the ready workers once leases may have expired or become valid again.
func (b *Balancer) checkLeases() {
	if b.settings.EndpointLeases && b.now >= b.leases.nextCheckAt {
		b.applyLeases()
	}
}

// applyLeases updates the ready workers by the current state of all leases, and reports the changes to the
// operators.
func (b *Balancer) applyLeases() {
	var ready, changed []*worker
	change := LeasesChanged{SyncAge: b.now - b.leases.syncedAt}
	for _, w := range b.workers {
		if w.State != Ready {
			continue
		}
		ready = append(ready, w)
		if live := b.available(w); live != w.inReady {
			changed = append(changed, w)
			change.record(w, live, b.leases.syncedAt)
		}
	}
	slices.SortFunc(changed, compareIDs)
	b.updateReady(changed)
	b.leases.expired = len(ready) - len(b.ready)
	b.leases.nextCheckAt = b.nextLeaseChange(ready)
	if len(changed) > 0 {
		slices.Sort(change.Workers)
		change.Live = len(b.ready)
		b.emit(change)
	}
}

// countExpiredWarmWorkers adds the warm workers that the list names as ready and whose lease has expired to
// the totals of the warm workers. They still serve calls of dispatchers that have a valid lease for them.
func (b *Balancer) countExpiredWarmWorkers() {
	if b.leases.expired == 0 {
		return
	}
	for _, w := range b.workers {
		if w.State == Ready && !w.inReady {
			b.countWarmWorker(w)
		}
	}
}

// nextLeaseChange returns when the first of the workers' leases expires or becomes valid again without
// further events, but at most LeaseTerms.AfterSync from now.
func (b *Balancer) nextLeaseChange(workers []*worker) time.Duration {
	next := b.now + b.settings.leaseTerms.AfterSync
	for _, w := range workers {
		if w.inReady {
			next = min(next, b.now+b.leaseLeft(w)+1)
		} else if at := w.lease.ResumesAt(b.settings.leaseTerms, b.now); at > 0 {
			next = min(next, at)
		}
	}
	return next
}

// record adds a worker whose lease has expired or become valid again.
func (c *LeasesChanged) record(w *worker, live bool, syncedAt time.Duration) {
	switch {
	case live:
		c.Renewed++
	case w.lease.Contested(syncedAt):
		c.Contested++
	default:
		c.Ended++
	}
	c.Workers = append(c.Workers, w.ID)
}
