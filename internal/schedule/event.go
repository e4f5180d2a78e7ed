package schedule

import "time"

// Job is a deferred invocation for which runs are scheduled.
type Job struct {
	ID        string
	Tenant    string
	Class     string
	Function  string    // one loaded copy can serve all jobs of the same function
	Urgency   uint8     // as in RFC 9218: 0 is the most urgent
	Cost      float64   // estimated work, charged to the tenant for each run; 0 or less counts as 1
	NotBefore time.Time // earliest start of the next run
	Expires   time.Time // a job whose next run has not started by then is removed with an Expire action
	Runs      int       // runs started so far
}

// Event is an input of the scheduler. The types with the suffix Event implement it.
type Event interface{ event() }

// AddEvent adds a job, either a new one or one to retry. The event is ignored if the scheduler has a job with this ID.
type AddEvent struct{ Job }

// Result is the result of a run.
type Result int

// The results of a run.
const (
	Served   Result = iota
	Rejected        // the function was not executed
	Failed          // the function may have been executed
)

// RunEndedEvent reports the end of a run that a StartRun action started. Unless the result is Served, the scheduler
// returns a Retry action. The event is ignored if the job has no run in flight.
type RunEndedEvent struct {
	ID         string
	Result     Result
	RetryAfter time.Duration // minimum pause before the next run, as requested by a rejection; 0: none
	Elapsed    time.Duration // from the start of the run to its end
}

// RunAbortedEvent reports that a StartRun action could not be carried out, or that its run was abandoned. The scheduler
// drops the job, and the run does not count as served or failed.
type RunAbortedEvent struct{ ID string }

// RemoveEvent removes a waiting job. It has no effect on a running job: a RunEndedEvent or a RunAbortedEvent removes
// that one.
type RemoveEvent struct{ ID string }

// ForegroundEvent reports the end of a foreground invocation: one that is not deferred, so it does not pass through the
// scheduler.
type ForegroundEvent struct{ Rejected bool }

// TickEvent reports that the time of the last SetTimer action has come.
type TickEvent struct{}

func (AddEvent) event()        {}
func (RunEndedEvent) event()   {}
func (RunAbortedEvent) event() {}
func (RemoveEvent) event()     {}
func (ForegroundEvent) event() {}
func (TickEvent) event()       {}

// Action is an output of the scheduler. The caller carries out actions in the order returned.
type Action interface{ action() }

// StartRun starts a run of a job.
type StartRun struct{ ID string }

// Retry answers a RunEndedEvent whose result is not Served. The scheduler has dropped the job; an AddEvent with the
// number of runs so far schedules the next run.
type Retry struct {
	ID string
	At time.Time // earliest start of the next run; zero: the job has no runs left
}

// Expire reports that a waiting job has reached its Expires time. The scheduler has dropped the job.
type Expire struct{ ID string }

// SetTimer asks for a TickEvent at the given time. It replaces any earlier SetTimer.
type SetTimer struct{ At time.Time }

func (StartRun) action() {}
func (Retry) action()    {}
func (Expire) action()   {}
func (SetTimer) action() {}
