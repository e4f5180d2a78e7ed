// Package rules decides, for one dispatcher, where calls go that need a loaded program, where programs are
// loaded, and how each request ends.
//
// A [Balancer] is fed events in time order and returns the actions to carry out. It has no clock, does no I/O
// and starts no goroutines: equal settings, seed and events give equal actions. It is not safe for
// concurrent use. All decisions are in rules.go and health.go; this file only names what goes in and out.
package balancer

import "time"

// RequestID names one try of a client's request at this dispatcher.
type RequestID int64

// WorkerID names a worker. It says nothing of the worker's zone, kind or age.
type WorkerID string

// FunctionID names the program that a call needs loaded.
type FunctionID string

// Effect says how far the requests of a class may be repeated.
type Idempotency int

// The effects. Anything unknown is to be given as Unsafe.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // workers of one Group drop repeats within KeyWindow
	NotIdempotent                        // must never run twice
)

// Group says which workers share the keys that they have seen.
type DedupScope int

// The groups of a keyed class.
const (
	DedupFleet DedupScope = iota // all workers
	DedupZone                    // the workers of one zone
	DedupCell                    // the workers of one cell
)

// Class is one class of requests.
type Class struct {
	Name             string
	Weight           float64       // worth of an answer within Aim
	LateWeight       float64       // share of Worth earned after Aim, before Deadline
	LatencyObjective time.Duration // answer wanted within
	ObjectiveStretch float64       // Aim grows by this multiple of the request's own work
	Deadline         time.Duration // the client's patience over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // keyed classes only
	DedupWindow      time.Duration // keyed classes only: how long repeats are dropped
	Streaming        bool          // answers are streamed: Started is delivered
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name      string
	Quota     float64
	RateQuota float64 // requests per second within its share, over all dispatchers
}

// Settings are what a dispatcher is told at start.
type Settings struct {
	Dispatchers      int // dispatchers in all, this one included
	Position         int
	Zone             string
	Zones            []string
	MinEventInterval time.Duration // shortest time between two deliveries of events

	Classes            []Class
	Tenants            []Tenant
	ClientsMarkRetries bool    // clients mark their retries
	OverQuotaWeight    float64 // worth of what is beyond a tenant's share, as a part of the class's
	WeightByWork       bool    // worth counts by unit of work rather than by request

	// What is allowed.
	CanCancel      bool
	Hedging        bool // two attempts of one request may be out at a time
	MaxAttempts    int
	MaxInFlight    int
	SendRetryAfter bool // a Refuse may carry advice
	MaxRetryAfter  time.Duration

	// Following the fleet.
	PollEndpoints bool          // the list comes only after Watch or Fetch
	PollTimeout   time.Duration // with AskList: longest silence before the list counts as known
	LiveWeights   bool          // Worker.Weight falls with the worker's load
	DialTimeout   time.Duration

	// The rules' figures.
	AnswerGrace       time.Duration // a final answer is in time this long past the deadline
	DrainGrace        time.Duration
	SlowStartFloor    float64       // share of its capacity a worker starts with, at least
	SlowStartDuration time.Duration // a worker is warm after this, at the latest
	OverloadMultiple  float64       // more than this multiple of its capacity ...
	OverloadWindow    time.Duration // ... for this long fells a cold worker

	// Loading.
	LoadOrders        bool // Load and Drop are allowed
	LoadOnMiss        bool // a worker that lacks the function loads it by itself
	IdleTTL           time.Duration
	LoadTimeout       time.Duration
	LoadBurst         float64       // rationing: orders allowed within LoadWindow ...
	LoadRatio         float64       // ... plus this many for each request taken in it
	LoadWindow        time.Duration // 0: loads are not rationed
	ReportsWarmth     bool          // outcomes carry a Warmth
	ReportsQueueDepth bool          // outcomes carry a crowd
	MemoryByKind      map[string]float64
}

// WorkerState is what the list says of a worker.
type WorkerState int

// The states. Anything unknown is to be given as Draining.
const (
	Ready WorkerState = iota
	Draining
	Removed
)

// Worker is one entry of the list of workers.
type Worker struct {
	ID      WorkerID
	State   WorkerState
	Kind    string
	Zone    string
	Cell    int
	Weight  float64
	Started time.Duration // last start, on the clock of now; 0: long ago
}

// Event is something that happened. The types with the suffix Event implement it.
type Event interface{ event() }

// ListScope says what a ListEvent holds.
type UpdateScope int

// The scopes.
const (
	ScopeFull   UpdateScope = iota // all workers; whoever is absent is removed
	ScopeDelta                     // changed entries only
	ScopeStale                     // all workers as last held, possibly long ago
	ScopeFailed                    // asking failed or the subscription broke
)

// ListEvent brings news of the fleet.
type EndpointsEvent struct {
	Scope   UpdateScope
	Workers []Worker
}

// RequestEvent hands over a request. Exactly one final answer is owed for it.
type RequestEvent struct {
	ID           RequestID
	Function     FunctionID
	Class        string
	Tenant       string
	TimeLeft     time.Duration
	MemoryMB     float64       // of one copy, in MB; 0: not told
	Concurrency  int           // calls that one copy runs at a time; 0: not told
	LoadTime     time.Duration // usual time of a load, roughly; 0: not told
	WorkEstimate time.Duration // rough cost; 0: not told
	Retry        bool          // the client marks a retry
}

// Status says how an attempt or a load ended.
type Status int

// The statuses. Anything unknown is to be given as Failed: it may have run.
const (
	Failed        Status = iota // the worker returned an error; may have run
	OK                          // served
	Rejected                    // turned away unseen
	TimedOut                    // no answer in time; may have run
	ConnectFailed               // never sent
	Reset                       // the connection broke; may have run
	Cancelled                   // called off; may have run
	NotSent                     // never sent: the request was over, or had no attempts left
	Miss                        // not loaded there, or the load it waited for failed
)

// Warmth says what an answered call found, where that is told.
type Warmth int

// The kinds of warmth.
const (
	WarmthUnknown Warmth = iota
	WarmthLoaded
	WarmthStartedLoad
	WarmthWaitedForLoad
	WarmthLoadFailed
)

// OutcomeEvent ends one attempt.
type OutcomeEvent struct {
	ID         RequestID
	Attempt    int // attempts are numbered from 0 in the order of their Send
	Worker     WorkerID
	Status     Status
	Elapsed    time.Duration
	Answered   bool // the client has its final answer
	Warmth     Warmth
	QueueDepth int // requests for the same function held when this one came, where told
}

// StartedEvent tells that a stream has begun; the attempt is now the client's.
type StreamStartedEvent struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Elapsed time.Duration
}

// GoneEvent tells that the client has left; nothing is owed any more.
type ClientGoneEvent struct{ ID RequestID }

// LoadedEvent answers a Load.
type LoadEndedEvent struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Elapsed  time.Duration
	Copies   int // copies loaded there now
}

// WakeEvent tells that a Wake fell due.
type TimerEvent struct{ TimerID int64 }

func (EndpointsEvent) event()     {}
func (RequestEvent) event()       {}
func (OutcomeEvent) event()       {}
func (StreamStartedEvent) event() {}
func (ClientGoneEvent) event()    {}
func (LoadEndedEvent) event()     {}
func (TimerEvent) event()         {}

// Action is something to carry out at once, in the order given.
type Action interface{ action() }

// Send begins an attempt.
type Send struct {
	ID          RequestID
	Worker      WorkerID
	Timeout     time.Duration // time-out; 0: until the client gives up
	StartWithin time.Duration // it must begin within this, or not at all; 0: while its client waits
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is a final answer: trying again is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// Load asks a worker to hold at least Copies of a function; 0 only asks.
type Load struct {
	Worker      WorkerID
	Function    FunctionID
	Copies      int
	StartWithin time.Duration // it must begin within this, or not at all; 0: while its answer may come
}

// Drop unloads a function's idle copies.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// Wake asks for a WakeEvent after a time.
type SetTimer struct {
	After   time.Duration
	TimerID int64
}

// Watch subscribes to the list of workers, or ends the subscription.
type Watch struct{ On bool }

// Fetch asks for the whole list once.
type Fetch struct{}

// Log tells the operators something.
type Log struct{ Text string }

func (Send) action()     {}
func (Cancel) action()   {}
func (Reject) action()   {}
func (Fail) action()     {}
func (Load) action()     {}
func (Unload) action()   {}
func (SetTimer) action() {}
func (Watch) action()    {}
func (Fetch) action()    {}
func (Log) action()      {}
