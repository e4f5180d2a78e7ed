package balancer

import "time"

// Action is something to carry out at once, in the order given.
type Action interface{ action() }

// Send begins an attempt.
type Send struct {
	ID          RequestID
	Worker      WorkerID
	Timeout     time.Duration // 0: until the client gives up
	StartWithin time.Duration // it must reach the worker within this, or not at all; 0: while its client waits
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer: a retry does no harm.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct{ ID RequestID }

// Load asks a worker to hold at least Copies of a function; 0 only asks how many it holds.
type Load struct {
	Worker   WorkerID
	Function FunctionID
	Copies   int
	// StartWithin is the time in which it must reach the worker, or not at all; 0: while its answer may come.
	StartWithin time.Duration
	// ProofAge is set for an order of a keepalive, where no copy stood before: once it is carried out, its
	// worker has begun a load no longer than this before the order was written. 0: it proves nothing.
	ProofAge time.Duration
}

// Unload removes a function's idle copies.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

// SetTimer asks for a TimerEvent after a time.
type SetTimer struct {
	After   time.Duration
	TimerID int64
}

// Watch subscribes to the endpoint list, or ends the subscription.
type Watch struct{ On bool }

// Fetch asks for the whole endpoint list once.
type Fetch struct{}

// LeasesChanged tells that leases of workers have ended or are live again. There is nothing to carry out.
type LeasesChanged struct {
	Workers   []WorkerID // sorted
	Ended     int        // since nothing new is known of the worker
	Contested int        // likewise, since it rejects and discovery does not say why
	Renewed   int
	Live      int           // of all workers
	SyncAge   time.Duration // since the poll of the last sync was sent
}

// Log tells the operators something.
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
