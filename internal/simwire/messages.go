package simwire

import (
	"encoding/json"

	"kitefall/internal/balancer"
	"kitefall/internal/settings"
)

// Names of the messages from the simulator.
const (
	messageCatalog         = "catalog"          // defines a worker list
	messageUp              = "up"               // starts a dispatcher
	messageHalt            = "halt"             // ends a dispatcher
	messageBackendsChanged = "backends_changed" // updates the endpoint list of a dispatcher
	messageIncoming        = "incoming"         // hands over a request
	messageFinished        = "finished"         // reports the outcome of an attempt
	messageEstablished     = "established"      // reports that a stream has started
	messageClientLeft      = "client_left"      // reports that the client of a request has left
	messageStands          = "stands"           // reports the end of a load order
	messageWake            = "wake"             // reports that a timer has expired
)

// The field detail of the message finished holds the warmth in its lowest bits and the queue depth in the bits above.
const (
	detailWarmthBits = 3
	detailWarmthMask = 1<<detailWarmthBits - 1
)

// inputMessage holds any message from the simulator. Each message sets only its own fields. The fields below the names of
// messages are set only by these messages.
type inputMessage struct {
	Name       string                `json:"msg"`
	Dispatcher int64                 `json:"dispatcher"`
	RequestID  balancer.RequestID    `json:"msg_id"`
	Attempt    int                   `json:"n"`
	Worker     balancer.WorkerID     `json:"runner"`
	Function   balancer.FunctionID   `json:"function"`
	Code       int                   `json:"code"` // see statuses
	Elapsed    settings.Microseconds `json:"duration_us"`
	Answered   bool                  `json:"closed"` // the client has its final answer
	Detail     int                   `json:"detail"` // see detailWarmthBits
	Copies     int                   `json:"copies"` // copies that the worker holds at the end of a load order

	// messageIncoming
	MemoryMB     float64               `json:"mem_mb"`      // of one copy of the function
	WorkEstimate settings.Microseconds `json:"estimate_us"` // approximate time that the request takes at a worker
	Class        string                `json:"band"`
	TimeLeft     settings.Microseconds `json:"time_left_us"`
	Retry        bool                  `json:"again_by_client"` // the client marks a retry
	Concurrency  float64               `json:"width"`           // requests that one loaded copy runs at a time
	LoadTimeMS   float64               `json:"start_ms"`        // usual time of a load
	Tenant       any                   `json:"party"`           // a name; any other type means no tenant

	// messageWake
	TimerID int64 `json:"ref"`

	// messageUp
	Seed     json.Number     `json:"rng_seed"`
	Settings json.RawMessage `json:"profile_data"`

	// messageCatalog and messageBackendsChanged
	ListID  int         `json:"slot"`  // ID of a worker list, see Decoder
	Scope   string      `json:"scope"` // see updateScopes
	Entries []listEntry `json:"members"`
}

// listEntry is one worker of a worker list.
type listEntry struct {
	ID        balancer.WorkerID     `json:"runner"`
	Cell      int                   `json:"pod"`
	Condition string                `json:"condition"`
	Kind      string                `json:"flavor"`
	StartedAt settings.Microseconds `json:"boot_time_us"` // last start of the worker, on the simulator's clock; 0: long ago
	Weight    *float64              `json:"rating"`       // absent: 1
	Zone      string                `json:"area"`
}

// statuses maps the codes of outcomes to statuses. An unknown code yields the zero value, balancer.Failed.
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

// updateScopes maps the scopes of the message backends_changed to those of package balancer.
var updateScopes = map[string]balancer.UpdateScope{
	"Complete":  balancer.ScopeFull,
	"Partial":   balancer.ScopeDelta,
	"Persisted": balancer.ScopeStale,
	"Error":     balancer.ScopeFailed,
}
