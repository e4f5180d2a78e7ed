package balancer

// zoneUnreachableFactor: a zone is unreachable if its workers together lack so many mean answer times.
const zoneUnreachableFactor = 5.0

// recordContact learns from an attempt whether its worker can be reached, and counts requests that it took.
func (b *Balancer) recordContact(a *attempt, e OutcomeEvent) {
	w := a.worker
	switch e.Status {
	case OK, Rejected, Miss:
		b.noteFirstContact(a)
		b.earnLoads(a.request)
		b.markHealthy(w)
	case Failed: // an error, but a sign of life
		b.markReachable(w)
	case ConnectFailed:
		w.zone.lostTime += b.unansweredTime(w.zone, e.Elapsed)
		b.eject(w)
	case TimedOut:
		w.zone.lostTime += b.unansweredTime(w.zone, e.Elapsed)
		b.ejectIfSilent(w, e)
	case Cancelled:
		b.ejectIfSilent(w, e)
	}
}

// checkZone ejects a zone as a whole: few requests to many workers would find out each of them late.
func (b *Balancer) checkZone(z *zone) {
	limit := seconds(zoneUnreachableFactor * b.stats.meanAnswer)
	if b.stats.meanAnswer > 0 && z.outstandingTime > limit {
		z.ejection.start(b.now, b.silenceLimit())
	}
}
