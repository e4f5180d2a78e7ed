package settings

import "kitefall/internal/balancer"

// Values of the key effect, which says whether a request may be repeated. Any other value, such as side_effect, means that the
// request must not run twice.
const (
	effectPure  = "pure"  // idempotent
	effectToken = "token" // idempotent with an idempotency key
)

// Values of the key group, which says which workers share the idempotency keys that they have seen. Any other value means all
// workers.
const (
	dedupScopeZone = "zone"
	dedupScopeCell = "cell"
)

// classSection is an entry of the settings' list "grades": one class of requests.
type classSection struct {
	Name             string       `json:"name"`
	Weight           float64      `json:"credit"`     // weight of an answer within LatencyObjective
	LateWeight       float64      `json:"late_value"` // fraction of Weight for an answer between LatencyObjective and Deadline
	LatencyObjective Microseconds `json:"goal_time_us"`
	ObjectiveStretch float64      `json:"aim_stretch"` // LatencyObjective grows by this multiple of the request's work estimate
	Deadline         Microseconds `json:"deadline_us"` // time limit for all attempts of a request together
	Effect           string       `json:"effect"`      // effectPure, effectToken
	DedupScope       string       `json:"group"`       // dedupScopeZone, dedupScopeCell; only with effectToken
	DedupWindow      Microseconds `json:"window_us"`   // how long repeats are dropped; only with effectToken
	Streaming        bool         `json:"stream"`      // answers are streamed
}

func (c classSection) class() balancer.Class {
	return balancer.Class{
		Name:             c.Name,
		Weight:           c.Weight,
		LateWeight:       c.LateWeight,
		LatencyObjective: c.LatencyObjective.Duration(),
		ObjectiveStretch: c.ObjectiveStretch,
		Deadline:         c.Deadline.Duration(),
		Idempotency:      c.idempotency(),
		DedupScope:       c.dedupScope(),
		DedupWindow:      c.DedupWindow.Duration(),
		Streaming:        c.Streaming,
	}
}

// idempotency returns NotIdempotent for an unknown effect, which is the safe choice.
func (c classSection) idempotency() balancer.Idempotency {
	switch c.Effect {
	case effectPure:
		return balancer.Idempotent
	case effectToken:
		return balancer.IdempotentWithKey
	default:
		return balancer.NotIdempotent
	}
}

func (c classSection) dedupScope() balancer.DedupScope {
	switch c.DedupScope {
	case dedupScopeZone:
		return balancer.DedupZone
	case dedupScopeCell:
		return balancer.DedupCell
	default:
		return balancer.DedupFleet
	}
}

// tenantSection is an entry of the settings' list "parties": one tenant.
type tenantSection struct {
	Name      string  `json:"name"`
	Quota     float64 `json:"share"`           // fraction of the fleet's capacity
	RateQuota float64 `json:"allowance_per_s"` // requests per second within the quota, at all dispatchers together
}

func (t tenantSection) tenant() balancer.Tenant {
	return balancer.Tenant{Name: t.Name, Quota: t.Quota, RateQuota: t.RateQuota}
}

// clientsSection describes the behavior of clients.
type clientsSection struct {
	MarkRetries bool `json:"marks_retry"` // clients mark their retries
}
