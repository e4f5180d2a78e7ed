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

// violationLog throttles the log line for violations: a fault of the balancer could cause one for each request.
var violationLog = logthrottle.New()

// permits holds the rules by which the core checks each decision of the balancer against the core's own records before
// executing it. The balancer applies the rules of package permit too, when it decides. A decision that is refused by the
// core is counted and not executed.
type permits struct {
	repeatable  map[string]bool // classes whose requests may run more than once
	keyRequired map[string]bool // those of them whose requests need an idempotency key for that
	maxAttempts int
	hedging     bool
	leaseTerms  permit.LeaseTerms
	loads       permit.LoadBudget
}

func newPermits(s balancer.Settings) permits {
	p := permits{
		repeatable:  map[string]bool{},
		keyRequired: map[string]bool{},
		maxAttempts: max(1, s.MaxAttempts),
		hedging:     s.Hedging,
		leaseTerms:  permit.NewLeaseTerms(s.DrainGrace),
		loads:       permit.LoadBudget{Burst: s.LoadBurst, Ratio: s.LoadRatio, Window: s.LoadWindow},
	}
	for _, class := range s.Classes {
		p.repeatable[class.Name] = class.Idempotency != balancer.NotIdempotent
		p.keyRequired[class.Name] = class.Idempotency == balancer.IdempotentWithKey
	}
	return p
}

// checkAttempt checks whether an attempt may be handed to its worker's pool.
func (c *Core) checkAttempt(a *attempt) permit.Reason {
	r := a.request
	start := permit.StartConditions{
		Worker:     c.endpointState(a.workerID),
		ClientGone: r.handle.mayNotStart(),
		TimeLeft:   time.Until(a.deadline),
		LeaseLeft:  c.leaseLeft(a.workerID, time.Now()),
	}
	if reason := start.Check(); reason != permit.Allowed {
		return reason
	}
	retry := permit.RetryConditions{
		Attempts:    a.number,
		MaxAttempts: c.permits.maxAttempts,
		Repeatable:  c.permits.repeatable[r.call.Class],
		KeyRequired: c.permits.keyRequired[r.call.Class],
		KeyPassed:   r.call.IdempotencyKey != "",
		Hedging:     c.permits.hedging,
	}
	for _, other := range r.attempts[:a.number] {
		retry.Pending = retry.Pending || !other.ended()
		retry.MayHaveRun = retry.MayHaveRun || other.mayHaveRun()
	}
	return retry.Check()
}

// checkLoad checks whether a load order may be handed to its worker's pool. An order for at least one copy is deducted from
// the load budget; an order for 0 copies only asks for their number and is not.
func (c *Core) checkLoad(load balancer.Load, now time.Time) permit.Reason {
	start := permit.StartConditions{Worker: c.endpointState(load.Worker), LeaseLeft: c.leaseLeft(load.Worker, now)}
	if reason := start.Check(); reason != permit.Allowed || load.Copies == 0 {
		return reason
	}
	return c.permits.loads.Take(c.clock.balancerTime(now))
}

// endpointState returns the state of a worker by the last update of the endpoint list. Unknown workers count as removed.
func (c *Core) endpointState(id balancer.WorkerID) permit.WorkerState {
	e := c.endpoints[id]
	if e == nil {
		return permit.WorkerStateRemoved
	}
	return e.state
}

// leaseLeft returns the remaining time of a worker's lease. It is negative if the lease has expired or the worker is unknown.
func (c *Core) leaseLeft(id balancer.WorkerID, now time.Time) time.Duration {
	e := c.endpoints[id]
	if e == nil {
		return -1
	}
	return e.lease.Left(c.permits.leaseTerms, c.syncedAt, c.clock.balancerTime(now))
}

// leaseEnd returns when the lease of a worker expires.
func (c *Core) leaseEnd(id balancer.WorkerID) time.Time {
	now := time.Now()
	return now.Add(c.leaseLeft(id, now))
}

// renewLeaseFromAttempt renews the lease of a worker if the result of an attempt shows that the worker accepted it: a worker
// that has been draining for long accepts nothing. It returns the balancer time at which the attempt was written, or 0 if
// the result is no evidence of the worker's state: the attempt was not answered, or the worker's pool has been replaced since.
func (c *Core) renewLeaseFromAttempt(a *attempt, result worker.Result) (writtenAt time.Duration) {
	e := c.endpoints[a.workerID]
	if e == nil || e.pool != a.pool || result.WrittenAt.IsZero() {
		return 0
	}
	writtenAt = c.clock.balancerTime(result.WrittenAt)
	switch result.Status { // the balancer evaluates rejections: a worker that rejects may be full rather than draining
	case balancer.OK, balancer.Miss, balancer.Failed:
		e.lease.RecordAccepted(writtenAt, c.clock.balancerTime(result.ConnectedSince), c.syncedAt)
	}
	return writtenAt
}

// isViolation reports whether a refused decision, which the balancer made at chosenAt, was wrong when it was made. A lease may
// expire between the decision and the check, but the balancer chooses only workers whose lease lasts at least
// LeaseChoiceMargin longer.
func isViolation(reason permit.Reason, chosenAt time.Time) bool {
	expiredTooSoon := reason == permit.LeaseEnded && time.Since(chosenAt) < balancer.LeaseChoiceMargin
	return reason.IsViolation() || expiredTooSoon
}

// recordRefusal counts a refused decision that the balancer made at chosenAt. If the decision was a violation, it is also
// logged, with kind (attempt or load order) and the log attributes given.
func recordRefusal(reason permit.Reason, chosenAt time.Time, kind string, attributes ...any) {
	metrics.Refusals.Add(reason.String())
	if !isViolation(reason, chosenAt) {
		return
	}
	metrics.Violations.Add(reason.String())
	attributes = append([]any{"what", kind, "reason", reason.String()}, attributes...)
	violationLog.Log(slog.LevelError, "core: the balancer's choice would have broken a rule and was not carried out",
		attributes...)
}
