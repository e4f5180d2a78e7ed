package balancer

// zoneUnreachableFactor is how many mean answer times the attempts at a zone's workers may wait in total,
// since the zone's last sign of life, before the zone counts as unreachable.
const zoneUnreachableFactor = 5.0

// recordContact records what the end of an attempt shows about whether its worker and zone can be
// reached. A request with an attempt that was served, rejected or a miss is credited to the load budget.
func (b *Balancer) recordContact(a *attempt, e OutcomeEvent) {
	w := a.worker
	switch e.Status {
	case OK, Rejected, Miss:
		b.recordFirstContact(a)
		b.creditLoadBudget(a.request)
		b.markHealthy(w)
	case Failed: // an error is a sign of life
		b.markReachable(w)
	case ConnectFailed:
		w.zone.endedWait += b.unansweredTime(w.zone, e.Elapsed)
		b.eject(w)
	case TimedOut:
		w.zone.endedWait += b.unansweredTime(w.zone, e.Elapsed)
		b.ejectIfSilent(w, e)
	case Cancelled:
		b.ejectIfSilent(w, e)
	}
}

// ejectIfUnreachable ejects a zone as a whole if it is unreachable. With few requests spread over many
// workers, each worker would be detected late on its own.
func (b *Balancer) ejectIfUnreachable(z *zone) {
	limit := seconds(zoneUnreachableFactor * b.stats.meanAnswer)
	if b.stats.meanAnswer > 0 && z.totalWait > limit {
		z.ejection.start(b.now, b.silenceLimit())
	}
}
