package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// RequestID identifies a request at this dispatcher. Each retry by a client is a request with its own ID.
type RequestID int64

// WorkerID identifies a worker. It contains no information about the worker's zone, kind or age.
type WorkerID string

// FunctionID identifies the function that a request needs loaded.
type FunctionID string

// Idempotency tells whether the requests of a class may run more than once.
type Idempotency int

// The kinds of idempotency. Callers pass NotIdempotent for a kind that they do not know.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // workers in the same DedupScope drop repeats within DedupWindow
	NotIdempotent                        // must never run twice
)

// DedupScope tells which workers share a record of the keys that they have received.
type DedupScope int

// The deduplication scopes of a class that is IdempotentWithKey.
const (
	DedupFleet DedupScope = iota // all workers
	DedupZone                    // the workers of one zone
	DedupCell                    // the workers of one cell
)

// Class describes a class of requests.
type Class struct {
	Name             string
	Weight           float64       // value of an answer within LatencyObjective
	LateWeight       float64       // fraction of Weight that an answer after LatencyObjective earns
	LatencyObjective time.Duration // wanted answer time, from the arrival of the request
	ObjectiveStretch float64       // LatencyObjective grows by this multiple of the request's work estimate
	Deadline         time.Duration // how long the client waits in all, from its first try and over all retries
	Idempotency      Idempotency
	DedupScope       DedupScope    // IdempotentWithKey only
	DedupWindow      time.Duration // IdempotentWithKey only: how long after an attempt its repeats are dropped
	Streaming        bool          // answers are streamed, and a StreamStartedEvent is delivered for each stream
}

// Tenant is one of the users that share the fleet.
type Tenant struct {
	Name      string
	Quota     float64 // share of the fleet's capacity
	RateQuota float64 // requests per second within its quota, summed over all dispatchers
}

// Settings configure the balancer of one dispatcher.
type Settings struct {
	Dispatchers      int // number of dispatchers, including this one
	Position         int // index of this dispatcher among all dispatchers, from 0
	Zone             string
	Zones            []string
	MinEventInterval time.Duration // shortest time between two deliveries of events

	Classes            []Class
	Tenants            []Tenant
	ClientsMarkRetries bool    // clients mark their retries, see RequestEvent.Retry
	OverQuotaWeight    float64 // weight of requests beyond a tenant's quota, as a fraction of their class's
	WeightByWork       bool    // a class's weight applies to each unit of work rather than to each request

	// Permissions and limits of requests and attempts.
	CanCancel      bool          // Cancel may be used
	Hedging        bool          // two attempts of one request may be pending at the same time
	MaxAttempts    int           // attempts allowed per request
	MaxInFlight    int           // requests in flight at the same time
	SendRetryAfter bool          // a Reject may carry a RetryAfter
	MaxRetryAfter  time.Duration // upper limit of RetryAfter in a Reject

	// The endpoint list and connections to workers.
	PollEndpoints bool          // the list is delivered only after a Watch or Fetch action
	PollTimeout   time.Duration // with PollEndpoints: silence after which the list counts as known
	LiveWeights   bool          // Worker.Weight falls while the worker is under load
	DialTimeout   time.Duration // of one connection attempt to a worker

	// EndpointLeases gives each worker a lease, which expires unless it is renewed, see permit.Lease. It
	// requires that EndpointsSyncedEvent is delivered.
	EndpointLeases bool

	leaseTerms permit.LeaseTerms

	// Times of answers and drains, and slow start.
	AnswerGrace       time.Duration // a final answer may come this long after the deadline
	DrainGrace        time.Duration // time that a draining worker has for its requests
	SlowStartFloor    float64       // fraction of its capacity that a worker has at its start, at least
	SlowStartDuration time.Duration // time from a worker's start after which it is warm, at the latest

	// A worker that is warming up is overloaded if it receives more than OverloadMultiple times the requests
	// that its present capacity allows, for OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	// Loading of functions.
	LoadOrders  bool          // Load and Unload may be used
	LoadOnMiss  bool          // a worker that lacks a function loads it without an order
	IdleTTL     time.Duration // how long an idle copy stays loaded
	LoadTimeout time.Duration // a load order is answered within this time after it was given

	// The load budget: in each LoadWindow, LoadBurst load orders are allowed, plus LoadRatio for each request
	// that workers took in that window. If LoadWindow is 0, load orders are not limited.
	LoadBurst  float64
	LoadRatio  float64
	LoadWindow time.Duration

	ReportsWarmth     bool // each OutcomeEvent carries a Warmth
	ReportsQueueDepth bool // each OutcomeEvent carries a QueueDepth
	MemoryByKind      map[string]float64
}
