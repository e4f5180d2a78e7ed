package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
)

// newPermitCore returns a core whose balancer answers each request with actions, and which knows a worker.
func newPermitCore(t *testing.T, settings balancer.Settings, actions func(balancer.RequestID) []balancer.Action) (*Core, *recordingBalancer) {
	t.Helper()
	c := newStoppedCore(t, 8, settings)
	c.config.Pool.MaxConns = 4
	c.config.Pool.MaxStreams = 8
	scripted := &recordingBalancer{onRequest: func(r balancer.RequestEvent) []balancer.Action { return actions(r.ID) }}
	c.balancer = scripted
	c.endpointAt("s-1", "127.0.0.1:1")
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
