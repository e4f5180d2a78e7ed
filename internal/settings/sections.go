package settings

import "kitefall/internal/balancer"

// capsSection holds what the dispatcher may do, and limits on it.
type capsSection struct {
	CanCancel      bool         `json:"cancel"`             // attempts may be cancelled
	Hedging        bool         `json:"second_copies"`      // two attempts of one request may be in flight at a time
	MaxAttempts    int          `json:"try_limit"`          // maximum number of attempts of one request
	MaxInFlight    int          `json:"open_cap"`           // maximum number of requests in flight
	SendRetryAfter bool         `json:"retry_after"`        // rejections may tell the client after which time to retry
	MaxRetryAfter  Microseconds `json:"max_retry_after_us"` // longest time to retry after
	DialTimeout    Microseconds `json:"dial_timeout_us"`    // time limit for connecting to a worker
}

func (c *capsSection) apply(s *balancer.Settings) {
	s.CanCancel = c.CanCancel
	s.Hedging = c.Hedging
	s.MaxAttempts = c.MaxAttempts
	s.MaxInFlight = c.MaxInFlight
	s.SendRetryAfter = c.SendRetryAfter
	s.MaxRetryAfter = c.MaxRetryAfter.Duration()
	s.DialTimeout = c.DialTimeout.Duration()
}

// guaranteesSection holds limits of the platform that the dispatcher may rely on.
type guaranteesSection struct {
	// PollTimeout applies with discoveryPoll: after this time without an update, at the latest, the endpoint list counts as known.
	PollTimeout       Microseconds `json:"ask_within_us"`
	SlowStartFloor    float64      `json:"cold_from"`      // least fraction of its capacity that a starting worker has
	SlowStartDuration Microseconds `json:"ramp_time_us"`   // a worker has its full capacity this long after its start
	DrainGrace        Microseconds `json:"drain_grace_us"` // time that a draining worker has to answer its requests
	// A worker that is warming up fails if its load exceeds OverloadMultiple times its capacity for OverloadWindow.
	OverloadMultiple float64      `json:"fall_multiple"`
	OverloadWindow   Microseconds `json:"fall_us"`
	AnswerGrace      Microseconds `json:"grace_to_answer_us"` // a final answer is in time until this long after the deadline
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

// loadingSection describes how workers load functions.
type loadingSection struct {
	LoadOrders        bool         `json:"placement_calls"`     // the dispatcher may order loads and unloads
	OnMiss            string       `json:"when_absent"`         // onMissLoad: a worker that lacks a function loads it by itself
	IdleTTL           Microseconds `json:"keep_alive_us"`       // an idle copy is unloaded after this time
	LoadTimeout       Microseconds `json:"answer_within_us"`    // a load order is answered within this time
	LoadBurst         float64      `json:"load_floor"`          // load budget: orders allowed within LoadWindow ...
	LoadRatio         float64      `json:"loads_per_request"`   // ... plus this many for each request in this window
	LoadWindow        Microseconds `json:"load_period_us"`      // 0: load orders are not budgeted
	ReportsWarmth     bool         `json:"tells_warm"`          // outcomes say whether the function was loaded at the worker
	ReportsQueueDepth bool         `json:"notes_peers_in_hand"` // outcomes say how many requests the function had at the worker
	MemoryMB          []float64    `json:"ram_mb_by_kind"`      // memory of each kind of worker, in the order of document.Kinds
}

func (l *loadingSection) apply(s *balancer.Settings) {
	s.LoadOrders = l.LoadOrders
	s.LoadOnMiss = l.OnMiss == onMissLoad
	s.IdleTTL = l.IdleTTL.Duration()
	s.LoadTimeout = l.LoadTimeout.Duration()
	s.LoadBurst = l.LoadBurst
	s.LoadRatio = l.LoadRatio
	s.LoadWindow = l.LoadWindow.Duration()
	s.ReportsWarmth = l.ReportsWarmth
	s.ReportsQueueDepth = l.ReportsQueueDepth
}
