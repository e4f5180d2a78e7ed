package schedule

import (
	"cmp"
	"slices"
	"time"
)

// selectJob returns the next job to run. If there is none it returns nil and the time at which to select again; zero:
// not before another event.
//
// Tenants take turns by their virtual time. A tenant without a job that may start now leaves its turn to the next.
func (s *Scheduler) selectJob(now time.Time) (*entry, time.Time) {
	var again earliestTime
	for _, t := range s.tenantsInTurn() {
		job, at := s.selectJobOf(now, t)
		if job != nil {
			return job, time.Time{}
		}
		again.add(at)
	}
	return nil, again.Time
}

// tenantsInTurn returns the tenants that have ready jobs, the one whose turn it is first.
func (s *Scheduler) tenantsInTurn() []*tenant {
	var turns []*tenant
	for _, t := range s.tenants {
		if t.ready.Len() > 0 {
			turns = append(turns, t)
		}
	}
	slices.SortFunc(turns, func(a, b *tenant) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	return turns
}

// selectJobOf is selectJob for one tenant.
//
// A starved job goes first. Then come jobs of warm functions, which cause no load, by priority. A job of a cold
// function runs before them only when its class has a greater weight, and when its batch is complete and the budget
// of cold starts allows it. A starved job of a cold function does not wait for a batch, but for that budget.
func (s *Scheduler) selectJobOf(now time.Time, t *tenant) (*entry, time.Time) {
	starvedWarm, starvedCold := s.findStarved(now, t)
	if starvedWarm != nil {
		return starvedWarm, time.Time{}
	}
	candidates := candidates{cold: starvedCold}
	var again earliestTime
	for _, q := range t.queues {
		switch {
		case !s.hasRoom(q.function):
		case q.function.isWarm(now):
			candidates.considerWarm(q.head())
		case starvedCold == nil:
			batchAt := s.batchCompleteAt(now, q)
			if now.Before(batchAt) {
				again.add(batchAt)
				continue
			}
			candidates.considerCold(q.head())
		}
	}
	if candidates.cold != nil {
		allowedAt := s.coldStarts.allowedAt(now, candidates.cold)
		if now.Before(allowedAt) {
			again.add(allowedAt)
			candidates.cold = nil
		}
	}
	return candidates.best(starvedCold != nil), again.Time
}

// candidates are the jobs of one tenant that may start now.
type candidates struct {
	warm *entry // best job whose function is warm
	cold *entry // best job whose function is not
}

func (c *candidates) considerWarm(job *entry) {
	if c.warm == nil || byPriority(job, c.warm) {
		c.warm = job
	}
}

func (c *candidates) considerCold(job *entry) {
	if c.cold == nil || byLoadBenefit(job, c.cold) {
		c.cold = job
	}
}

// best returns the job to start; nil: there is none.
func (c *candidates) best(coldIsStarved bool) *entry {
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

// byLoadBenefit is the order of jobs of cold functions: weight of the class, then the number of ready jobs that the
// load would serve, then priority.
func byLoadBenefit(a, b *entry) bool {
	if a.classWeight != b.classWeight {
		return a.classWeight > b.classWeight
	}
	readyA := a.queue.function.ready
	readyB := b.queue.function.ready
	if readyA != readyB {
		return readyA > readyB
	}
	return byPriority(a, b)
}

// maxStarvedScan bounds how many of a tenant's oldest jobs are looked at in the search for starved ones.
const maxStarvedScan = 256

// findStarved returns the oldest jobs of a tenant that have been ready for longer than the starvation limit: of those
// whose function is warm, and of those whose function is cold. The second is not looked for past the first.
func (s *Scheduler) findStarved(now time.Time, t *tenant) (warm, cold *entry) {
	scanned := 0
	t.ready.Scan(func(job *entry) bool {
		scanned++
		if now.Sub(job.readySince) < s.config.StarvationLimit || scanned > maxStarvedScan {
			return false
		}
		f := job.queue.function
		switch {
		case !s.hasRoom(f):
		case f.isWarm(now):
			warm = job
		case cold == nil:
			cold = job
		}
		return warm == nil
	})
	return warm, cold
}

// hasRoom reports whether one more run of the function may be in flight.
func (s *Scheduler) hasRoom(f *function) bool { return f.inFlight < s.config.MaxPerFunction }

// nearExpiry is how long before its deadline a job no longer waits for a batch or for the budget of cold starts.
const nearExpiry = 5 * time.Second

// batchCompleteAt returns when a cold function may be started for the first job of a queue: at once if enough jobs of
// the function are ready or the budget of cold starts is ample, else when the job has waited for the batch or its
// deadline is near.
func (s *Scheduler) batchCompleteAt(now time.Time, q *queue) time.Time {
	if s.coldStarts.isAmple(now) || q.function.ready >= s.config.BatchSize {
		return now
	}
	first := q.head()
	waited := first.readySince.Add(s.config.BatchWait)
	return earlierOf(waited, first.Expires.Add(-nearExpiry))
}
