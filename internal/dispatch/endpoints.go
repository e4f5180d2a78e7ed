package dispatch

import (
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/discovery"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
	"kitefall/internal/worker"
)

// workerStateLog throttles the line of workers that begin to drain, leave or return: a list may name thousands.
var workerStateLog = logthrottle.New()

// leaseLog throttles the line of leases, and loggedWorkers is how many workers such a line names.
var leaseLog = logthrottle.New()

const loggedWorkers = 4

// endpoint is a worker's address and the connection pool for it.
type endpoint struct {
	addr  string
	pool  *worker.Pool
	state permit.Worker // once removed, the endpoint stays until its pool is idle
	lease permit.Lease
}

// updateEndpoints takes in an endpoint list or a change of it. Where it names a worker twice, the last entry counts.
func (c *Core) updateEndpoints(update discovery.Update) {
	asOf := c.clock.balancerTime(time.Now())
	if !update.AsOf.IsZero() {
		asOf = c.clock.balancerTime(update.AsOf)
	}
	listed := map[balancer.WorkerID]bool{}
	workers := make([]balancer.Worker, 0, len(update.Endpoints))
	starts := c.translateStarts(update.Endpoints)
	for i, entry := range update.Endpoints {
		entry.Started = starts[i]
		listed[entry.ID] = true
		workers = append(workers, entry.Worker)
		c.updateEndpoint(entry, asOf)
	}
	if update.Scope != balancer.ScopeDelta {
		c.syncedAt = max(c.syncedAt, asOf)
		c.markAbsentRemoved(listed)
	}
	c.deleteRemovedEndpoints()
	slog.Info("core: endpoints updated", "scope", int(update.Scope), "entries", len(update.Endpoints), "workers", len(c.endpoints))
	c.notifyBalancer(balancer.EndpointsEvent{Scope: update.Scope, Workers: workers, AsOf: asOf})
	c.endpointsKnown.Store(true)
}

// confirmEndpoints takes in that discovery knew nothing more at a time.
func (c *Core) confirmEndpoints(asOf time.Time) {
	at := c.clock.balancerTime(asOf)
	c.syncedAt = max(c.syncedAt, at)
	c.notifyBalancer(balancer.EndpointsSyncedEvent{AsOf: at})
}

// logLeases logs that leases of workers have ended or are live again.
func logLeases(change balancer.LeasesChanged) {
	metrics.Leases.AddMany("ended", change.Ended)
	metrics.Leases.AddMany("contested", change.Contested)
	metrics.Leases.AddMany("renewed", change.Renewed)
	first := change.Workers[:min(len(change.Workers), loggedWorkers)]
	leaseLog.Log(slog.LevelInfo, "core: leases of workers have changed", "ended", change.Ended, "contested", change.Contested,
		"renewed", change.Renewed, "live", change.Live, "sync_age", change.SyncAge.Round(time.Millisecond), "first", first)
}

// translateStarts returns the starts of the workers in the balancer's time.
func (c *Core) translateStarts(endpoints []discovery.Endpoint) []time.Duration {
	told := make([]balancer.ReportedStart, 0, len(endpoints))
	for _, entry := range endpoints {
		told = append(told, balancer.ReportedStart{ID: entry.ID, Time: entry.ReportedStart})
	}
	return c.startTimes.Translate(c.clock.balancerTime(time.Now()), told)
}

// updateEndpoint brings the endpoint of one worker up to date with what was so at a time.
func (c *Core) updateEndpoint(entry discovery.Endpoint, asOf time.Duration) {
	e := c.endpointAt(entry.ID, entry.Addr)
	c.setEndpointState(entry.ID, e, entry.State.Permitted())
	if e.state == permit.WorkerReady {
		e.lease.Listed(asOf)
		e.pool.MarkReady(c.clock.at(entry.Started))
	} else {
		e.pool.MarkUnavailable(e.state)
	}
}

// setEndpointState notes the state of an endpoint, and whether it is among the removed ones.
func (c *Core) setEndpointState(id balancer.WorkerID, e *endpoint, state permit.Worker) {
	if e.state != state {
		workerStateLog.Log(slog.LevelInfo, "core: worker changed its state", "worker", string(id), "from", e.state.String(),
			"to", state.String())
	}
	e.state = state
	if state == permit.WorkerIsRemoved {
		c.removed[id] = true
	} else {
		delete(c.removed, id)
	}
}

// endpointAt returns the endpoint of a worker at an address, and makes it where there is none. A change of the list may
// leave the address out: then the known one stays.
func (c *Core) endpointAt(id balancer.WorkerID, addr string) *endpoint {
	known := c.endpoints[id]
	if known != nil && (addr == "" || addr == known.addr) {
		return known
	}
	if known != nil { // the worker came back at another address; its attempts at the old one may still be answered
		known.pool.MarkUnavailable(permit.WorkerIsRemoved)
	}
	e := &endpoint{addr: addr, pool: worker.NewPool(string(id), addr, &c.config.Pool)}
	c.endpoints[id] = e
	return e
}

// markAbsentRemoved marks the workers that a full list does not name as removed.
func (c *Core) markAbsentRemoved(listed map[balancer.WorkerID]bool) {
	for id, e := range c.endpoints {
		if !listed[id] {
			c.setEndpointState(id, e, permit.WorkerIsRemoved)
			e.pool.MarkUnavailable(e.state)
		}
	}
}

// deleteRemovedEndpoints forgets removed workers whose pools are idle. Their ids do not come back, so endpoints kept
// would only pile up.
func (c *Core) deleteRemovedEndpoints() {
	for id := range c.removed {
		if c.endpoints[id].pool.Idle() {
			c.startTimes.Forget(id)
			delete(c.endpoints, id)
			delete(c.removed, id)
		}
	}
}
