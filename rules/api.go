// Package rules decides, for one dispatcher, where calls go that need a loaded program, where programs are
// loaded, and how each request ends.
//
// A [Balancer] is fed events in time order and returns the actions to carry out. It has no clock, does no I/O
// and starts no goroutines: equal settings, seed and events give equal actions. It is not safe for
// concurrent use. All decisions are in rules.go and health.go; this file only names what goes in and out.
package rules

import "time"

// RequestID names one try of a client's request at this dispatcher.
type RequestID int64

// WorkerID names a worker. It says nothing of the worker's zone, kind or age.
type WorkerID string

// FunctionID names the program that a call needs loaded.
type FunctionID string

// Effect says how far the requests of a class may be repeated.
type Effect int

// The effects. Anything unknown is to be given as Unsafe.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // workers of one Group drop repeats within KeyWindow
	Unsafe               // must never run twice
)

// Group says which workers share the keys that they have seen.
type Group int

// The groups of a keyed class.
const (
	GroupAll  Group = iota // all workers
	GroupZone              // the workers of one zone
	GroupCell              // the workers of one cell
)

// Class is one class of requests.
type Class struct {
	Name       string
	Worth      float64       // worth of an answer within Aim
	LateWorth  float64       // share of Worth earned after Aim, before Deadline
	Aim        time.Duration // answer wanted within
	AimStretch float64       // Aim grows by this multiple of the request's own work
	Deadline   time.Duration // the client's patience over all its tries
	Effect     Effect
	Group      Group         // keyed classes only
	KeyWindow  time.Duration // keyed classes only: how long repeats are dropped
	Stream     bool          // answers are streamed: Started is delivered
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name      string
	Share     float64
	Allowance float64 // requests per second within its share, over all dispatchers
}

// Settings are what a dispatcher is told at start.
type Settings struct {
	Peers    int // dispatchers in all, this one included
	Position int
	Zone     string
	Zones    []string
	Step     time.Duration // shortest time between two deliveries of events

	Classes        []Class
	Tenants        []Tenant
	MarksRepeats   bool    // clients mark their retries
	OverShareWorth float64 // worth of what is beyond a tenant's share, as a part of the class's
	WorthByWork    bool    // worth counts by unit of work rather than by request

	// What is allowed.
	Cancel        bool
	SecondCopies  bool // two attempts of one request may be out at a time
	MaxAttempts   int
	MaxOpen       int
	RetryAfter    bool // a Refuse may carry advice
	MaxRetryAfter time.Duration

	// Following the fleet.
	AskList     bool          // the list comes only after Watch or Fetch
	AskWithin   time.Duration // with AskList: longest silence before the list counts as known
	LiveWeights bool          // Worker.Weight falls with the worker's load
	DialTimeout time.Duration

	// The rules' figures.
	AnswerSlack  time.Duration // a final answer is in time this long past the deadline
	DrainGrace   time.Duration
	ColdFrom     float64       // share of its capacity a worker starts with, at least
	ColdRamp     time.Duration // a worker is warm after this, at the latest
	FallMultiple float64       // more than this multiple of its capacity ...
	FallSpan     time.Duration // ... for this long fells a cold worker

	// Loading.
	Orders       bool // Load and Drop are allowed
	LoadOnMiss   bool // a worker that lacks the function loads it by itself
	Keep         time.Duration
	OrderTimeout time.Duration
	LoadFree     float64       // rationing: orders allowed within LoadWindow ...
	LoadShare    float64       // ... plus this many for each request taken in it
	LoadWindow   time.Duration // 0: loads are not rationed
	TellsWarm    bool          // outcomes carry a Warmth
	TellsCrowd   bool          // outcomes carry a crowd
	MemoryByKind map[string]float64
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
type ListScope int

// The scopes.
const (
	ListFull   ListScope = iota // all workers; whoever is absent is removed
	ListChange                  // changed entries only
	ListStale                   // all workers as last held, possibly long ago
	ListFailed                  // asking failed or the subscription broke
)

// ListEvent brings news of the fleet.
type ListEvent struct {
	Scope   ListScope
	Workers []Worker
}

// RequestEvent hands over a request. Exactly one final answer is owed for it.
type RequestEvent struct {
	ID       RequestID
	Function FunctionID
	Class    string
	Tenant   string
	TimeLeft time.Duration
	Memory   float64       // of one copy, in MB; 0: not told
	Lanes    int           // calls that one copy runs at a time; 0: not told
	LoadTime time.Duration // usual time of a load, roughly; 0: not told
	Work     time.Duration // rough cost; 0: not told
	Repeat   bool          // the client marks a retry
}

// Status says how an attempt or a load ended.
type Status int

// The statuses. Anything unknown is to be given as Failed: it may have run.
const (
	Failed        Status = iota // the worker returned an error; may have run
	OK                          // served
	Full                        // turned away unseen
	TimedOut                    // no answer in time; may have run
	ConnectFailed               // never sent
	Reset                       // the connection broke; may have run
	Cancelled                   // called off; may have run
	Moot                        // never sent: the request was over, or had no attempts left
	Miss                        // not loaded there, or the load it waited for failed
)

// Warmth says what an answered call found, where that is told.
type Warmth int

// The kinds of warmth.
const (
	WarmthUntold Warmth = iota
	FoundLoaded
	BeganLoad
	WaitedForLoad
	LoadFailed
)

// OutcomeEvent ends one attempt.
type OutcomeEvent struct {
	ID      RequestID
	Attempt int // attempts are numbered from 0 in the order of their Send
	Worker  WorkerID
	Status  Status
	Took    time.Duration
	Closed  bool // the client has its final answer
	Warmth  Warmth
	Crowd   int // requests for the same function held when this one came, where told
}

// StartedEvent tells that a stream has begun; the attempt is now the client's.
type StartedEvent struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Took    time.Duration
}

// GoneEvent tells that the client has left; nothing is owed any more.
type GoneEvent struct{ ID RequestID }

// LoadedEvent answers a Load.
type LoadedEvent struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Took     time.Duration
	Copies   int // copies loaded there now
}

// WakeEvent tells that a Wake fell due.
type WakeEvent struct{ Ref int64 }

func (ListEvent) event()    {}
func (RequestEvent) event() {}
func (OutcomeEvent) event() {}
func (StartedEvent) event() {}
func (GoneEvent) event()    {}
func (LoadedEvent) event()  {}
func (WakeEvent) event()    {}

// Action is something to carry out at once, in the order given.
type Action interface{ action() }

// Send begins an attempt.
type Send struct {
	ID     RequestID
	Worker WorkerID
	Limit  time.Duration // time-out; 0: until the client gives up
	Within time.Duration // it must begin within this, or not at all; 0: while its client waits
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is a final answer: trying again is harmless.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// Load asks a worker to hold at least Copies of a function; 0 only asks.
type Load struct {
	Worker   WorkerID
	Function FunctionID
	Copies   int
	Within   time.Duration // it must begin within this, or not at all; 0: while its answer may come
}

// Drop unloads a function's idle copies.
type Drop struct {
	Worker   WorkerID
	Function FunctionID
}

// Wake asks for a WakeEvent after a time.
type Wake struct {
	After time.Duration
	Ref   int64
}

// Watch subscribes to the list of workers, or ends the subscription.
type Watch struct{ On bool }

// Fetch asks for the whole list once.
type Fetch struct{}

// Log tells the operators something.
type Log struct{ Text string }

func (Send) action()   {}
func (Cancel) action() {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Load) action()   {}
func (Drop) action()   {}
func (Wake) action()   {}
func (Watch) action()  {}
func (Fetch) action()  {}
func (Log) action()    {}
