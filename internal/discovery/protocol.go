package discovery

import (
	"fmt"
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
)

// States of a target (source: endpoint-list protocol). Any other one, among them "leaving", is taken for draining.
const (
	stateActive = "active"
	stateLeft   = "left"
)

// defaultWeight is the weight of a worker without a capacity hint.
const defaultWeight = 1

// skippedTargetLog is throttled, since the server can send any number of targets without a uid.
var skippedTargetLog = logthrottle.New()

// WatchResponse is an answer of the endpoint list's server to a poll; the configuration holds one of the same form with
// the events of the start (source: endpoint-list protocol).
type WatchResponse struct {
	// Revision is that of the last event that exists, which need not have come with this answer.
	Revision int64        `json:"rev"`
	Events   []WatchEvent `json:"notices"`
}

// WatchEvent is one numbered change of the endpoint list, or the whole list (source: endpoint-list protocol).
type WatchEvent struct {
	Revision int64 `json:"rev"`
	Pool     struct {
		All     bool     `json:"all"` // Targets are all workers, not only those that have changed
		Targets []Target `json:"targets"`
	} `json:"pool"`
}

// Target is one worker as the endpoint list describes it (source: endpoint-list protocol).
type Target struct {
	UID          string   `json:"uid"`
	Endpoint     string   `json:"endpoint"` // host:port; may be absent from a change
	Zone         string   `json:"az"`
	Model        string   `json:"model"`
	Group        int      `json:"pod_group"`
	State        string   `json:"state"`
	CapacityHint *float64 `json:"capacity_hint"`
	BootMS       int64    `json:"boot_ms"` // when it started, in Unix milliseconds; 0: long ago
}

// Endpoint is a worker as the balancer knows it, and the address it listens at. Worker.Started is not set: the list tells
// the start by a clock of its own.
type Endpoint struct {
	balancer.Worker
	Addr          string        // host:port; may be empty in an update of scope balancer.ScopeDelta
	ReportedStart time.Duration // since 1970 by the list's clock, which may differ from this machine's by any time; 0: long ago
}

// Update is one event of the endpoint list, translated.
type Update struct {
	Scope     balancer.UpdateScope
	Endpoints []Endpoint
	AsOf      time.Time // when the poll was sent that it answers; zero: as of its arrival
}

// pollURL is the address of a poll for the events after a revision, which the server may hold for the time of wait.
func pollURL(addr string, revision int64, wait time.Duration) string {
	return fmt.Sprintf("http://%s/board/poll?watch=%d&linger=%d", addr, revision, wait.Milliseconds())
}

// update translates an event; fullScope is the scope of one that holds the whole list. Targets without a uid are left out.
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
		update.Endpoints = append(update.Endpoints, target.translate())
	}
	return update
}

// translate returns the target in the balancer's terms.
func (t *Target) translate() Endpoint {
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
