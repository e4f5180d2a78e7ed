package fakes

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/descriptors"
	"kitefall/internal/discovery"
	"kitefall/internal/dispatch"
	"kitefall/internal/worker"
)

// Limits of the cores that NewCore and NewCoreWithSettings start.
const (
	maxInFlight  = 100     // calls in flight at a time
	maxBodyBytes = 1 << 20 // bytes of the bodies of all calls in flight
)

// Settings returns balancer settings for one dispatcher with two classes: requests of class consulta are idempotent,
// requests of class reserva are not.
func Settings() balancer.Settings {
	return balancer.Settings{
		Dispatchers:   1,
		CanCancel:     true,
		Hedging:       true,
		MaxAttempts:   4,
		LoadOrders:    true,
		IdleTTL:       10 * time.Second,
		LoadTimeout:   5 * time.Second,
		DialTimeout:   time.Second,
		DrainGrace:    time.Second,
		MaxRetryAfter: 2 * time.Second,
		AnswerGrace:   16 * time.Millisecond,
		Classes: []balancer.Class{
			newClass("consulta", 1, balancer.Idempotent),
			newClass("reserva", 2, balancer.NotIdempotent),
		},
	}
}

func newClass(name string, weight float64, idempotency balancer.Idempotency) balancer.Class {
	return balancer.Class{
		Name:             name,
		Weight:           weight,
		LatencyObjective: time.Second,
		Deadline:         4 * time.Second,
		Idempotency:      idempotency,
	}
}

// PoolConfig returns a configuration of connection pools with the dial timeout of Settings and a connection limit of its
// own.
func PoolConfig() worker.Config {
	return worker.Config{
		DialTimeout: time.Second,
		IdleTimeout: 15 * time.Second,
		MaxStreams:  32,
		MaxConns:    4,
		ConnLimit:   worker.NewConnLimit(descriptors.NewShare(64)),
	}
}

// NewCore starts a core with Settings and sends it an endpoint list of the workers, if there are any. The caller must
// stop the core.
func NewCore(t testing.TB, workers ...*Worker) *dispatch.Core {
	t.Helper()
	return NewCoreWithSettings(t, Settings(), workers...)
}

// NewCoreWithSettings starts a core as NewCore does, with the given settings. Without workers, the core has received no
// endpoint list when it is returned.
func NewCoreWithSettings(t testing.TB, settings balancer.Settings, workers ...*Worker) *dispatch.Core {
	t.Helper()
	core, err := dispatch.New(dispatch.Config{
		Settings:     settings,
		Seed:         1,
		Pool:         PoolConfig(),
		MaxInFlight:  maxInFlight,
		MaxBodyBytes: maxBodyBytes,
	})
	require.NoError(t, err)
	go core.Run()
	if len(workers) > 0 {
		core.UpdateEndpoints(Endpoints(workers...))
	}
	return core
}

// Endpoints returns a full endpoint list of the workers, all in the state ready. Each worker's ID is derived from its
// address.
func Endpoints(workers ...*Worker) discovery.Update {
	update := discovery.Update{Scope: balancer.ScopeFull}
	for _, w := range workers {
		id := balancer.WorkerID("s-" + strings.ReplaceAll(w.Addr, ":", "-"))
		update.Endpoints = append(update.Endpoints, discovery.Endpoint{Worker: balancer.Worker{ID: id, Weight: 1}, Addr: w.Addr})
	}
	return update
}

// NewLoadOrder returns a load order for one copy of a function. It may be sent and answered until Deadline.
func NewLoadOrder(function string) worker.LoadOrder {
	return worker.LoadOrder{Function: function, Copies: 1, StartBy: Deadline(), LeaseEnd: Deadline(), Deadline: Deadline()}
}
