package balancer

import "time"

const (
	maxUnknownErrors     = 3               // so many errors before any answer: nobody knows the function ...
	unknownFunctionPause = 5 * time.Second // ... and it is not tried again for this long
)

// onRequest admits a request and looks for a worker at once, unless others of more use wait for room.
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
	b.weigh(r)
	b.retries.add(retryRatio)
	// One that is too late is finished now: the next sweep could come too late for its answer.
	if !b.backlogged || r.objective > b.now || b.tooLate(r) {
		b.place(r)
	}
}

// weigh lowers the weight of what is beyond its tenant's quota and of retries, whose objective comes earlier.
func (b *Balancer) weigh(r *request) {
	if t := b.tenants[r.Tenant]; t != nil && t.rateQuota > 0 {
		callRate := t.calls.add(b.now, 1, callDecay) / callDecay.Seconds() * float64(b.settings.Dispatchers)
		if callRate > t.rateQuota {
			r.weight *= b.settings.OverQuotaWeight
		}
	}
	if r.Retry { // how long the first try waited is unknown; most likely its objective has passed
		r.weight *= (1 + r.class.LateWeight) / 2
	}
	longest := max(b.longestTimeLeft[r.class.Name], r.TimeLeft)
	b.longestTimeLeft[r.class.Name] = longest
	mayBeRetry := r.Retry || !b.settings.ClientsMarkRetries
	if mayBeRetry && r.TimeLeft < longest*31/32 { // the client's deadline has cut it short
		r.objective -= r.class.Deadline - r.TimeLeft
	}
}

// value is what an answer would earn for each second of work, if sent now.
func (b *Balancer) value(r *request) float64 {
	if b.settings.WeightByWork || r.function.meanAnswer == 0 {
		return r.weight
	}
	return r.weight / r.function.meanAnswer
}

// tooLate reports whether no new attempt could end in time.
func (b *Balancer) tooLate(r *request) bool { return b.now+2*sweepInterval >= r.deadline }

// decideAtHalfTime ends the wait of a request that no worker has seen by half of its time: a later rejection
// costs more. It goes where a load that it waits for is under way, and waits there; else it is finished.
func (b *Balancer) decideAtHalfTime(r *request) {
	p := r.waitingFor
	loading := p != nil && p.ordered
	if loading && b.mayAttempt(r, p.worker) && b.healthy(r, p.worker) {
		b.send(r, p.worker)
	} else {
		b.finish(r)
	}
}

// unknownFunction reports whether requests and loads of a function met errors only. Any client can name one
// that no worker knows; retries of it would use up the load budget.
func (b *Balancer) unknownFunction(f *function) bool {
	return !f.known && f.errors >= maxUnknownErrors && b.now-f.lastErrorAt < unknownFunctionPause
}
