package dispatch

import (
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
	"kitefall/internal/worker"
)

// violationLog throttles the line of violations: a fault of the balancer could show with each request.
var violationLog = logthrottle.New()

// permits checks at run time, with the core's own records, that what the balancer has chosen may begin. The balancer asks
// package permit when it chooses; a choice that is refused here is not carried out, and counted.
type permits struct {
	repeatable  map[string]bool // classes whose requests may run more than once
	maxAttempts int
	hedging     bool
	leaseTerms  permit.LeaseTerms
	loads       permit.LoadBudget
}

func newPermits(s balancer.Settings) permits {
	p := permits{
		repeatable:  map[string]bool{},
		maxAttempts: max(1, s.MaxAttempts),
		hedging:     s.Hedging,
		leaseTerms:  permit.NewLeaseTerms(s.DrainGrace),
		loads:       permit.LoadBudget{Burst: s.LoadBurst, Ratio: s.LoadRatio, Window: s.LoadWindow},
	}
	for _, class := range s.Classes {
		p.repeatable[class.Name] = class.Idempotency != balancer.NotIdempotent
	}
	return p
}

// permitAttempt checks an attempt that is about to be handed to its worker's pool.
func (c *Core) permitAttempt(a *attempt) permit.Reason {
	r := a.request
	start := permit.Start{
		Worker:     c.endpointState(a.workerID),
		ClientGone: r.handle.finished.Load(),
		TimeLeft:   time.Until(a.deadline),
		LeaseLeft:  c.leaseLeft(a.workerID, time.Now()),
	}
	if reason := start.Check(); reason != permit.Allowed {
		return reason
	}
	repeat := permit.Repeat{
		Attempts:    a.number,
		MaxAttempts: c.permits.maxAttempts,
		Repeatable:  c.permits.repeatable[r.call.Class],
		Hedging:     c.permits.hedging,
	}
	for _, other := range r.attempts[:a.number] {
		repeat.Pending = repeat.Pending || !other.ended()
		repeat.MayHaveRun = repeat.MayHaveRun || other.mayHaveRun()
	}
	return repeat.Check()
}

// permitLoad checks a load order that is about to be handed to its worker's pool, and takes it from the budget unless it
// only asks.
func (c *Core) permitLoad(load balancer.Load, now time.Time) permit.Reason {
	start := permit.Start{Worker: c.endpointState(load.Worker), LeaseLeft: c.leaseLeft(load.Worker, now)}
	if reason := start.Check(); reason != permit.Allowed || load.Copies == 0 {
		return reason
	}
	return c.permits.loads.Take(c.clock.balancerTime(now))
}

// endpointState returns whether a worker takes anything new, by the last update of the endpoint list.
func (c *Core) endpointState(id balancer.WorkerID) permit.Worker {
	e := c.endpoints[id]
	if e == nil {
		return permit.WorkerIsRemoved
	}
	return e.state
}

// leaseLeft returns how much of the lease of a worker is left; negative: it is over, or there is no such worker.
func (c *Core) leaseLeft(id balancer.WorkerID, now time.Time) time.Duration {
	e := c.endpoints[id]
	if e == nil {
		return -1
	}
	return e.lease.Left(c.permits.leaseTerms, c.syncedAt, c.clock.balancerTime(now))
}

// leaseEnd returns when the lease of a worker ends.
func (c *Core) leaseEnd(id balancer.WorkerID) time.Time {
	now := time.Now()
	return now.Add(c.leaseLeft(id, now))
}

// recordLease learns from the end of an attempt whether its worker drains. It returns when the attempt was written, in the
// balancer's time, where that is evidence; 0: it is not.
func (c *Core) recordLease(a *attempt, result worker.Result) (writtenAt time.Duration) {
	e := c.endpoints[a.workerID]
	if e == nil || e.pool != a.pool || result.WrittenAt.IsZero() {
		return 0
	}
	writtenAt = c.clock.balancerTime(result.WrittenAt)
	switch result.Status { // rejections are for the balancer to judge: a worker that rejects may be full
	case balancer.OK, balancer.Miss, balancer.Failed:
		e.lease.Accepted(writtenAt, c.clock.balancerTime(result.ConnectedSince), c.syncedAt)
	}
	return writtenAt
}

// isViolation reports whether what the balancer chose at a time, and was not permitted, is a fault of its choice. A lease may
// end after the choice, but not sooner than the balancer leaves room for.
func isViolation(reason permit.Reason, chosenAt time.Time) bool {
	endedTooSoon := reason == permit.LeaseEnded && time.Since(chosenAt) < balancer.LeaseChoiceMargin
	return reason.IsViolation() || endedTooSoon
}

// noteRefusal counts what was chosen at a time and is not permitted, and logs a violation: what names the order, and about
// whom.
func noteRefusal(reason permit.Reason, chosenAt time.Time, what string, attributes ...any) {
	metrics.Refusals.Add(reason.String())
	if !isViolation(reason, chosenAt) {
		return
	}
	metrics.Violations.Add(reason.String())
	attributes = append([]any{"what", what, "reason", reason.String()}, attributes...)
	violationLog.Log(slog.LevelError, "core: the balancer's choice would have broken a rule and was not carried out",
		attributes...)
}
