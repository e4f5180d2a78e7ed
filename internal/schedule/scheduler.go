// Package schedule decides which deferred invocation runs next, and when.
//
// It is a pure decision module: an event and the time go in, actions come out. It does no I/O, reads no clock and
// starts no goroutine. Equal settings, seed and events give equal actions.
//
// A run is one request to the dispatcher, which ends served, rejected or failed. The worker that serves it, the
// retries within it and the admission of requests are decided by package balancer. The choices made here are explained
// in docs/design/deferred.md.
package schedule

import (
	"math/rand/v2"
	"time"
)

// Scheduler holds the jobs that wait and those that run. It is not safe for concurrent use.
type Scheduler struct {
	config       Config
	nextSequence uint64

	jobs         map[string]*entry // by ID
	deadlines    *orderedJobs      // all jobs that wait, by expiry
	delayed      *orderedJobs      // jobs in the state delayed, by NotBefore
	retries      *orderedJobs      // jobs in the state awaitingRetry, by NotBefore
	tenants      map[string]*tenant
	functions    map[string]*function
	runsInFlight int

	concurrency concurrencyLimit
	stall       stallDetector
	retryBudget tokenBucket
	coldStarts  coldStartBudget
	backoff     backoff
}

// New returns a scheduler without jobs, whose concurrency begins at the minimum. The seed determines the backoff of
// retries. It returns the error of Config.Validate, if any.
func New(config Config, seed uint64, now time.Time) (*Scheduler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Scheduler{
		config:      config,
		jobs:        map[string]*entry{},
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

// Waiting returns the number of jobs that wait for a run.
func (s *Scheduler) Waiting() int { return len(s.jobs) - s.runsInFlight }

// Running returns the number of runs in flight.
func (s *Scheduler) Running() int { return s.runsInFlight }

// Limit returns the number of runs that may be in flight now.
func (s *Scheduler) Limit() int {
	if s.stall.stalled {
		return 1
	}
	return s.concurrency.allowed()
}

// Stalled reports whether the fleet serves no deferred invocation and is only probed.
func (s *Scheduler) Stalled() bool { return s.stall.stalled }

// Handle takes in an event and returns the actions to carry out. The time must not go back between calls.
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

// advance does all that the time and the state allow: it expires jobs, makes jobs ready, starts runs and sets the
// timer. It appends its actions to those given.
func (s *Scheduler) advance(now time.Time, actions []Action) []Action {
	actions = s.expireJobs(now, actions)
	s.releaseDelayed(now)
	s.releaseRetries(now)
	actions, selectAgainAt := s.startRuns(now, actions)
	return s.setTimer(now, selectAgainAt, actions)
}

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

// releaseDelayed makes the jobs ready whose NotBefore has come.
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

// releaseRetries makes the retries ready whose NotBefore has come, as far as the retry budget goes.
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

// startRuns starts runs up to the limit. If there is room but no job that may start now, it returns the time at which
// to select again; zero: none.
func (s *Scheduler) startRuns(now time.Time, actions []Action) (_ []Action, selectAgainAt time.Time) {
	for s.runsInFlight < s.Limit() && s.stall.mayStart(now) {
		job, again := s.selectJob(now)
		if job == nil {
			return actions, again
		}
		s.start(now, job)
		actions = append(actions, StartRun{job.ID})
	}
	return actions, time.Time{}
}

// minTimerDelay is the delay of a timer whose time has already come.
const minTimerDelay = time.Millisecond

// setTimer appends the action that asks for a TickEvent at the next time at which something may be done.
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

func (s *Scheduler) handleAdd(now time.Time, job Job) {
	if s.jobs[job.ID] != nil {
		return
	}
	if job.Cost <= 0 {
		job.Cost = 1
	}
	s.nextSequence++
	e := &entry{
		Job:         job,
		sequence:    s.nextSequence,
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
