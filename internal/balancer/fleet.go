package balancer

import (
	"cmp"
	"slices"
)

// worker returns the record of a worker, a new one if it is not known.
func (b *Balancer) worker(id WorkerID) *worker {
	w := b.workers[id]
	if w == nil {
		w = newWorker(id, b.initialWindow())
		b.workers[id] = w
	}
	return w
}

// unloadAll notes that a worker holds no copies.
func (b *Balancer) unloadAll(w *worker) {
	for _, f := range b.functions {
		if p := f.placements[w.ID]; p != nil {
			p.setUnloaded()
		}
	}
}

// updateReady brings the list of ready workers, sorted by ID, up to date with workers that may have changed.
func (b *Balancer) updateReady(workers []*worker) {
	for _, w := range workers {
		ready := b.available(w)
		if ready == w.listed && (!ready || w.fullWeight == w.listedWeight) {
			continue
		}
		if ready != w.listed {
			b.setListed(w, ready)
		}
		w.listedWeight = w.fullWeight
		b.changes.add(w)
	}
}

// setListed adds a worker to the ready ones, or takes it out.
func (b *Balancer) setListed(w *worker, ready bool) {
	w.listed = ready
	place, _ := slices.BinarySearchFunc(b.ready, w, compareIDs)
	if ready {
		b.ready = slices.Insert(b.ready, place, w)
	} else {
		b.ready = slices.Delete(b.ready, place, place+1)
	}
}

func compareIDs(v, w *worker) int { return cmp.Compare(v.ID, w.ID) }

// zone returns the record of a zone.
func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// forget drops a removed worker, unless a load order to it is still pending.
func (b *Balancer) forget(id WorkerID) {
	for _, f := range b.functions {
		if p := f.placements[id]; p != nil && p.ordered {
			return
		}
	}
	for _, f := range b.functions {
		delete(f.placements, id)
	}
	b.restarts.gone = remove(b.restarts.gone, b.workers[id])
	delete(b.workers, id)
}

// markReachable notes a sign of life of a worker, and with it of its zone.
func (b *Balancer) markReachable(w *worker) {
	w.lastContact = b.now
	*w.zone = zone{lastContact: b.now}
}

// markHealthy notes that a worker answers as it should, which ends its ejection.
func (b *Balancer) markHealthy(w *worker) {
	b.markReachable(w)
	w.ejection.end()
}

// forgetRemoved drops workers that left so long ago that on their return they would be warm, or have a new
// start.
func (b *Balancer) forgetRemoved() {
	memory := b.settings.SlowStartDuration + b.settings.OverloadWindow
	for id, w := range b.workers {
		if w.State == Removed && len(w.outstanding) == 0 && b.now-w.removedAt > memory {
			b.forget(id)
		}
	}
}

// onEndpoints takes in an update of the endpoint list.
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
			w.lease.Assumed(e.AsOf)
		default:
			w.lease.Listed(e.AsOf)
		}
		changed = append(changed, w)
	}
	b.updateReady(changed)
}

// updateWorker takes in one entry and returns its worker. After a fresh start the worker is warming up and
// holds no copies.
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
