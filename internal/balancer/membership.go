package balancer

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

// onEndpoints takes in an update of the endpoint list.
func (b *Balancer) onEndpoints(e EndpointsEvent) {
	if e.Scope == ScopeFailed {
		b.polling = polling{active: false, changedAt: b.now}
		return
	}
	if e.Scope != ScopeDelta {
		for _, w := range b.workers {
			w.setState(Removed, b.now)
		}
	}
	for _, entry := range e.Workers {
		b.updateWorker(entry)
	}
	b.updateReady()
}

// updateWorker takes in one entry. After a fresh start the worker is warming up and holds no copies.
func (b *Balancer) updateWorker(entry Worker) {
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
}
