package dispatch

import (
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
	"kitefall/internal/worker"
)

// loadNotDoneLog throttles the line of load orders that failed or were not carried out.
var loadNotDoneLog = logthrottle.New()

// loadKey identifies a load order: there is one at a time for a function at a worker.
type loadKey struct {
	worker   balancer.WorkerID
	function balancer.FunctionID
}

// loadOrder is an order to a worker to load copies of a function.
type loadOrder struct {
	key      loadKey
	created  time.Time
	copies   int           // 0: it only asks, for a keepalive
	proofAge time.Duration // of a keepalive, see balancer.Load

	// Set once a pool has taken the order.

	pool    *worker.Pool
	pending *worker.PendingRequest
	timeout *timer
}

// startLoad carries out the balancer's Load.
func (c *Core) startLoad(load balancer.Load) {
	order := &loadOrder{key: loadKey{load.Worker, load.Function}, created: time.Now(), copies: load.Copies,
		proofAge: load.ProofAge}
	c.loads[order.key] = order
	if reason := c.permitLoad(load, order.created); reason != permit.Allowed {
		noteRefusal(reason, order.created, "load order", "worker", string(load.Worker), "function", string(load.Function))
		c.endLoad(order, worker.Result{Status: balancer.NotSent})
		return
	}
	e := c.endpoints[load.Worker]
	deadline := order.created.Add(c.config.Settings.LoadTimeout)
	startBy := deadline
	if load.StartWithin > 0 {
		startBy = order.created.Add(load.StartWithin)
	}
	outgoing := worker.LoadOrder{
		Function: string(load.Function),
		Copies:   load.Copies,
		StartBy:  startBy,
		LeaseEnd: c.leaseEnd(load.Worker),
		Deadline: deadline,
	}
	pending, err := e.pool.Load(outgoing, func(result worker.Result) {
		c.post(loadEnded{order: order, result: result})
	})
	if err != nil { // no room in the pool, as for an attempt
		c.endLoad(order, worker.Result{Status: balancer.NotSent})
		return
	}
	order.pool = e.pool
	order.pending = pending
	order.timeout = c.timers.add(deadline, loadTimedOut{order: order})
}

// onLoadTimedOut stops waiting for a load order.
func (c *Core) onLoadTimedOut(order *loadOrder) {
	if !c.isCurrent(order) {
		return
	}
	order.pool.Cancel(order.pending)
	c.endLoad(order, worker.Result{Status: balancer.TimedOut})
}

// endLoad takes in the result of a load order, unless the order has ended or another one has replaced it.
func (c *Core) endLoad(order *loadOrder, result worker.Result) {
	if !c.isCurrent(order) {
		return
	}
	delete(c.loads, order.key)
	c.timers.remove(order.timeout)
	order.count(result.Status)
	if result.Status != balancer.OK {
		loadNotDoneLog.Log(slog.LevelInfo, "core: load order not done", "worker", string(order.key.worker),
			"function", string(order.key.function), "status", result.Status.String())
	}
	writtenAt := c.recordKeepalive(order, result)
	c.notifyBalancer(balancer.LoadEndedEvent{
		Worker:   order.key.worker,
		Function: order.key.function,
		Status:   result.Status,
		Elapsed:  time.Since(order.created),
		Copies:   result.Copies,

		WrittenAt:      writtenAt,
		ConnectedSince: c.clock.balancerTime(result.ConnectedSince),
	})
}

// count counts the end of an order.
func (o *loadOrder) count(status balancer.Status) {
	switch {
	case o.copies == 0:
		metrics.Keepalives.Add("asked")
		return
	case o.proofAge > 0:
		metrics.Keepalives.Add(status.String())
	}
	metrics.LoadOrders.Add(status.String())
}

// recordKeepalive renews a lease by a keepalive that was carried out. It returns when a load order was written, in the
// balancer's time, where that is evidence; 0: it is not.
func (c *Core) recordKeepalive(order *loadOrder, result worker.Result) (writtenAt time.Duration) {
	e := c.endpoints[order.key.worker]
	if e == nil || e.pool != order.pool || result.WrittenAt.IsZero() {
		return 0
	}
	writtenAt = c.clock.balancerTime(result.WrittenAt)
	if order.proofAge > 0 && result.Status == balancer.OK {
		e.lease.Loaded(writtenAt-order.proofAge, c.clock.balancerTime(result.ConnectedSince), c.syncedAt)
	}
	return writtenAt
}

// isCurrent reports whether an order has neither ended nor been replaced.
func (c *Core) isCurrent(order *loadOrder) bool { return c.loads[order.key] == order }

// unload carries out the balancer's Unload. Nothing is reported back, not even that a pool has no room for it.
func (c *Core) unload(unload balancer.Unload) {
	if e := c.endpoints[unload.Worker]; e != nil {
		e.pool.Unload(string(unload.Function), time.Now().Add(c.config.Settings.LoadTimeout))
	}
}
