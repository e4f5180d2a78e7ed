package schedule

import "time"

// Job is a deferred invocation that waits for a run.
type Job struct {
	ID        string
	Tenant    string
	Class     string
	Function  string    // jobs of the same function can be served by the same loaded copy
	Urgency   uint8     // as in RFC 9218: 0 is the most urgent
	Cost      float64   // work estimate, charged to the tenant for each run; 0 or less counts as 1
	NotBefore time.Time // the next run does not start before
	Expires   time.Time // the job is given up if its next run has not started by then
	Runs      int       // runs started so far
}

// Event is something that happened. The types with the suffix Event implement it.
type Event interface{ event() }

// AddEvent hands over a job, either a new one or one that is retried. A job whose ID is known already is ignored.
type AddEvent struct{ Job }

// Result is how a run ended.
type Result int

// The results of a run.
const (
	Served   Result = iota
	Rejected        // it was never executed
	Failed          // it may have been executed
)

// RunEndedEvent ends a run that a StartRun action began. If the job was not served, a Retry action answers it.
type RunEndedEvent struct {
	ID         string
	Result     Result
	RetryAfter time.Duration // the least pause that a rejection asks for
	Elapsed    time.Duration // since the run was started
}

// RunAbortedEvent takes back a StartRun action that could not be carried out. The job is forgotten.
type RunAbortedEvent struct{ ID string }

// RemoveEvent takes out a waiting job. It has no effect on a job that is running: its run ends by itself.
type RemoveEvent struct{ ID string }

// ForegroundEvent reports how a request ended that was not deferred.
type ForegroundEvent struct{ Rejected bool }

// TickEvent lets time pass. It is the answer to a SetTimer action.
type TickEvent struct{}

func (AddEvent) event()        {}
func (RunEndedEvent) event()   {}
func (RunAbortedEvent) event() {}
func (RemoveEvent) event()     {}
func (ForegroundEvent) event() {}
func (TickEvent) event()       {}

// Action is something to carry out. Actions are carried out in the order given.
type Action interface{ action() }

// StartRun starts a run of a job.
type StartRun struct{ ID string }

// Retry answers the RunEndedEvent of a job that was not served. The job has been forgotten; to run it again, hand it
// over with an AddEvent.
type Retry struct {
	ID string
	At time.Time // when the next run may start; zero: there is none
}

// Expire reports that a waiting job reached its deadline. The job has been forgotten.
type Expire struct{ ID string }

// SetTimer asks for a TickEvent at a time. It replaces any earlier SetTimer.
type SetTimer struct{ At time.Time }

func (StartRun) action() {}
func (Retry) action()    {}
func (Expire) action()   {}
func (SetTimer) action() {}
