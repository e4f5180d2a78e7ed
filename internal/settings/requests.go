package settings

import "kitefall/internal/balancer"

// Words for the effect of repeating a request. Any other, such as side_effect, means that it must not run twice.
const (
	effectPure  = "pure"  // idempotent
	effectToken = "token" // idempotent with a key
)

// Words for the workers that share the keys which they have seen. Any other means all workers.
const (
	groupZone = "zone"
	groupCell = "cell"
)

// grade is an entry of the section grades: one class of requests.
type grade struct {
	Name             string       `json:"name"`
	Weight           float64      `json:"credit"`     // of an answer within the latency objective
	LateWeight       float64      `json:"late_value"` // part of the weight of an answer between objective and deadline
	LatencyObjective Microseconds `json:"goal_time_us"`
	ObjectiveStretch float64      `json:"aim_stretch"` // the objective grows by this multiple of the request's work
	Deadline         Microseconds `json:"deadline_us"` // over all attempts of a request
	Effect           string       `json:"effect"`      // effectPure, effectToken
	Group            string       `json:"group"`       // groupZone, groupCell; with effectToken only
	DedupWindow      Microseconds `json:"window_us"`   // how long repeats are dropped; with effectToken only
	Streaming        bool         `json:"stream"`
}

func (g grade) class() balancer.Class {
	return balancer.Class{
		Name:             g.Name,
		Weight:           g.Weight,
		LateWeight:       g.LateWeight,
		LatencyObjective: g.LatencyObjective.Duration(),
		ObjectiveStretch: g.ObjectiveStretch,
		Deadline:         g.Deadline.Duration(),
		Idempotency:      g.idempotency(),
		DedupScope:       g.dedupScope(),
		DedupWindow:      g.DedupWindow.Duration(),
		Streaming:        g.Streaming,
	}
}

// idempotency takes unknown effects for not idempotent, which is the safe choice.
func (g grade) idempotency() balancer.Idempotency {
	switch g.Effect {
	case effectPure:
		return balancer.Idempotent
	case effectToken:
		return balancer.IdempotentWithKey
	default:
		return balancer.NotIdempotent
	}
}

func (g grade) dedupScope() balancer.DedupScope {
	switch g.Group {
	case groupZone:
		return balancer.DedupZone
	case groupCell:
		return balancer.DedupCell
	default:
		return balancer.DedupFleet
	}
}

// party is an entry of the section parties: one tenant.
type party struct {
	Name      string  `json:"name"`
	Quota     float64 `json:"share"`           // share of the fleet's capacity
	RateQuota float64 `json:"allowance_per_s"` // requests per second within the quota, over all dispatchers
}

func (p party) tenant() balancer.Tenant {
	return balancer.Tenant{Name: p.Name, Quota: p.Quota, RateQuota: p.RateQuota}
}

// clientsSection says how clients behave.
type clientsSection struct {
	MarksRetry bool `json:"marks_retry"` // clients mark their retries
}
