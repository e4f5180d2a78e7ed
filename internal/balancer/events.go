package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// WorkerState is what the endpoint list says of a worker.
type WorkerState int

// The states. Anything unknown is to be given as Draining.
const (
	Ready WorkerState = iota
	Draining
	Removed
)

// Permitted translates the state for package permit.
func (s WorkerState) Permitted() permit.Worker {
	switch s {
	case Ready:
		return permit.WorkerReady
	case Removed:
		return permit.WorkerIsRemoved
	default:
		return permit.WorkerIsDraining
	}
}

// Worker is one entry of the endpoint list.
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

// UpdateScope says what an EndpointsEvent holds.
type UpdateScope int

// The scopes.
const (
	ScopeFull   UpdateScope = iota // all workers; whoever is absent is removed
	ScopeDelta                     // changed entries only
	ScopeStale                     // all workers as last known, possibly long ago
	ScopeFailed                    // the poll failed or the watch broke
)

// EndpointsEvent is an update of the endpoint list.
type EndpointsEvent struct {
	Scope   UpdateScope
	Workers []Worker
	AsOf    time.Duration // when it was so at the latest; with leases only
}

// EndpointsSyncedEvent means that everything was told that discovery knew at a time.
type EndpointsSyncedEvent struct{ AsOf time.Duration }

// PeerGoneEvent means that nothing listens at a worker's address, or that its last connection was closed
// there.
type PeerGoneEvent struct{ Worker WorkerID }

// RequestEvent hands over a request. It gets exactly one final answer.
type RequestEvent struct {
	ID           RequestID
	Function     FunctionID
	Class        string
	Tenant       string
	TimeLeft     time.Duration
	MemoryMB     float64       // of one copy, in MB; 0: unknown
	Concurrency  int           // requests that one loaded copy runs at a time; 0: unknown
	LoadTime     time.Duration // usual time of a load, roughly; 0: unknown
	WorkEstimate time.Duration // rough cost; 0: unknown
	Retry        bool          // the client marks a retry
}

// Status says how an attempt or a load ended.
type Status int

// The statuses. Anything unknown is to be given as Failed: it may have run.
const (
	Failed        Status = iota // the worker returned an error; may have run
	OK                          // served
	Rejected                    // rejected by the worker before it ran
	TimedOut                    // no answer in time; may have run
	ConnectFailed               // never sent
	Reset                       // the connection broke; may have run
	Cancelled                   // cancelled; may have run
	NotSent                     // never sent: the request was over, or had no attempts left
	Miss                        // not loaded there, or the load it waited for failed
)

// Warmth says in which state an attempt found its function, where the worker reports it.
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
	QueueDepth int // requests for the same function at the worker when this one came, where reported
	// With leases only: when its first byte was written, 0: it was not, and since when there has been a
	// connection to the worker without a gap.
	WrittenAt      time.Duration
	ConnectedSince time.Duration
}

// StreamStartedEvent means that a stream has begun; the client receives this attempt.
type StreamStartedEvent struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Elapsed time.Duration
}

// ClientGoneEvent means that the client has left and needs no answer any more.
type ClientGoneEvent struct{ ID RequestID }

// LoadEndedEvent ends a Load.
type LoadEndedEvent struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Elapsed  time.Duration
	Copies   int // copies loaded there now
	// As of an OutcomeEvent, with leases only.
	WrittenAt      time.Duration
	ConnectedSince time.Duration
}

// TimerEvent means that the timer of a SetTimer expired.
type TimerEvent struct{ TimerID int64 }

func (EndpointsEvent) event()       {}
func (EndpointsSyncedEvent) event() {}
func (PeerGoneEvent) event()        {}
func (RequestEvent) event()         {}
func (OutcomeEvent) event()         {}
func (StreamStartedEvent) event()   {}
func (ClientGoneEvent) event()      {}
func (LoadEndedEvent) event()       {}
func (TimerEvent) event()           {}
