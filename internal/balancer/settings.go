package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// RequestID names one try of a client's request at this dispatcher.
type RequestID int64

// WorkerID names a worker. It says nothing of the worker's zone, kind or age.
type WorkerID string

// FunctionID names the program that a request needs loaded.
type FunctionID string

// Idempotency says how far the requests of a class may be repeated.
type Idempotency int

// The kinds of idempotency. Anything unknown is to be given as NotIdempotent.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // workers of one DedupScope drop repeats within DedupWindow
	NotIdempotent                        // must never run twice
)

// DedupScope says which workers share the keys that they have seen.
type DedupScope int

// The scopes of a class that is idempotent with a key.
const (
	DedupFleet DedupScope = iota // all workers
	DedupZone                    // the workers of one zone
	DedupCell                    // the workers of one cell
)

// Class is one class of requests.
type Class struct {
	Name             string
	Weight           float64       // value of an answer within LatencyObjective
	LateWeight       float64       // share of Weight earned after LatencyObjective, before Deadline
	LatencyObjective time.Duration // an answer is wanted within this
	ObjectiveStretch float64       // LatencyObjective grows by this multiple of the request's work estimate
	Deadline         time.Duration // how long the client waits, over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // IdempotentWithKey only
	DedupWindow      time.Duration // IdempotentWithKey only: how long repeats are dropped
	Streaming        bool          // answers are streamed: StreamStartedEvent is delivered
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name      string
	Quota     float64
	RateQuota float64 // requests per second within its quota, over all dispatchers
}

// Settings are what a dispatcher is told at start.
type Settings struct {
	Dispatchers      int // dispatchers in all, this one included
	Position         int // of this dispatcher among them, from 0
	Zone             string
	Zones            []string
	MinEventInterval time.Duration // shortest time between two deliveries of events

	Classes            []Class
	Tenants            []Tenant
	ClientsMarkRetries bool    // clients mark their retries
	OverQuotaWeight    float64 // weight of requests beyond a tenant's quota, as a part of the class's
	WeightByWork       bool    // the weight counts by unit of work rather than by request

	// What is allowed.
	CanCancel      bool
	Hedging        bool // two attempts of one request may be in flight at a time
	MaxAttempts    int  // attempts of one request
	MaxInFlight    int
	SendRetryAfter bool // a Reject may carry RetryAfter
	MaxRetryAfter  time.Duration

	// Following the fleet.
	PollEndpoints bool          // the list comes only after Watch or Fetch
	PollTimeout   time.Duration // with PollEndpoints: longest silence before the list counts as known
	LiveWeights   bool          // Worker.Weight falls with the worker's load
	DialTimeout   time.Duration
	// EndpointLeases has what the list says of a worker expire, see permit.Lease. EndpointsSyncedEvent have
	// to come.
	EndpointLeases bool
	leaseTerms     permit.LeaseTerms

	// Limits of the fleet.
	AnswerGrace       time.Duration // a final answer is in time this long past the deadline
	DrainGrace        time.Duration
	SlowStartFloor    float64       // share of its capacity that a worker starts with, at least
	SlowStartDuration time.Duration // a worker is warm after this, at the latest
	OverloadMultiple  float64       // more than this multiple of its capacity ...
	OverloadWindow    time.Duration // ... for this long overloads a worker that is warming up

	// Loading.
	LoadOrders        bool // Load and Unload are allowed
	LoadOnMiss        bool // a worker that lacks the function loads it by itself
	IdleTTL           time.Duration
	LoadTimeout       time.Duration
	LoadBurst         float64       // load budget: orders allowed within LoadWindow ...
	LoadRatio         float64       // ... plus this many for each request taken in it
	LoadWindow        time.Duration // 0: load orders are not budgeted
	ReportsWarmth     bool          // outcomes carry a Warmth
	ReportsQueueDepth bool          // outcomes carry a QueueDepth
	MemoryByKind      map[string]float64
}
