package balancer

import "time"

// Action is an output of Balancer.Handle. The caller carries out actions at once, in the order returned.
type Action interface{ action() }

// Send starts an attempt.
type Send struct {
	ID      RequestID
	Worker  WorkerID
	Timeout time.Duration // longest time from now that the attempt is waited for; 0: until the deadline
	// StartWithin is the time from now within which the attempt must reach the worker; after it the
	// attempt must not be sent. 0: the request's deadline is the only limit.
	StartWithin time.Duration
}

// Cancel asks for a pending attempt to be cancelled.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer which says that the client may retry.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer which says that the request may have run, so that a retry may run it twice.
type Fail struct{ ID RequestID }

// Load orders a worker to hold at least Copies copies of a function. An order for 0 copies is a query: it
// only asks how many copies the worker holds.
type Load struct {
	Worker   WorkerID
	Function FunctionID
	Copies   int
	// StartWithin is the time from now within which the order must reach the worker; after it the order
	// must not be sent. 0: the order's timeout is the only limit.
	StartWithin time.Duration
	// ProofAge is set in the order of a keepalive, which is given where no copy was loaded. Once the worker
	// has carried out the order, this is evidence that the worker started a load at most ProofAge before the
	// order was written. 0: the order gives no evidence.
	ProofAge time.Duration
}

// Unload removes a function's idle copies.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// SetTimer asks for a TimerEvent with the same ID after a time.
type SetTimer struct {
	After   time.Duration
	TimerID int64
}

// Watch subscribes to the endpoint list, or ends the subscription.
type Watch struct{ On bool }

// Fetch asks for the whole endpoint list once.
type Fetch struct{}

// LeasesChanged reports that leases of workers have expired or are valid again. It needs no action.
type LeasesChanged struct {
	Workers   []WorkerID    // sorted
	Ended     int           // leases that expired because nothing renewed them
	Contested int           // leases that expired while contested, see permit.Lease
	Renewed   int           // leases that are valid again
	Live      int           // valid leases of all workers
	SyncAge   time.Duration // time since the poll of the last sync was sent
}

// Log is a message for the operators' log.
type Log struct{ Text string }

func (Send) action()          {}
func (Cancel) action()        {}
func (Reject) action()        {}
func (Fail) action()          {}
func (Load) action()          {}
func (Unload) action()        {}
func (SetTimer) action()      {}
func (Watch) action()         {}
func (Fetch) action()         {}
func (LeasesChanged) action() {}
func (Log) action()           {}
