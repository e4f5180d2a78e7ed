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

// workerStateLog throttles the log line for workers that begin to drain, are removed or return: one endpoint list may
// contain thousands of them.
var workerStateLog = logthrottle.New()

// leaseLog throttles the log line for changes of leases.
var leaseLog = logthrottle.New()

// maxLoggedWorkers is the maximum number of workers that one log line about leases names.
const maxLoggedWorkers = 4

// endpoint holds a worker's address, its connection pool, its state and its lease.
type endpoint struct {
	addr  string
	pool  *worker.Pool
	state permit.WorkerState // state by the endpoint list; a removed endpoint is kept until its pool is idle
	lease permit.Lease
}

// updateEndpoints applies a full endpoint list or a change of the list. If an update names a worker twice, the last entry
// applies.
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

// confirmEndpoints records that the updates so far contain everything that discovery knew at the time asOf.
func (c *Core) confirmEndpoints(asOf time.Time) {
	confirmedAt := c.clock.balancerTime(asOf)
	c.syncedAt = max(c.syncedAt, confirmedAt)
	c.notifyBalancer(balancer.EndpointsSyncedEvent{AsOf: confirmedAt})
}

// logLeases logs and counts leases that have expired, contested or not, or are valid again.
func logLeases(change balancer.LeasesChanged) {
	metrics.Leases.AddMany("ended", change.Ended)
	metrics.Leases.AddMany("contested", change.Contested)
	metrics.Leases.AddMany("renewed", change.Renewed)
	first := change.Workers[:min(len(change.Workers), maxLoggedWorkers)]
	leaseLog.Log(slog.LevelInfo, "core: leases of workers have changed", "ended", change.Ended, "contested", change.Contested,
		"renewed", change.Renewed, "live", change.Live, "sync_age", change.SyncAge.Round(time.Millisecond), "first", first)
}

// translateStarts converts the start times of the workers from the endpoint list's clock to the balancer's time.
func (c *Core) translateStarts(endpoints []discovery.Endpoint) []time.Duration {
	reported := make([]balancer.ReportedStart, 0, len(endpoints))
	for _, entry := range endpoints {
		reported = append(reported, balancer.ReportedStart{ID: entry.ID, Time: entry.ReportedStart})
	}
	return c.startTimes.Translate(c.clock.balancerTime(time.Now()), reported)
}

// updateEndpoint applies one entry of the endpoint list, which was valid at the time asOf.
func (c *Core) updateEndpoint(entry discovery.Endpoint, asOf time.Duration) {
	e := c.ensureEndpoint(entry.ID, entry.Addr)
	c.setEndpointState(entry.ID, e, entry.State.Permitted())
	if e.state == permit.WorkerStateReady {
		e.lease.RecordListed(asOf)
		e.pool.MarkReady(c.clock.systemTime(entry.Started))
	} else {
		e.pool.MarkUnavailable(e.state)
	}
}

// setEndpointState sets the state of an endpoint and adds it to, or deletes it from, the removed workers.
func (c *Core) setEndpointState(id balancer.WorkerID, e *endpoint, state permit.WorkerState) {
	if e.state != state {
		workerStateLog.Log(slog.LevelInfo, "core: worker changed its state", "worker", string(id), "from", e.state.String(),
			"to", state.String())
	}
	e.state = state
	if state == permit.WorkerStateRemoved {
		c.removed[id] = true
	} else {
		delete(c.removed, id)
	}
}

// ensureEndpoint returns the endpoint of a worker at the given address and creates it if there is none. A change of the list
// may leave the address empty; the worker's existing endpoint then stays.
func (c *Core) ensureEndpoint(id balancer.WorkerID, addr string) *endpoint {
	existing := c.endpoints[id]
	if existing != nil && (addr == "" || addr == existing.addr) {
		return existing
	}
	if existing != nil { // the worker has a new address; its attempts at the old address may still be answered
		existing.pool.MarkUnavailable(permit.WorkerStateRemoved)
	}
	e := &endpoint{addr: addr, pool: worker.NewPool(string(id), addr, &c.config.Pool)}
	c.endpoints[id] = e
	return e
}

// markAbsentRemoved marks all workers that are missing from a full list as removed.
func (c *Core) markAbsentRemoved(listed map[balancer.WorkerID]bool) {
	for id, e := range c.endpoints {
		if !listed[id] {
			c.setEndpointState(id, e, permit.WorkerStateRemoved)
			e.pool.MarkUnavailable(e.state)
		}
	}
}

// deleteRemovedEndpoints deletes the endpoints of removed workers whose pools are idle. The ids of removed workers are not
// used again, so endpoints that were kept would accumulate.
func (c *Core) deleteRemovedEndpoints() {
	for id := range c.removed {
		if c.endpoints[id].pool.Idle() {
			c.startTimes.Forget(id)
			delete(c.endpoints, id)
			delete(c.removed, id)
		}
	}
}
