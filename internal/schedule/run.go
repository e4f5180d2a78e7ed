package schedule

import "time"

// start moves a ready job to the state running.
func (s *Scheduler) start(now time.Time, job *entry) {
	f := job.queue.function
	job.startedWarm = f.isWarm(now)
	if !job.startedWarm {
		s.coldStarts.spend()
		f.warmUntil = now.Add(s.config.WarmTTL)
	}
	s.dequeue(job)
	s.deadlines.Delete(job) // a run has a deadline of its own
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

func (s *Scheduler) handleRunEnded(now time.Time, e RunEndedEvent) []Action {
	job := s.jobs[e.ID]
	if job == nil || job.state != running {
		return nil
	}
	wasInFlight := s.runsInFlight
	s.remove(job)
	if e.Result == Served {
		s.runServed(now, job, e.Elapsed, wasInFlight)
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

// runServed learns from a served run. wasInFlight is the number of runs in flight before it ended.
func (s *Scheduler) runServed(now time.Time, job *entry, elapsed time.Duration, wasInFlight int) {
	f := job.queue.function
	f.warmUntil = now.Add(s.config.WarmTTL)
	// The copy had been unloaded: more functions are kept warm than the fleet has room for.
	if job.startedWarm && f.latency.includesLoad(elapsed) {
		s.coldStarts.chargeUnexpected()
	}
	slow := f.latency.observe(elapsed, s.config.SlowFactor)
	if recovered := s.stall.runServed(now); recovered {
		s.concurrency.restart()
		return
	}
	s.concurrency.runServed(now, wasInFlight, slow)
}

// runNotServed learns from a run that was rejected or failed.
func (s *Scheduler) runNotServed(now time.Time, job *entry, result Result) {
	if result == Rejected { // no copy of the function has room
		job.queue.function.warmUntil = time.Time{}
	}
	s.concurrency.runNotServed(now)
	s.stall.runNotServed(now)
}

// remove forgets a job in any state.
func (s *Scheduler) remove(job *entry) {
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
		s.forgetIfIdle(job.queue.function)
	}
}
