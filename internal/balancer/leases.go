package balancer

import (
	"slices"
	"time"
)

// LeaseChoiceMargin is how much of a worker's lease must be left when it is chosen: it is checked again
// when the choice is carried out.
const LeaseChoiceMargin = 50 * time.Millisecond

// leases is when the leases of the ready workers end, where the settings have them end. A worker without a
// lease is out of all decisions, like one that drains: of the hot set, of placement and of load orders.
type leases struct {
	syncedAt time.Duration // when the poll of the last sync was sent
	checkAt  time.Duration // no lease of a listed worker ends before
	lapsed   int           // workers that the list calls ready, without a lease

	contested []*worker // those with a contested lease, and some whose contest is over
}

// leaseLeft is how long a worker may still be chosen; negative: it may not.
func (b *Balancer) leaseLeft(w *worker) time.Duration {
	if !b.settings.EndpointLeases {
		return 0
	}
	return w.lease.Left(b.settings.leaseTerms, b.leases.syncedAt, b.now) - LeaseChoiceMargin
}

// outOfSync reports whether discovery has been silent for so long that leases may end by it.
func (b *Balancer) outOfSync() bool {
	return b.settings.EndpointLeases && b.now-b.leases.syncedAt >= StaleSync
}

// available reports whether a worker takes part in decisions: the list calls it ready, and that is not too
// old to be relied on.
func (b *Balancer) available(w *worker) bool { return w.State == Ready && b.leaseLeft(w) >= 0 }

// onEndpointsSynced notes that everything was told that discovery knew at a time, which renews leases.
func (b *Balancer) onEndpointsSynced(e EndpointsSyncedEvent) {
	b.leases.syncedAt = max(b.leases.syncedAt, e.AsOf)
	b.forgetRestarts(e.AsOf)
	if b.leases.lapsed > 0 {
		b.reviewLeases()
	}
}

// recordLease learns from the end of an attempt whether its worker drains.
func (b *Balancer) recordLease(w *worker, e OutcomeEvent) {
	if !b.settings.EndpointLeases || e.WrittenAt == 0 {
		return
	}
	switch e.Status {
	case OK, Miss, Failed:
		w.lease.Accepted(e.WrittenAt, e.ConnectedSince, b.leases.syncedAt)
	case Rejected:
		b.contest(w, e.WrittenAt)
	default:
		return
	}
	b.leaseChanged(w)
}

// leaseChanged brings decisions up to date with a worker whose lease has changed.
func (b *Balancer) leaseChanged(w *worker) {
	if b.available(w) != w.listed {
		b.reviewLeases()
	} else { // it may end or resume sooner now
		b.leases.checkAt = min(b.leases.checkAt, b.nextLeaseChange([]*worker{w}))
	}
}

// contest has syncs say nothing of a worker that has rejected a call, unless so many reject that they are
// full rather than draining: there have to be others that can take its calls.
func (b *Balancer) contest(w *worker, writtenAt time.Duration) {
	b.leases.contested = slices.DeleteFunc(b.leases.contested, func(other *worker) bool {
		return other == w || other.State != Ready || !other.lease.Contested(b.leases.syncedAt)
	})
	limit := failOpenShare * float64(len(b.ready)+b.leases.lapsed)
	if float64(len(b.leases.contested)+1) > limit {
		return
	}
	w.lease.Rejected(writtenAt)
	b.leases.contested = append(b.leases.contested, w)
}

// checkLeases takes workers out of all decisions whose leases have ended.
func (b *Balancer) checkLeases() {
	if b.settings.EndpointLeases && b.now >= b.leases.checkAt {
		b.reviewLeases()
	}
}

// reviewLeases brings the ready workers up to date with all leases, and tells what has changed.
func (b *Balancer) reviewLeases() {
	var ready, changed []*worker
	change := LeasesChanged{SyncAge: b.now - b.leases.syncedAt}
	for _, w := range b.workers {
		if w.State != Ready {
			continue
		}
		ready = append(ready, w)
		if live := b.available(w); live != w.listed {
			changed = append(changed, w)
			change.note(w, live, b.leases.syncedAt)
		}
	}
	slices.SortFunc(changed, compareIDs)
	b.updateReady(changed)
	b.leases.lapsed = len(ready) - len(b.ready)
	b.leases.checkAt = b.nextLeaseChange(ready)
	if len(changed) > 0 {
		slices.Sort(change.Workers)
		change.Live = len(b.ready)
		b.emit(change)
	}
}

// lapsedWarmWeight returns the weight of the warm workers that the list calls ready and that have no lease:
// they have served a part of the calls counted, and serve those of dispatchers that have one.
func (b *Balancer) lapsedWarmWeight() float64 {
	if b.leases.lapsed == 0 {
		return 0
	}
	weight := 0.0
	for _, w := range b.workers {
		if w.State == Ready && !w.listed && b.warmth(w) >= 1 {
			weight += w.fullWeight
		}
	}
	return weight
}

// nextLeaseChange returns when the first of the workers' leases ends or is live again by itself.
func (b *Balancer) nextLeaseChange(workers []*worker) time.Duration {
	next := b.now + b.settings.leaseTerms.Synced
	for _, w := range workers {
		if w.listed {
			next = min(next, b.now+b.leaseLeft(w)+1)
		} else if at := w.lease.ResumesAt(b.settings.leaseTerms, b.now); at > 0 {
			next = min(next, at)
		}
	}
	return next
}

// note counts a worker whose lease has ended or is live again.
func (c *LeasesChanged) note(w *worker, live bool, syncedAt time.Duration) {
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
