package balancer

import (
	"time"

	"kitefall/internal/permit"
)

// WorkerState is the state of a worker in the endpoint list.
type WorkerState int

// The states of a worker. Callers pass an unknown state as Draining.
const (
	Ready WorkerState = iota
	Draining
	Removed
)

// Permitted returns the state as package permit names it.
func (s WorkerState) Permitted() permit.WorkerState {
	switch s {
	case Ready:
		return permit.WorkerStateReady
	case Removed:
		return permit.WorkerStateRemoved
	default:
		return permit.WorkerStateDraining
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
	Started time.Duration // last start, on the clock of Handle's now; 0: long ago
}

// Event is an input of Balancer.Handle. The types with the suffix Event implement it.
type Event interface{ event() }

// UpdateScope is the extent of an EndpointsEvent.
type UpdateScope int

// The scopes of an update.
const (
	ScopeFull   UpdateScope = iota // all workers; those that are absent are removed
	ScopeDelta                     // changed entries only
	ScopeStale                     // like ScopeFull, but as last known, possibly long ago
	ScopeFailed                    // the poll failed or the watch broke
)

// EndpointsEvent is an update of the endpoint list.
type EndpointsEvent struct {
	Scope   UpdateScope
	Workers []Worker
	AsOf    time.Duration // with EndpointLeases only: the update describes the list at this time or later
}

// EndpointsSyncedEvent means that everything that discovery knew at AsOf has been delivered.
type EndpointsSyncedEvent struct{ AsOf time.Duration }

// PeerGoneEvent means that nothing listens at a worker's address, or that the worker closed its last
// connection.
type PeerGoneEvent struct{ Worker WorkerID }

// RequestEvent is the arrival of a request, which gets exactly one final answer.
type RequestEvent struct {
	ID           RequestID
	Function     FunctionID
	Class        string
	Tenant       string
	TimeLeft     time.Duration // from now to the deadline
	MemoryMB     float64       // memory of one copy, in MB; 0: unknown
	Concurrency  int           // requests that one loaded copy runs at a time; 0: unknown
	LoadTime     time.Duration // approximate usual duration of a load; 0: unknown
	WorkEstimate time.Duration // approximate time that a worker takes; 0: unknown
	Retry        bool          // the client marked the request as a retry
	KeyMissing   bool          // workers get no idempotency key with the request, so they cannot drop a repeat
}

// Status is the way in which an attempt or a load order ended.
type Status int

// The statuses. Callers pass an unknown status as Failed, since the attempt may have run.
const (
	Failed        Status = iota // the worker returned an error; the attempt may have run
	OK                          // served
	Rejected                    // rejected by the worker without being run
	TimedOut                    // no answer in time; the attempt may have run
	ConnectFailed               // never sent: no connection to the worker came up
	Reset                       // the connection broke; the attempt may have run
	Cancelled                   // cancelled; the attempt may have run
	NotSent                     // never sent: the request was over, or had no attempts left
	Miss                        // no copy is loaded at the worker, or the load that the attempt awaited failed
)

// Warmth is the state of a function at its worker when an attempt arrived, if the worker reports it.
type Warmth int

// The kinds of warmth.
const (
	WarmthUnknown Warmth = iota
	WarmthLoaded
	WarmthStartedLoad
	WarmthWaitedForLoad
	WarmthLoadFailed
)

// OutcomeEvent is the end of one attempt.
type OutcomeEvent struct {
	ID         RequestID
	Attempt    int // attempts are numbered from 0 in the order of their Send
	Worker     WorkerID
	Status     Status
	Elapsed    time.Duration
	Answered   bool // the client has its final answer
	Warmth     Warmth
	QueueDepth int // requests for the same function at the worker when the attempt arrived, where reported
	// Both are used with EndpointLeases only. WrittenAt is when the first byte of the attempt was written; 0:
	// never. ConnectedSince is the time since which there has always been a connection to the worker's process.
	WrittenAt      time.Duration
	ConnectedSince time.Duration
}

// StreamStartedEvent means that the stream of an attempt has begun. The client receives it, so that the
// request needs no other answer.
type StreamStartedEvent struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Elapsed time.Duration
}

// ClientGoneEvent means that the client of a request has left and needs no answer.
type ClientGoneEvent struct{ ID RequestID }

// LoadEndedEvent is the end of a Load.
type LoadEndedEvent struct {
	Worker   WorkerID
	Function FunctionID
	Status   Status
	Elapsed  time.Duration
	Copies   int // copies loaded at the worker now
	// The same as in OutcomeEvent, for the load order.
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
