package discovery

import (
	"fmt"
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
)

// States of a target (source: endpoint-list protocol). Any other state, such as "leaving", is treated as draining.
const (
	stateActive = "active"
	stateLeft   = "left"
)

// defaultWeight is the weight of a worker without a capacity hint.
const defaultWeight = 1

// skippedTargetLog is throttled, since the server can send any number of targets without a uid.
var skippedTargetLog = logthrottle.New()

// WatchResponse is the discovery server's answer to a poll. The configuration holds the initial events in the same format
// (source: endpoint-list protocol).
type WatchResponse struct {
	// Revision is the revision of the server's last event, which this answer does not necessarily contain.
	Revision int64        `json:"rev"`
	Events   []WatchEvent `json:"notices"`
}

// WatchEvent is one revision of the endpoint list: a change, or the whole list (source: endpoint-list protocol).
type WatchEvent struct {
	Revision int64 `json:"rev"`
	Pool     struct {
		All     bool     `json:"all"` // Targets lists all workers, not only the changed ones
		Targets []Target `json:"targets"`
	} `json:"pool"`
}

// Target is a worker's entry in the endpoint list (source: endpoint-list protocol).
type Target struct {
	UID          string   `json:"uid"`
	Endpoint     string   `json:"endpoint"` // host:port; a change may omit it
	Zone         string   `json:"az"`
	Model        string   `json:"model"`
	Group        int      `json:"pod_group"`
	State        string   `json:"state"`
	CapacityHint *float64 `json:"capacity_hint"`
	BootMS       int64    `json:"boot_ms"` // start time of the worker, in Unix milliseconds; 0: long ago
}

// Endpoint is a worker in the balancer's representation, with the address at which the worker listens. Worker.Started is not
// set, since the start time in the list comes from another clock.
type Endpoint struct {
	balancer.Worker
	Addr          string        // host:port; may be empty in an update of scope balancer.ScopeDelta
	ReportedStart time.Duration // since 1970 by the list's clock, which can be off from this machine's by any amount; 0: long ago
}

// Update is one event of the endpoint list in the balancer's representation.
type Update struct {
	Scope     balancer.UpdateScope
	Endpoints []Endpoint
	AsOf      time.Time // when the poll that returned the event was sent; zero: when the event arrived
}

// pollURL returns the URL of a poll for the events after revision. The server may hold the poll for up to wait.
func pollURL(addr string, revision int64, wait time.Duration) string {
	return fmt.Sprintf("http://%s/board/poll?watch=%d&linger=%d", addr, revision, wait.Milliseconds())
}

// update converts an event. An event with the whole list gets the scope fullScope. Targets without a uid are left out.
func (e *WatchEvent) update(fullScope balancer.UpdateScope) Update {
	update := Update{Scope: balancer.ScopeDelta}
	if e.Pool.All {
		update.Scope = fullScope
	}
	for _, target := range e.Pool.Targets {
		if target.UID == "" {
			skippedTargetLog.Log(slog.LevelWarn, "discovery: skipped an endpoint without a uid",
				"rev", e.Revision, "addr", target.Endpoint)
			continue
		}
		update.Endpoints = append(update.Endpoints, target.endpoint())
	}
	return update
}

// endpoint converts a target.
func (t *Target) endpoint() Endpoint {
	worker := balancer.Worker{
		ID:     balancer.WorkerID(t.UID),
		Kind:   t.Model,
		Zone:   t.Zone,
		Cell:   t.Group,
		Weight: defaultWeight,
		State:  workerState(t.State),
	}
	if t.CapacityHint != nil {
		worker.Weight = *t.CapacityHint
	}
	return Endpoint{Worker: worker, Addr: t.Endpoint, ReportedStart: time.Duration(t.BootMS) * time.Millisecond}
}

func workerState(state string) balancer.WorkerState {
	switch state {
	case stateActive:
		return balancer.Ready
	case stateLeft:
		return balancer.Removed
	default:
		return balancer.Draining
	}
}
