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

// failedLoadLog throttles the log line for load orders that failed or were not sent.
var failedLoadLog = logthrottle.New()

// loadKey identifies a pending load order: there is at most one for each function at each worker.
type loadKey struct {
	worker   balancer.WorkerID
	function balancer.FunctionID
}

// loadOrder is an order to a worker to hold at least a number of loaded copies of a function.
type loadOrder struct {
	key      loadKey
	created  time.Time
	copies   int           // 0: the order is a query for the number of loaded copies
	proofAge time.Duration // greater than 0 for load orders that serve as keepalives, see balancer.Load

	// The following fields are set once the worker's pool has accepted the order.

	pool    *worker.Pool
	pending *worker.PendingRequest
	timeout *timer
}

// startLoad executes a Load action of the balancer.
func (c *Core) startLoad(load balancer.Load) {
	order := &loadOrder{key: loadKey{load.Worker, load.Function}, created: time.Now(), copies: load.Copies,
		proofAge: load.ProofAge}
	c.loads[order.key] = order
	if reason := c.checkLoad(load, order.created); reason != permit.Allowed {
		recordRefusal(reason, order.created, "load order", "worker", string(load.Worker), "function", string(load.Function))
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
	if err != nil { // the pool had no room; ConnectFailed would count against the worker
		c.endLoad(order, worker.Result{Status: balancer.NotSent})
		return
	}
	order.pool = e.pool
	order.pending = pending
	order.timeout = c.timers.add(deadline, loadTimedOut{order: order})
}

// onLoadTimedOut ends a load order whose deadline has passed.
func (c *Core) onLoadTimedOut(order *loadOrder) {
	if !c.isCurrent(order) {
		return
	}
	order.pool.Cancel(order.pending)
	c.endLoad(order, worker.Result{Status: balancer.TimedOut})
}

// endLoad processes the result of a load order. It does nothing if the order has ended already or was replaced by another.
func (c *Core) endLoad(order *loadOrder, result worker.Result) {
	if !c.isCurrent(order) {
		return
	}
	delete(c.loads, order.key)
	c.timers.remove(order.timeout)
	order.recordStatus(result.Status)
	if result.Status != balancer.OK {
		failedLoadLog.Log(slog.LevelInfo, "core: load order not done", "worker", string(order.key.worker),
			"function", string(order.key.function), "status", result.Status.String())
	}
	writtenAt := c.renewLeaseFromLoad(order, result)
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

// recordStatus counts an ended order in the metrics of keepalives and load orders.
func (o *loadOrder) recordStatus(status balancer.Status) {
	switch {
	case o.copies == 0:
		metrics.Keepalives.Add("asked")
		return
	case o.proofAge > 0:
		metrics.Keepalives.Add(status.String())
	}
	metrics.LoadOrders.Add(status.String())
}

// renewLeaseFromLoad renews the lease of a worker if the order was a keepalive and the worker has executed it. It returns the
// balancer time at which the order was written, or 0 if the result is no evidence of the worker's state: the order was not
// answered, or the worker's pool has been replaced since.
func (c *Core) renewLeaseFromLoad(order *loadOrder, result worker.Result) (writtenAt time.Duration) {
	e := c.endpoints[order.key.worker]
	if e == nil || e.pool != order.pool || result.WrittenAt.IsZero() {
		return 0
	}
	writtenAt = c.clock.balancerTime(result.WrittenAt)
	if order.proofAge > 0 && result.Status == balancer.OK {
		e.lease.RecordLoaded(writtenAt-order.proofAge, c.clock.balancerTime(result.ConnectedSince), c.syncedAt)
	}
	return writtenAt
}

// isCurrent reports whether an order has neither ended nor been replaced by another.
func (c *Core) isCurrent(order *loadOrder) bool { return c.loads[order.key] == order }

// unload executes an Unload action of the balancer. No result is reported to the balancer, not even that the worker's pool
// had no room for the order.
func (c *Core) unload(unload balancer.Unload) {
	if e := c.endpoints[unload.Worker]; e != nil {
		e.pool.Unload(string(unload.Function), time.Now().Add(c.config.Settings.LoadTimeout))
	}
}
