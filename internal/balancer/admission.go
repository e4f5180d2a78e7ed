package balancer

import "time"

const (
	maxUnknownErrors     = 3               // a function counts as unknown after this many errors and no success
	unknownFunctionPause = 5 * time.Second // an unknown function is not tried for this long after an error
)

// onRequest admits a request and looks for a worker at once, unless other requests wait for room at
// workers and this one is already past its latency objective.
func (b *Balancer) onRequest(e RequestEvent) {
	if b.requests[e.ID] != nil {
		return
	}
	class := b.classOf(e)
	f := b.functionOf(e)
	f.class = class.Name
	f.calls.add(b.now, b.callWeight(e.WorkEstimate.Seconds()), callDecay)
	b.updateHot(f)
	f.rotation++
	r := b.addRequest(e, class, f)
	b.adjustWeight(r)
	b.retryBudget.add(retryRatio)
	// A request that is too late for an attempt is finished now: the next sweep may be past its deadline.
	if !b.backlogged || r.objective > b.now || b.tooLate(r) {
		b.place(r)
	}
}

// adjustWeight lowers the weight of a request that is beyond its tenant's quota, or that is a retry. The
// latency objective of a retry is brought forward by the time that its earlier tries took.
func (b *Balancer) adjustWeight(r *request) {
	if t := b.tenants[r.Tenant]; t != nil && t.rateQuota > 0 {
		callRate := t.calls.add(b.now, 1, callDecay) / callDecay.Seconds() * float64(b.settings.Dispatchers)
		if callRate > t.rateQuota {
			r.weight *= b.settings.OverQuotaWeight
		}
	}
	if r.Retry { // the time since the client's first try is unknown; the latency objective has probably passed
		r.weight *= (1 + r.class.LateWeight) / 2
	}
	longest := max(b.longestTimeLeft[r.class.Name], r.TimeLeft)
	b.longestTimeLeft[r.class.Name] = longest
	mayBeRetry := r.Retry || !b.settings.ClientsMarkRetries
	// The time left is shorter than usual for the class, so earlier tries have used up a part of it.
	if mayBeRetry && r.TimeLeft < longest*31/32 {
		r.objective -= r.class.Deadline - r.TimeLeft
	}
}

// valuePerSecond returns the weight that an answer would earn for each second of work, if the request were
// sent now.
func (b *Balancer) valuePerSecond(r *request) float64 {
	if b.settings.WeightByWork || r.function.meanAnswer == 0 {
		return r.weight
	}
	return r.weight / r.function.meanAnswer
}

// tooLate reports whether the deadline is too close for a new attempt to end in time.
func (b *Balancer) tooLate(r *request) bool { return b.now+2*sweepInterval >= r.deadline }

// sendOrFinishAtHalfTime ends the wait of a request that has reached no worker when half of its time is
// over: a later rejection costs more. If the load order that the request waits for is pending, and its worker
// may get the request, the request is sent there and waits at the worker; otherwise it is finished.
func (b *Balancer) sendOrFinishAtHalfTime(r *request) {
	p := r.waitingFor
	loading := p != nil && p.orderPending
	if loading && b.mayAttempt(r, p.worker) && b.healthy(r, p.worker) {
		b.send(r, p.worker)
	} else {
		b.finish(r)
	}
}

// unknownFunction reports whether requests and loads of a function have only returned errors, the last of
// them recently. Any client can name a function that no worker knows, and retries would use up the load
// budget.
func (b *Balancer) unknownFunction(f *function) bool {
	return !f.succeeded && f.errorsBeforeSuccess >= maxUnknownErrors &&
		b.now-f.lastErrorAt < unknownFunctionPause
}
