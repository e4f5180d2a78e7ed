// Package settings reads a deployment's settings, as the platform writes them, into the terms of package balancer.
// It is the one place where the settings' own words are translated.
package settings

import (
	"encoding/json"
	"time"

	"kitefall/internal/balancer"
)

type profile struct {
	Peers    int      `json:"peers_total"`
	Position int      `json:"position"`
	Zone     string   `json:"zone"`
	Zones    []string `json:"failure_domains"`
	Step     int64    `json:"step_us"`
	Grades   []struct {
		Name     string  `json:"name"`
		Credit   float64 `json:"credit"`
		Late     float64 `json:"late_value"`
		Goal     int64   `json:"goal_time_us"`
		Stretch  float64 `json:"aim_stretch"`
		Deadline int64   `json:"deadline_us"`
		Effect   string  `json:"effect"`
		Group    string  `json:"group"`
		Window   int64   `json:"window_us"`
		Stream   bool    `json:"stream"`
	} `json:"grades"`
	Parties []struct {
		Name      string  `json:"name"`
		Share     float64 `json:"share"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"parties"`
	OverShare float64 `json:"over_share_worth"`
	Clients   struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	WorthBy string `json:"worth_by"`
	Caps    struct {
		Cancel        bool  `json:"cancel"`
		SecondCopies  bool  `json:"second_copies"`
		TryLimit      int   `json:"try_limit"`
		OpenCap       int   `json:"open_cap"`
		RetryAfter    bool  `json:"retry_after"`
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		DialTimeout   int64 `json:"dial_timeout_us"`
	} `json:"caps"`
	Discovery  string `json:"discovery"`
	Weights    string `json:"weights"`
	Guarantees struct {
		AskWithin   int64   `json:"ask_within_us"`
		ColdFrom    float64 `json:"cold_from"`
		DrainGrace  int64   `json:"drain_grace_us"`
		Multiple    float64 `json:"fall_multiple"`
		FallSpan    int64   `json:"fall_us"`
		AnswerSlack int64   `json:"grace_to_answer_us"`
		Ramp        int64   `json:"ramp_time_us"`
	} `json:"guarantees"`
	Kinds  []string `json:"kinds"`
	Domain struct {
		AnswerWithin int64     `json:"answer_within_us"`
		Keep         int64     `json:"keep_alive_us"`
		LoadFloor    float64   `json:"load_floor"`
		LoadPeriod   int64     `json:"load_period_us"`
		LoadShare    float64   `json:"loads_per_request"`
		TellsCrowd   bool      `json:"notes_peers_in_hand"`
		Orders       bool      `json:"placement_calls"`
		Memory       []float64 `json:"ram_mb_by_kind"`
		TellsWarm    bool      `json:"tells_warm"`
		WhenAbsent   string    `json:"when_absent"`
	} `json:"domain"`
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Parse reads the settings of an instance, as the simulator's first message and a dispatcher's
// configuration hold them.
func Parse(data json.RawMessage) (balancer.Settings, error) {
	var p profile
	if err := json.Unmarshal(data, &p); err != nil {
		return balancer.Settings{}, err
	}
	s := balancer.Settings{
		Dispatchers: p.Peers, Position: p.Position, Zone: p.Zone, Zones: p.Zones, MinEventInterval: us(p.Step),
		OverQuotaWeight: p.OverShare, ClientsMarkRetries: p.Clients.MarksRetry, WeightByWork: p.WorthBy == "work",
		CanCancel: p.Caps.Cancel, Hedging: p.Caps.SecondCopies,
		MaxAttempts: p.Caps.TryLimit, MaxInFlight: p.Caps.OpenCap, SendRetryAfter: p.Caps.RetryAfter,
		MaxRetryAfter: us(p.Caps.MaxRetryAfter), DialTimeout: us(p.Caps.DialTimeout),
		PollEndpoints: p.Discovery == "ask", PollTimeout: us(p.Guarantees.AskWithin), LiveWeights: p.Weights == "live",
		AnswerGrace: us(p.Guarantees.AnswerSlack), DrainGrace: us(p.Guarantees.DrainGrace),
		SlowStartFloor: p.Guarantees.ColdFrom, SlowStartDuration: us(p.Guarantees.Ramp),
		OverloadMultiple: p.Guarantees.Multiple, OverloadWindow: us(p.Guarantees.FallSpan),
		LoadOrders: p.Domain.Orders, LoadOnMiss: p.Domain.WhenAbsent == "load", IdleTTL: us(p.Domain.Keep),
		LoadTimeout: us(p.Domain.AnswerWithin), LoadBurst: p.Domain.LoadFloor, LoadRatio: p.Domain.LoadShare,
		LoadWindow: us(p.Domain.LoadPeriod), ReportsWarmth: p.Domain.TellsWarm, ReportsQueueDepth: p.Domain.TellsCrowd,
		MemoryByKind: map[string]float64{},
	}
	for i, kind := range p.Kinds {
		if i < len(p.Domain.Memory) {
			s.MemoryByKind[kind] = p.Domain.Memory[i]
		}
	}
	for _, g := range p.Grades {
		c := balancer.Class{Name: g.Name, Weight: g.Credit, LateWeight: g.Late, LatencyObjective: us(g.Goal), ObjectiveStretch: g.Stretch,
			Deadline: us(g.Deadline), DedupWindow: us(g.Window), Streaming: g.Stream, Idempotency: balancer.NotIdempotent}
		switch g.Effect {
		case "pure":
			c.Idempotency = balancer.Idempotent
		case "token":
			c.Idempotency = balancer.IdempotentWithKey
		}
		switch g.Group {
		case "zone":
			c.DedupScope = balancer.DedupZone
		case "cell":
			c.DedupScope = balancer.DedupCell
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range p.Parties {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Share, RateQuota: t.Allowance})
	}
	return s, nil
}

// Conns are the settings that only a program on real sockets needs.
type Conns struct {
	IdleClose time.Duration // workers close idle connections after this
	Streams   int           // calls on one connection
	Handshake float64       // price of a new connection, in parts of the worth of a call; 0: none
}

// ParseConns reads them from the settings of an instance.
func ParseConns(data json.RawMessage) (Conns, error) {
	var p struct {
		Caps struct {
			IdleClose int64 `json:"idle_close_us"`
			Streams   int   `json:"max_streams"`
		} `json:"caps"`
		Prices struct {
			Handshake float64 `json:"handshake"`
		} `json:"prices"`
	}
	err := json.Unmarshal(data, &p)
	return Conns{IdleClose: us(p.Caps.IdleClose), Streams: p.Caps.Streams, Handshake: p.Prices.Handshake}, err
}
