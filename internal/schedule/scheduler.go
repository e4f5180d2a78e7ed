// Package schedule decides which deferred invocation runs next, and when.
//
// The package is a pure decision module: Handle takes an event and the current time and returns actions. The package does
// no I/O, reads no clock and starts no goroutines. Equal configurations, seeds, events and times give equal actions.
//
// A job is a deferred invocation. A run of a job is one call to the dispatcher, which ends served, rejected or failed.
// Package balancer chooses the worker of a run, makes further attempts within the run and decides on the admission of requests.
// The design of this package is explained in docs/design/deferred.md.
package schedule

import (
	"math/rand/v2"
	"time"
)

// Scheduler holds the waiting and the running jobs. It is not safe for concurrent use.
type Scheduler struct {
	config       Config
	lastSequence uint64 // sequence of the job added last

	jobs         map[string]*jobEntry // by ID
	deadlines    *orderedJobs         // all waiting jobs, by Expires
	delayed      *orderedJobs         // jobs in the state delayed, by NotBefore
	retries      *orderedJobs         // jobs in the state awaitingRetry, by NotBefore
	tenants      map[string]*tenant
	functions    map[string]*function
	runsInFlight int

	concurrency concurrencyLimit
	stall       stallDetector
	retryBudget tokenBucket
	coldStarts  coldStartBudget
	backoff     backoff
}

// New returns a scheduler without jobs, whose concurrency limit starts at the minimum. The seed determines the random
// pauses before retries. The error, if any, is that of Config.Validate.
func New(config Config, seed uint64, now time.Time) (*Scheduler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Scheduler{
		config:      config,
		jobs:        map[string]*jobEntry{},
		deadlines:   newOrderedJobs(byExpiry),
		delayed:     newOrderedJobs(byNotBefore),
		retries:     newOrderedJobs(byNotBefore),
		tenants:     map[string]*tenant{},
		functions:   map[string]*function{},
		concurrency: newConcurrencyLimit(config),
		stall:       newStallDetector(config, now),
		retryBudget: newTokenBucket(config.RetryRate, config.RetryBurst, now),
		coldStarts:  newColdStartBudget(config, now),
		backoff: backoff{
			base:   config.Backoff,
			max:    config.MaxBackoff,
			random: rand.New(rand.NewPCG(seed, 0)),
		},
	}, nil
}

// Waiting returns the number of waiting jobs: those without a run in flight.
func (s *Scheduler) Waiting() int { return len(s.jobs) - s.runsInFlight }

// Running returns the number of runs in flight.
func (s *Scheduler) Running() int { return s.runsInFlight }

// ConcurrencyLimit returns the number of runs that may be in flight now.
func (s *Scheduler) ConcurrencyLimit() int {
	if s.stall.stalled {
		return 1
	}
	return s.concurrency.allowed()
}

// Stalled reports whether the fleet is stalled: it serves no deferred invocations and only gets single runs as probes.
func (s *Scheduler) Stalled() bool { return s.stall.stalled }

// Handle processes an event and returns the actions to carry out. now must not be earlier than in the previous call.
func (s *Scheduler) Handle(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case AddEvent:
		s.handleAdd(now, e.Job)
	case RunEndedEvent:
		actions = s.handleRunEnded(now, e)
	case RunAbortedEvent:
		if job := s.jobs[e.ID]; job != nil && job.state == running {
			s.remove(job)
		}
	case RemoveEvent:
		if job := s.jobs[e.ID]; job != nil && job.state != running {
			s.remove(job)
		}
	case ForegroundEvent:
		if e.Rejected {
			s.concurrency.foregroundRejected(now)
		}
	}
	return s.advance(now, actions)
}

// advance expires jobs, makes jobs ready, starts runs and sets the timer, as far as the time and the limits allow. It
// appends the resulting actions to those given.
func (s *Scheduler) advance(now time.Time, actions []Action) []Action {
	actions = s.expireJobs(now, actions)
	s.releaseDelayed(now)
	s.releaseRetries(now)
	actions, selectAgainAt := s.startRuns(now, actions)
	return s.setTimer(now, selectAgainAt, actions)
}

// expireJobs removes the waiting jobs whose Expires time has come.
func (s *Scheduler) expireJobs(now time.Time, actions []Action) []Action {
	for {
		job, ok := s.deadlines.Min()
		if !ok || now.Before(job.Expires) {
			return actions
		}
		s.remove(job)
		actions = append(actions, Expire{job.ID})
	}
}

// releaseDelayed makes those delayed jobs ready whose NotBefore time has come.
func (s *Scheduler) releaseDelayed(now time.Time) {
	for {
		job, ok := s.delayed.Min()
		if !ok || now.Before(job.NotBefore) {
			return
		}
		s.delayed.Delete(job)
		s.enqueue(now, job)
	}
}

// releaseRetries makes those jobs ready that await a retry and whose NotBefore time has come, as far as the retry budget
// allows.
func (s *Scheduler) releaseRetries(now time.Time) {
	for {
		job, ok := s.retries.Min()
		if !ok || now.Before(job.NotBefore) || !s.retryBudget.take(now, 1) {
			return
		}
		s.retries.Delete(job)
		s.enqueue(now, job)
	}
}

// startRuns starts runs up to the concurrency limit. If no job may start although the limit is not reached,
// selectAgainAt is the time at which a batch or the cold-start budget may allow one. It is zero if only an event can.
func (s *Scheduler) startRuns(now time.Time, actions []Action) (_ []Action, selectAgainAt time.Time) {
	for s.runsInFlight < s.ConcurrencyLimit() && s.stall.mayStart(now) {
		job, nextSelection := s.selectJob(now)
		if job == nil {
			return actions, nextSelection
		}
		s.start(now, job)
		actions = append(actions, StartRun{job.ID})
	}
	return actions, time.Time{}
}

// minTimerDelay is the delay of a timer that is due at once: the start of a run may have added the token for which a
// retry waits.
const minTimerDelay = time.Millisecond

// setTimer appends a SetTimer action for the next time at which a job may expire, become ready or start. It appends none
// if only an event can cause such a change.
func (s *Scheduler) setTimer(now, selectAgainAt time.Time, actions []Action) []Action {
	var next earliestTime
	next.add(selectAgainAt)
	if job, ok := s.deadlines.Min(); ok {
		next.add(job.Expires)
	}
	if job, ok := s.delayed.Min(); ok {
		next.add(job.NotBefore)
	}
	if job, ok := s.retries.Min(); ok {
		next.add(laterOf(s.retryBudget.availableAt(now, 1), job.NotBefore))
	}
	if s.Waiting() > 0 && !s.stall.mayStart(now) {
		next.add(s.stall.nextProbe)
	}
	if next.IsZero() {
		return actions
	}
	at := next.Time
	if !at.After(now) {
		at = now.Add(minTimerDelay)
	}
	return append(actions, SetTimer{at})
}

// handleAdd adds a job in the state awaitingRetry, delayed or ready. It ignores a job whose ID is already present.
func (s *Scheduler) handleAdd(now time.Time, job Job) {
	if s.jobs[job.ID] != nil {
		return
	}
	if job.Cost <= 0 {
		job.Cost = 1
	}
	s.lastSequence++
	e := &jobEntry{
		Job:         job,
		sequence:    s.lastSequence,
		classWeight: s.config.Classes[job.Class],
		tenant:      s.tenantNamed(job.Tenant),
	}
	s.jobs[job.ID] = e
	s.deadlines.Set(e)
	switch {
	case job.Runs > 0:
		e.state = awaitingRetry
		s.retries.Set(e)
	case now.Before(job.NotBefore):
		e.state = delayed
		s.delayed.Set(e)
	default:
		s.enqueue(now, e)
	}
}
