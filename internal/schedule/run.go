package schedule

import "time"

// start moves a ready job to the state running, charges the run to the tenant and updates the budgets.
func (s *Scheduler) start(now time.Time, job *jobEntry) {
	f := job.queue.function
	job.startedWarm = f.isWarm(now)
	if !job.startedWarm {
		s.coldStarts.spend()
		f.warmUntil = now.Add(s.config.WarmTTL)
	}
	s.dequeue(job)
	s.deadlines.Delete(job) // a running job does not expire: the run has its own deadline
	job.state = running
	s.runsInFlight++
	f.inFlight++
	job.tenant.virtualTime += job.Cost / job.tenant.weight
	if job.Runs == 0 {
		s.retryBudget.add(now, s.config.RetryRatio)
	}
	s.coldStarts.add(now, s.config.ColdStartRatio)
	s.stall.runStarted(now)
}

// handleRunEnded removes the job of a run that has ended, and returns a Retry action if the run was not served.
func (s *Scheduler) handleRunEnded(now time.Time, e RunEndedEvent) []Action {
	job := s.jobs[e.ID]
	if job == nil || job.state != running {
		return nil
	}
	inFlightBefore := s.runsInFlight
	s.remove(job)
	if e.Result == Served {
		s.runServed(now, job, e.Elapsed, inFlightBefore)
		return nil
	}
	s.runNotServed(now, job, e.Result)
	runs := job.Runs + 1
	if runs >= s.config.MaxRuns {
		return []Action{Retry{ID: job.ID}}
	}
	pause := e.RetryAfter + s.backoff.pause(runs)
	return []Action{Retry{ID: job.ID, At: now.Add(pause)}}
}

// runServed updates the state of the function, the stall detector and the concurrency limit after a served run.
// inFlightBefore is the number of runs in flight before this run ended.
func (s *Scheduler) runServed(now time.Time, job *jobEntry, elapsed time.Duration, inFlightBefore int) {
	f := job.queue.function
	f.warmUntil = now.Add(s.config.WarmTTL)
	// The copy that was expected to be loaded had been unloaded: the jobs use more functions than the fleet can keep
	// loaded. The charge delays further cold starts.
	if job.startedWarm && f.latency.includesLoad(elapsed) {
		s.coldStarts.chargeUnexpectedLoad()
	}
	slow := f.latency.observe(elapsed, s.config.SlowFactor)
	if recovered := s.stall.runServed(now); recovered {
		s.concurrency.restartSlowStart()
		return
	}
	s.concurrency.runServed(now, inFlightBefore, slow)
}

// runNotServed updates the state of the function, the concurrency limit and the stall detector after a run that was
// rejected or failed.
func (s *Scheduler) runNotServed(now time.Time, job *jobEntry, result Result) {
	if result == Rejected { // no loaded copy of the function can take a run
		job.queue.function.warmUntil = time.Time{}
	}
	s.concurrency.runNotServed(now)
	s.stall.runNotServed(now)
}

// remove removes a job in any state from the scheduler.
func (s *Scheduler) remove(job *jobEntry) {
	switch job.state {
	case delayed:
		s.delayed.Delete(job)
	case awaitingRetry:
		s.retries.Delete(job)
	case ready:
		s.dequeue(job)
	case running:
		s.runsInFlight--
		job.queue.function.inFlight--
	}
	s.deadlines.Delete(job)
	delete(s.jobs, job.ID)
	if job.queue != nil {
		s.removeFunctionIfIdle(job.queue.function)
	}
}
