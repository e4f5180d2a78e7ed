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

// newScriptedCore returns a core that knows one worker. Its balancer answers each request with the given actions.
func newScriptedCore(t *testing.T, settings balancer.Settings,
	actions func(balancer.RequestID) []balancer.Action) (*Core, *recordingBalancer) {
	t.Helper()
	c := newStoppedCore(t, 8, settings)
	c.config.Pool.MaxConns = 4
	c.config.Pool.MaxStreams = 8
	scripted := &recordingBalancer{onRequest: func(r balancer.RequestEvent) []balancer.Action { return actions(r.ID) }}
	c.balancer = scripted
	c.addReadyEndpoint("s-1")
	return c, scripted
}

func acceptCall(c *Core, class string) { acceptKeyedCall(c, class, "") }

func acceptKeyedCall(c *Core, class, key string) {
	c.accept(&call.Call{Class: class, IdempotencyKey: key, Function: testFunction, Deadline: time.Now().Add(time.Hour), Done: func(call.Answer) {}},
		&Handle{core: c})
}

// A faulty balancer starts a second attempt of a request that must not run twice, while the first attempt may be running. The
// core does not send the second attempt and counts a violation.
func TestForbiddenRepeatIsRefusedAndCounted(t *testing.T) {
	settings := idempotentSettings()
	settings.MaxAttempts = 3
	settings.Hedging = true
	settings.Classes = append(settings.Classes, balancer.Class{Name: "reserva", Idempotency: balancer.NotIdempotent})
	c, scripted := newScriptedCore(t, settings, func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}, balancer.Send{ID: id, Worker: "s-1"}}
	})
	before := metrics.Violations.Get(permit.RepeatForbidden.String())
	acceptCall(c, "reserva")
	assert.Equal(t, []balancer.Status{balancer.NotSent}, scripted.outcomes(), "only the second attempt must be refused")
	assert.Equal(t, before+1, metrics.Violations.Get(permit.RepeatForbidden.String()))
	acceptCall(c, "consulta")
	assert.Len(t, scripted.outcomes(), 1, "an idempotent request may have two attempts")
}

// The same for a class whose requests may run twice because workers drop repeats of a key: without a key the second attempt is refused,
// with a key it is sent.
func TestRepeatWithoutAKeyIsRefused(t *testing.T) {
	for key, want := range map[string][]balancer.Status{"": {balancer.NotSent}, "k": nil} {
		settings := idempotentSettings()
		settings.MaxAttempts = 3
		settings.Hedging = true
		settings.Classes = append(settings.Classes, balancer.Class{Name: "cambio", Idempotency: balancer.IdempotentWithKey})
		c, scripted := newScriptedCore(t, settings, func(id balancer.RequestID) []balancer.Action {
			return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}, balancer.Send{ID: id, Worker: "s-1"}}
		})
		acceptKeyedCall(c, "cambio", key)
		assert.Equal(t, want, scripted.outcomes(), "key %q", key)
	}
}

func TestLoadOrdersBeyondTheBudgetAreRefusedAndCounted(t *testing.T) {
	settings := idempotentSettings()
	settings.LoadBurst = 2
	settings.LoadWindow = time.Hour
	orders := []balancer.FunctionID{"0000000000000001", "0000000000000002", "0000000000000003"}
	c, scripted := newScriptedCore(t, settings, func(balancer.RequestID) []balancer.Action {
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

// No attempt is sent to a draining worker. This counts as a refusal but not as a violation: the worker may have begun to drain
// after the balancer chose it.
func TestNoAttemptStartsAtADrainingWorker(t *testing.T) {
	c, scripted := newScriptedCore(t, idempotentSettings(), func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}}
	})
	c.endpoints["s-1"].state = permit.WorkerStateDraining
	violations, refusals := metrics.Violations.Get("worker_draining"), metrics.Refusals.Get("worker_draining")
	acceptCall(c, "consulta")
	assert.Equal(t, []balancer.Status{balancer.NotSent}, scripted.outcomes())
	assert.Equal(t, refusals+1, metrics.Refusals.Get("worker_draining"))
	assert.Equal(t, violations, metrics.Violations.Get("worker_draining"))
}

// A faulty balancer chooses a worker whose lease has expired, which counts as a violation. If the lease expires while an attempt
// waits to be sent, the attempt is refused too, but this is no violation.
func TestNoAttemptOrLoadOrderStartsWithoutALease(t *testing.T) {
	c, scripted := newScriptedCore(t, idempotentSettings(), func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"},
			balancer.Load{Worker: "s-1", Function: "0000000000000001", Copies: 1}}
	})
	c.endpoints["s-1"].lease = permit.Lease{}
	before := metrics.Violations.Get(permit.LeaseEnded.String())
	acceptCall(c, "consulta")
	assert.Equal(t, []balancer.Status{balancer.NotSent}, scripted.outcomes())
	assert.Equal(t, before+2, metrics.Violations.Get(permit.LeaseEnded.String()), "the attempt and the load order must both be violations")
	assert.False(t, isViolation(permit.LeaseEnded, time.Now().Add(-time.Second)), "the lease may have ended since a choice made long ago")
}

// A call that a worker accepts renews the worker's lease from the time at which the call was written. A sync renews it from the
// time at which its poll was sent.
func TestLeaseIsRenewedBySyncsAndServedCalls(t *testing.T) {
	c, _ := newScriptedCore(t, idempotentSettings(), func(id balancer.RequestID) []balancer.Action {
		return []balancer.Action{balancer.Send{ID: id, Worker: "s-1"}}
	})
	terms := permit.NewLeaseTerms(c.config.Settings.DrainGrace)
	c.endpoints["s-1"].lease = permit.Lease{}
	polled := time.Now()
	c.handle(endpointsConfirmed{asOf: polled})
	assert.Equal(t, terms.AfterSync, c.leaseLeft("s-1", polled))
	written := polled
	// A worker that rejects calls because it is draining returns none of these statuses.
	for _, status := range []balancer.Status{balancer.OK, balancer.Miss, balancer.Failed} {
		acceptCall(c, "consulta")
		written = written.Add(time.Minute)
		c.handle(attemptEnded{attempt: c.requests[c.lastID].attempts[0], result: worker.Result{Status: status, WrittenAt: written}})
		assert.Equal(t, terms.AfterAccepted, c.leaseLeft("s-1", written), "%s", status)
	}
	c.handle(attemptTimedOut{attempt: c.requests[c.lastID].attempts[0]})
	assert.Equal(t, terms.AfterAccepted, c.leaseLeft("s-1", written))
	assert.Negative(t, c.leaseLeft("s-2", polled), "an unknown worker has no lease")
}

// A load order with ProofAge that the worker executes renews the worker's lease from the earliest time at which the load may have
// started. Other load orders and queries (orders for 0 copies) do not renew it. A query is not deducted from the load budget.
func TestLeaseIsRenewedByKeepalives(t *testing.T) {
	settings := idempotentSettings()
	settings.LoadBurst = 3
	settings.LoadWindow = time.Hour
	order := balancer.Load{Worker: "s-1", Function: testFunction, Copies: 1}
	c, _ := newScriptedCore(t, settings, func(balancer.RequestID) []balancer.Action { return []balancer.Action{order} })
	terms := permit.NewLeaseTerms(settings.DrainGrace)
	written := time.Now().Add(time.Minute)
	endLoadWith := func(status balancer.Status) {
		acceptCall(c, "consulta")
		written = written.Add(time.Second)
		pending := c.loads[loadKey{"s-1", testFunction}]
		c.handle(loadEnded{order: pending, result: worker.Result{Status: status, WrittenAt: written, ConnectedSince: c.clock.systemTime(1)}})
	}
	endLoadWith(balancer.OK)
	assert.Negative(t, c.leaseLeft("s-1", written), "a copy may have been loaded before, so the order proves no load")
	order.ProofAge = 30 * time.Millisecond
	endLoadWith(balancer.Rejected)
	assert.Negative(t, c.leaseLeft("s-1", written))
	keepalives, orders := metrics.Keepalives.Get(balancer.OK.String()), metrics.LoadOrders.Get(balancer.OK.String())
	endLoadWith(balancer.OK)
	assert.Equal(t, keepalives+1, metrics.Keepalives.Get(balancer.OK.String()))
	assert.Equal(t, orders+1, metrics.LoadOrders.Get(balancer.OK.String()), "a keepalive that is a load order must count as a load order too")
	assert.Equal(t, terms.AfterLoad-order.ProofAge, c.leaseLeft("s-1", written))
	order.Copies = 0
	acceptCall(c, "consulta")
	assert.NotNil(t, c.loads[loadKey{"s-1", testFunction}], "an order for 0 copies must be sent although the budget is spent")
}

// When a pool reports that its worker's process may have ended, the balancer receives a PeerGoneEvent.
func TestPeerGoneIsReportedToTheBalancer(t *testing.T) {
	c, scripted := newScriptedCore(t, idempotentSettings(), func(balancer.RequestID) []balancer.Action { return nil })
	c.config.Pool.PeerGone("s-1")
	c.handle((<-c.queue).event)
	assert.Equal(t, []balancer.Event{balancer.PeerGoneEvent{Worker: "s-1"}}, scripted.events)
}
