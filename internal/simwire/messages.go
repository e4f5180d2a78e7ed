package simwire

import (
	"encoding/json"

	"kitefall/internal/balancer"
	"kitefall/internal/settings"
)

// The messages that the simulator sends.
const (
	messageCatalog         = "catalog"          // defines a worker list
	messageUp              = "up"               // starts a dispatcher
	messageHalt            = "halt"             // ends a dispatcher
	messageBackendsChanged = "backends_changed" // the worker list of a dispatcher
	messageIncoming        = "incoming"         // a request
	messageFinished        = "finished"         // the outcome of an attempt
	messageEstablished     = "established"      // a stream has started
	messageClientLeft      = "client_left"      // the client of a request is gone
	messageStands          = "stands"           // the end of a load order
	messageWake            = "wake"             // a timer has fired
)

// The field detail of the message finished holds the warmth in its low bits and the queue depth above them.
const (
	detailWarmthBits = 3
	detailWarmthMask = 1<<detailWarmthBits - 1
)

// message is the union of all messages of the simulator: each sets the fields that it needs.
type message struct {
	Name       string                `json:"msg"`
	Dispatcher int64                 `json:"dispatcher"`
	RequestID  balancer.RequestID    `json:"msg_id"`
	Attempt    int                   `json:"n"`
	Worker     balancer.WorkerID     `json:"runner"`
	Function   balancer.FunctionID   `json:"function"`
	Code       int                   `json:"code"` // see statuses
	Elapsed    settings.Microseconds `json:"duration_us"`
	Answered   bool                  `json:"closed"`
	Detail     int                   `json:"detail"` // see detailWarmthBits
	Copies     int                   `json:"copies"`

	// messageIncoming
	MemoryMB     float64               `json:"mem_mb"`
	WorkEstimate settings.Microseconds `json:"estimate_us"`
	Class        string                `json:"band"`
	TimeLeft     settings.Microseconds `json:"time_left_us"`
	Retry        bool                  `json:"again_by_client"`
	Concurrency  float64               `json:"width"`
	LoadTimeMS   float64               `json:"start_ms"`
	Tenant       any                   `json:"party"` // a name; any other type means no tenant

	// messageWake
	TimerID int64 `json:"ref"`

	// messageUp
	Seed     json.Number     `json:"rng_seed"`
	Settings json.RawMessage `json:"profile_data"`

	// messageCatalog and messageBackendsChanged
	ListNumber int      `json:"slot"`
	Scope      string   `json:"scope"` // see updateScopes
	Members    []member `json:"members"`
}

// member is one worker of a list.
type member struct {
	ID        balancer.WorkerID     `json:"runner"`
	Cell      int                   `json:"pod"`
	Condition string                `json:"condition"`
	Kind      string                `json:"flavor"`
	StartedAt settings.Microseconds `json:"boot_time_us"`
	Weight    *float64              `json:"rating"` // absent: 1
	Zone      string                `json:"area"`
}

// statuses translates the codes of outcomes. An unknown code is translated to the zero status, balancer.Failed.
var statuses = map[int]balancer.Status{
	200: balancer.OK,
	204: balancer.Miss,
	408: balancer.TimedOut,
	409: balancer.NotSent,
	429: balancer.Rejected,
	444: balancer.Cancelled,
	502: balancer.Failed,
	520: balancer.Reset,
	521: balancer.ConnectFailed,
}

var updateScopes = map[string]balancer.UpdateScope{
	"Complete":  balancer.ScopeFull,
	"Partial":   balancer.ScopeDelta,
	"Persisted": balancer.ScopeStale,
	"Error":     balancer.ScopeFailed,
}
