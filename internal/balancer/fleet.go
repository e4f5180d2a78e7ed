package balancer

import (
	"cmp"
	"slices"
)

// worker returns the record of a worker, and creates it if there is none.
func (b *Balancer) worker(id WorkerID) *worker {
	w := b.workers[id]
	if w == nil {
		w = newWorker(id, b.initialWindow())
		b.workers[id] = w
	}
	return w
}

// unloadAll records that a worker has no copies of functions loaded.
func (b *Balancer) unloadAll(w *worker) {
	for _, f := range b.functions {
		if p := f.placements[w.ID]; p != nil {
			p.setUnloaded()
		}
	}
}

// updateReady updates b.ready, which is sorted by ID, for workers whose state, lease or weight may have
// changed.
func (b *Balancer) updateReady(workers []*worker) {
	for _, w := range workers {
		ready := b.available(w)
		if ready == w.inReady && (!ready || w.fullWeight == w.rankedWeight) {
			continue
		}
		if ready != w.inReady {
			b.setInReady(w, ready)
		}
		w.rankedWeight = w.fullWeight
		b.changes.add(w)
	}
}

// setInReady adds a worker to b.ready or removes it from there.
func (b *Balancer) setInReady(w *worker, ready bool) {
	w.inReady = ready
	index, _ := slices.BinarySearchFunc(b.ready, w, compareIDs)
	if ready {
		b.ready = slices.Insert(b.ready, index, w)
	} else {
		b.ready = slices.Delete(b.ready, index, index+1)
	}
}

func compareIDs(v, w *worker) int { return cmp.Compare(v.ID, w.ID) }

// zone returns the record of a zone, and creates it if there is none.
func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// forget deletes the records of a removed worker, unless a load order to the worker is still pending.
func (b *Balancer) forget(id WorkerID) {
	for _, f := range b.functions {
		if p := f.placements[id]; p != nil && p.orderPending {
			return
		}
	}
	for _, f := range b.functions {
		delete(f.placements, id)
	}
	b.restarts.gone = remove(b.restarts.gone, b.workers[id])
	delete(b.workers, id)
}

// markReachable records that a worker was reached, and thus its zone. This ends an ejection of the zone.
func (b *Balancer) markReachable(w *worker) {
	w.lastContact = b.now
	*w.zone = zone{lastContact: b.now}
}

// markHealthy records that a worker answers correctly, which ends its ejection.
func (b *Balancer) markHealthy(w *worker) {
	b.markReachable(w)
	w.ejection.end()
}

// forgetRemoved deletes workers that were removed so long ago that their records are not needed if they
// return: by then they are warm, or report a new start.
func (b *Balancer) forgetRemoved() {
	memory := b.settings.SlowStartDuration + b.settings.OverloadWindow
	for id, w := range b.workers {
		if w.State == Removed && len(w.pendingAttempts) == 0 && b.now-w.removedAt > memory {
			b.forget(id)
		}
	}
}

// onEndpoints handles an update of the endpoint list.
func (b *Balancer) onEndpoints(e EndpointsEvent) {
	if e.Scope == ScopeFailed {
		b.polling = polling{active: false, changedAt: b.now}
		return
	}
	var changed []*worker
	if e.Scope != ScopeDelta {
		b.leases.syncedAt = max(b.leases.syncedAt, e.AsOf)
		for _, w := range b.workers {
			w.setState(Removed, b.now)
			changed = append(changed, w)
		}
		slices.SortFunc(changed, compareIDs)
	}
	for _, entry := range e.Workers {
		w := b.updateWorker(entry)
		switch {
		case w.State != Ready:
		case e.Scope == ScopeStale:
			w.lease.RecordStaleListing(e.AsOf)
		default:
			w.lease.RecordListed(e.AsOf)
		}
		changed = append(changed, w)
	}
	b.updateReady(changed)
}

// updateWorker updates the record of a worker by its entry in the endpoint list, and returns the record.
// If the entry reports a new start, the worker is in slow start and has no copies loaded.
func (b *Balancer) updateWorker(entry Worker) *worker {
	w := b.worker(entry.ID)
	if entry.Weight <= 0 {
		entry.Weight = 1
	}
	w.fullWeight = max(w.fullWeight, entry.Weight)
	if !b.settings.LiveWeights {
		w.fullWeight = entry.Weight
	}
	restarted := entry.Started > w.Started
	w.setState(entry.State, b.now)
	w.Worker = entry
	w.zone = b.zone(entry.Zone)
	if restarted {
		w.restart(b.initialWindow())
		b.unloadAll(w)
	}
	return w
}
