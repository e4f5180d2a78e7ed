package settings

import "kitefall/internal/balancer"

// capsSection says what the dispatcher may do, and how much of it.
type capsSection struct {
	Cancel        bool         `json:"cancel"`
	Hedging       bool         `json:"second_copies"` // two attempts of one request may be in flight
	MaxAttempts   int          `json:"try_limit"`
	MaxInFlight   int          `json:"open_cap"`
	RetryAfter    bool         `json:"retry_after"` // rejections may carry a time to retry after
	MaxRetryAfter Microseconds `json:"max_retry_after_us"`
	DialTimeout   Microseconds `json:"dial_timeout_us"`
}

func (c *capsSection) apply(s *balancer.Settings) {
	s.CanCancel = c.Cancel
	s.Hedging = c.Hedging
	s.MaxAttempts = c.MaxAttempts
	s.MaxInFlight = c.MaxInFlight
	s.SendRetryAfter = c.RetryAfter
	s.MaxRetryAfter = c.MaxRetryAfter.Duration()
	s.DialTimeout = c.DialTimeout.Duration()
}

// guaranteesSection says what the dispatcher may rely on.
type guaranteesSection struct {
	PollTimeout       Microseconds `json:"ask_within_us"`      // longest silence of the endpoint list before it counts as known
	SlowStartFloor    float64      `json:"cold_from"`          // share of its capacity that a worker starts with, at least
	SlowStartDuration Microseconds `json:"ramp_time_us"`       // a worker has its full capacity after this
	DrainGrace        Microseconds `json:"drain_grace_us"`     // time that a draining worker has for its requests
	OverloadMultiple  float64      `json:"fall_multiple"`      // more than this multiple of its capacity ...
	OverloadWindow    Microseconds `json:"fall_us"`            // ... for this long makes a worker that is warming up fail
	AnswerGrace       Microseconds `json:"grace_to_answer_us"` // an answer counts as in time this long past the deadline
}

func (g *guaranteesSection) apply(s *balancer.Settings) {
	s.PollTimeout = g.PollTimeout.Duration()
	s.SlowStartFloor = g.SlowStartFloor
	s.SlowStartDuration = g.SlowStartDuration.Duration()
	s.DrainGrace = g.DrainGrace.Duration()
	s.OverloadMultiple = g.OverloadMultiple
	s.OverloadWindow = g.OverloadWindow.Duration()
	s.AnswerGrace = g.AnswerGrace.Duration()
}

// domainSection describes how functions are loaded by workers.
type domainSection struct {
	LoadOrders        bool         `json:"placement_calls"`     // the dispatcher may order loads and unloads
	WhenAbsent        string       `json:"when_absent"`         // whenAbsentLoad: a worker loads a function that it lacks
	IdleTTL           Microseconds `json:"keep_alive_us"`       // how long an idle copy stays loaded
	LoadTimeout       Microseconds `json:"answer_within_us"`    // a load order is answered within this
	LoadBurst         float64      `json:"load_floor"`          // load orders allowed within a period, at least ...
	LoadRatio         float64      `json:"loads_per_request"`   // ... plus this many for each request of the period
	LoadWindow        Microseconds `json:"load_period_us"`      // 0: load orders are not limited
	ReportsWarmth     bool         `json:"tells_warm"`          // outcomes say whether the function was loaded
	ReportsQueueDepth bool         `json:"notes_peers_in_hand"` // outcomes say how many requests the function had
	MemoryMB          []float64    `json:"ram_mb_by_kind"`      // in the order of the list of kinds
}

func (d *domainSection) apply(s *balancer.Settings) {
	s.LoadOrders = d.LoadOrders
	s.LoadOnMiss = d.WhenAbsent == whenAbsentLoad
	s.IdleTTL = d.IdleTTL.Duration()
	s.LoadTimeout = d.LoadTimeout.Duration()
	s.LoadBurst = d.LoadBurst
	s.LoadRatio = d.LoadRatio
	s.LoadWindow = d.LoadWindow.Duration()
	s.ReportsWarmth = d.ReportsWarmth
	s.ReportsQueueDepth = d.ReportsQueueDepth
}
