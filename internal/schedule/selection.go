package schedule

import (
	"cmp"
	"slices"
	"time"
)

// selectJob returns the next job to run. If no job may start now, it returns nil and the time at which to select again,
// which is zero if only an event can make a job eligible.
//
// The tenant with the least virtual time comes first. If none of its jobs may start now, the next tenant is tried.
func (s *Scheduler) selectJob(now time.Time) (*jobEntry, time.Time) {
	var nextSelection earliestTime
	for _, t := range s.tenantsByVirtualTime() {
		job, at := s.selectTenantJob(now, t)
		if job != nil {
			return job, time.Time{}
		}
		nextSelection.add(at)
	}
	return nil, nextSelection.Time
}

// tenantsByVirtualTime returns the tenants that have ready jobs, the one with the least virtual time first.
func (s *Scheduler) tenantsByVirtualTime() []*tenant {
	var tenants []*tenant
	for _, t := range s.tenants {
		if t.readyJobs.Len() > 0 {
			tenants = append(tenants, t)
		}
	}
	slices.SortFunc(tenants, func(a, b *tenant) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	return tenants
}

// selectTenantJob does the same as selectJob for the jobs of one tenant.
//
// A starved job, one that has been ready for at least Config.StarvationLimit, comes first. Then come jobs of warm
// functions by priority, as their runs cause no load. A job of a cold function comes before those only if its class has a
// greater weight. Jobs of cold functions wait until their batch is complete and the cold-start budget allows the run. A
// starved job of a cold function waits for this budget, but not for a batch.
func (s *Scheduler) selectTenantJob(now time.Time, t *tenant) (*jobEntry, time.Time) {
	starvedWarm, starvedCold := s.findStarved(now, t)
	if starvedWarm != nil {
		return starvedWarm, time.Time{}
	}
	eligible := candidates{cold: starvedCold}
	var nextSelection earliestTime
	for _, q := range t.queues {
		switch {
		case !s.belowFunctionLimit(q.function):
		case q.function.isWarm(now):
			eligible.considerWarm(q.head())
		case starvedCold == nil:
			batchAt := s.batchCompleteAt(now, q)
			if now.Before(batchAt) {
				nextSelection.add(batchAt)
				continue
			}
			eligible.considerCold(q.head())
		}
	}
	if eligible.cold != nil {
		allowedAt := s.coldStarts.allowedAt(now, eligible.cold)
		if now.Before(allowedAt) {
			nextSelection.add(allowedAt)
			eligible.cold = nil
		}
	}
	return eligible.best(starvedCold != nil), nextSelection.Time
}

// candidates are the jobs of one tenant of which one is to start.
type candidates struct {
	warm *jobEntry // the first by priority of those whose function is warm
	cold *jobEntry // the first by load benefit of those whose function is cold, or the starved one
}

func (c *candidates) considerWarm(job *jobEntry) {
	if c.warm == nil || byPriority(job, c.warm) {
		c.warm = job
	}
}

func (c *candidates) considerCold(job *jobEntry) {
	if c.cold == nil || byLoadBenefit(job, c.cold) {
		c.cold = job
	}
}

// best returns the job to start, or nil if there is none.
func (c *candidates) best(coldIsStarved bool) *jobEntry {
	switch {
	case c.warm == nil:
		return c.cold
	case c.cold == nil:
		return c.warm
	case coldIsStarved || c.cold.classWeight > c.warm.classWeight:
		return c.cold
	default:
		return c.warm
	}
}

// byLoadBenefit reports whether a comes before b in the order of jobs of cold functions: greater class weight first, then
// the greater number of ready jobs that a load of the function would serve, then priority.
func byLoadBenefit(a, b *jobEntry) bool {
	if a.classWeight != b.classWeight {
		return a.classWeight > b.classWeight
	}
	readyA := a.queue.function.readyCount
	readyB := b.queue.function.readyCount
	if readyA != readyB {
		return readyA > readyB
	}
	return byPriority(a, b)
}

// maxStarvedScan is the number of a tenant's ready jobs, those ready for longest first, that findStarved examines at most.
const maxStarvedScan = 256

// findStarved returns the starved jobs of a tenant that have been ready for longest: warm is the first whose function is
// warm, cold the first whose function is cold, and either is nil if there is none. The search ends at the first warm job,
// so cold is not set if it has been ready for less time than warm. Jobs of functions at their limit are skipped.
func (s *Scheduler) findStarved(now time.Time, t *tenant) (warm, cold *jobEntry) {
	scanned := 0
	t.readyJobs.Scan(func(job *jobEntry) bool {
		scanned++
		if now.Sub(job.readySince) < s.config.StarvationLimit || scanned > maxStarvedScan {
			return false
		}
		f := job.queue.function
		switch {
		case !s.belowFunctionLimit(f):
		case f.isWarm(now):
			warm = job
		case cold == nil:
			cold = job
		}
		return warm == nil
	})
	return warm, cold
}

// belowFunctionLimit reports whether the function has fewer runs in flight than Config.MaxPerFunction.
func (s *Scheduler) belowFunctionLimit(f *function) bool { return f.inFlight < s.config.MaxPerFunction }

// nearExpiry is how long before its Expires time a job stops waiting for a batch and may overdraw the cold-start budget.
const nearExpiry = 5 * time.Second

// batchCompleteAt returns when the first job of a cold function's queue stops waiting for more jobs of this function: at
// once if Config.BatchSize jobs of the function are ready or if at least half of the cold-start budget is left, else when
// the job has been ready for Config.BatchWait or will expire within nearExpiry, whichever comes first.
func (s *Scheduler) batchCompleteAt(now time.Time, q *queue) time.Time {
	if s.coldStarts.isAtLeastHalfFull(now) || q.function.readyCount >= s.config.BatchSize {
		return now
	}
	first := q.head()
	waitEnds := first.readySince.Add(s.config.BatchWait)
	return earlierOf(waitEnds, first.Expires.Add(-nearExpiry))
}
