package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
	"kitefall/internal/worker"
)

// newPermitCore returns a core whose balancer answers each request with actions, and which knows a worker.
func newPermitCore(t *testing.T, settings balancer.Settings, actions func(balancer.RequestID) []balancer.Action) (*Core, *recordingBalancer) {
	t.Helper()
	c := newStoppedCore(t, 8, settings)
	c.config.Pool.MaxConns = 4
	c.config.Pool.MaxStreams = 8
	scripted := &recordingBalancer{onRequest: func(r balancer.RequestEvent) []balancer.Action { return actions(r.ID) }}
	c.balancer = scripted
	c.listNow("s-1")
	return c, scripted
}

func acceptCall(c *Core, class string) {
	c.accept(&call.Call{Class: class, Function: testFunction, Deadline: time.Now().Add(time.Hour), Done: func(call.Answer) {}},
		&Handle{core: c})
}

// A balancer at fault sends a request that must not run twice a second time while the first attempt may run.
func TestForbiddenRepeatIsStoppedAndCounted(t *testing.T) {
	settings := idempotentSettings()
	settings.MaxAttempts = 3
	settings.Hedging = true
	settings.Classes = append(settings.Classes, balancer.Class{Name: "reserva", Idempotency: balancer.NotIdempotent})
	c, scripted := newPermitCore(t, settings, func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}, balancer.Send{ID: id, Worker: "s-1"}}
	})
	before := metrics.Violations.Get(permit.RepeatForbidden.String())
	acceptCall(c, "reserva")
	assert.Equal(t, []balancer.Status{balancer.NotSent}, scripted.outcomes(), "the second one alone")
	assert.Equal(t, before+1, metrics.Violations.Get(permit.RepeatForbidden.String()))
	acceptCall(c, "consulta")
	assert.Len(t, scripted.outcomes(), 1, "an idempotent one may have two")
}

func TestLoadOrdersBeyondTheBudgetAreStoppedAndCounted(t *testing.T) {
	settings := idempotentSettings()
	settings.LoadBurst = 2
	settings.LoadWindow = time.Hour
	orders := []balancer.FunctionID{"0000000000000001", "0000000000000002", "0000000000000003"}
	c, scripted := newPermitCore(t, settings, func(balancer.RequestID) []balancer.Action {
		var actions []balancer.Action
		for _, function := range orders {
			actions = append(actions, balancer.Load{Worker: "s-1", Function: function, Copies: 1})
		}
		return actions
	})
	before := metrics.Violations.Get(permit.BudgetSpent.String())
	acceptCall(c, "consulta")
	assert.Equal(t, before+1, metrics.Violations.Get(permit.BudgetSpent.String()))
	var ended []balancer.FunctionID
	for _, e := range scripted.events {
		if load, ok := e.(balancer.LoadEndedEvent); ok {
			assert.Equal(t, balancer.NotSent, load.Status)
			ended = append(ended, load.Function)
		}
	}
	assert.Equal(t, orders[2:], ended)
}

// A worker that drains gets nothing new, which is no fault of the balancer: the word came after its choice.
func TestNothingIsBegunAtADrainingWorker(t *testing.T) {
	c, scripted := newPermitCore(t, idempotentSettings(), func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}}
	})
	c.endpoints["s-1"].state = permit.WorkerIsDraining
	violations, refusals := metrics.Violations.Get("worker_draining"), metrics.Refusals.Get("worker_draining")
	acceptCall(c, "consulta")
	assert.Equal(t, []balancer.Status{balancer.NotSent}, scripted.outcomes())
	assert.Equal(t, refusals+1, metrics.Refusals.Get("worker_draining"))
	assert.Equal(t, violations, metrics.Violations.Get("worker_draining"))
}

// A balancer at fault chooses a worker of which nothing is known any more; an attempt that had to wait may find that too, which
// is no fault.
func TestNothingIsBegunWithoutALease(t *testing.T) {
	c, scripted := newPermitCore(t, idempotentSettings(), func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"},
			balancer.Load{Worker: "s-1", Function: "0000000000000001", Copies: 1}}
	})
	c.endpoints["s-1"].lease = permit.Lease{}
	before := metrics.Violations.Get(permit.LeaseEnded.String())
	acceptCall(c, "consulta")
	assert.Equal(t, []balancer.Status{balancer.NotSent}, scripted.outcomes())
	assert.Equal(t, before+2, metrics.Violations.Get(permit.LeaseEnded.String()), "the attempt and the load order")
	assert.False(t, isViolation(permit.LeaseEnded, time.Now().Add(-time.Second)), "chosen long ago")
}

// What a worker serves renews its lease as of the moment at which it was written, and a sync does as of that of its poll.
func TestLeaseIsRenewedBySyncsAndServedCalls(t *testing.T) {
	c, _ := newPermitCore(t, idempotentSettings(), func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}}
	})
	terms := permit.NewLeaseTerms(c.config.Settings.DrainGrace)
	c.endpoints["s-1"].lease = permit.Lease{}
	polled := time.Now()
	c.handle(endpointsConfirmed{asOf: polled})
	assert.Equal(t, terms.Synced, c.leaseLeft("s-1", polled))
	written := polled
	for _, status := range []balancer.Status{balancer.OK, balancer.Miss, balancer.Failed} { // a draining worker gives none of them
		acceptCall(c, "consulta")
		written = written.Add(time.Minute)
		c.handle(attemptEnded{attempt: c.requests[c.lastID].attempts[0], result: worker.Result{Status: status, WrittenAt: written}})
		assert.Equal(t, terms.Accepted, c.leaseLeft("s-1", written), "%s", status)
	}
	c.handle(attemptTimedOut{attempt: c.requests[c.lastID].attempts[0]})
	assert.Equal(t, terms.Accepted, c.leaseLeft("s-1", written))
	assert.Negative(t, c.leaseLeft("s-2", polled), "a worker that nobody knows")
}

// A keepalive's order renews the lease as of when its load can have begun, where it is carried out; other orders and asks do not,
// and an ask takes nothing from the load budget.
func TestLeaseIsRenewedByKeepalives(t *testing.T) {
	settings := idempotentSettings()
	settings.LoadBurst = 3
	settings.LoadWindow = time.Hour
	order := balancer.Load{Worker: "s-1", Function: testFunction, Copies: 1}
	c, _ := newPermitCore(t, settings, func(balancer.RequestID) []balancer.Action { return []balancer.Action{order} })
	terms := permit.NewLeaseTerms(settings.DrainGrace)
	written := time.Now().Add(time.Minute)
	end := func(status balancer.Status) {
		acceptCall(c, "consulta")
		written = written.Add(time.Second)
		pending := c.loads[loadKey{"s-1", testFunction}]
		c.handle(loadEnded{order: pending, result: worker.Result{Status: status, WrittenAt: written, ConnectedSince: c.clock.at(1)}})
	}
	end(balancer.OK)
	assert.Negative(t, c.leaseLeft("s-1", written), "a copy may have stood")
	order.ProofAge = 30 * time.Millisecond
	end(balancer.Rejected)
	assert.Negative(t, c.leaseLeft("s-1", written))
	keepalives, orders := metrics.Keepalives.Get(balancer.OK.String()), metrics.LoadOrders.Get(balancer.OK.String())
	end(balancer.OK)
	assert.Equal(t, keepalives+1, metrics.Keepalives.Get(balancer.OK.String()))
	assert.Equal(t, orders+1, metrics.LoadOrders.Get(balancer.OK.String()), "it is one of them")
	assert.Equal(t, terms.Loaded-order.ProofAge, c.leaseLeft("s-1", written))
	order.Copies = 0
	acceptCall(c, "consulta")
	assert.NotNil(t, c.loads[loadKey{"s-1", testFunction}], "the budget is spent, but it only asks")
}

// What a pool tells of the end of its worker's process comes to the balancer.
func TestEndOfAProcessReachesTheBalancer(t *testing.T) {
	c, scripted := newPermitCore(t, idempotentSettings(), func(balancer.RequestID) []balancer.Action { return nil })
	c.config.Pool.PeerGone("s-1")
	c.handle((<-c.queue).event)
	assert.Equal(t, []balancer.Event{balancer.PeerGoneEvent{Worker: "s-1"}}, scripted.events)
}
