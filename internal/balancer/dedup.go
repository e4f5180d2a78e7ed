package balancer

import "time"

// dedupTimeLeft returns the time from now until workers may run a repeat of the request, because the dedup
// window of an attempt that may run or may have run is over. limited is false if there is no limit: the
// class has no keys, or no attempt may have run.
func (r *request) dedupTimeLeft(now time.Duration) (left time.Duration, limited bool) {
	if r.class.Idempotency != IdempotentWithKey {
		return 0, false
	}
	for _, a := range r.attempts {
		if !a.mayRun() {
			continue
		}
		attemptLeft := a.sentAt + r.class.DedupWindow - now
		if !limited || attemptLeft < left {
			left = attemptLeft
		}
		limited = true
	}
	return left, limited
}

// dedupScopeCovers reports whether a worker is in the deduplication scope of each attempt that may run or
// may have run, so that the worker would drop a repeat.
func (r *request) dedupScopeCovers(w *worker) bool {
	for _, a := range r.attempts {
		if a.mayRun() && !sameDedupScope(r.class.DedupScope, a.worker, w) {
			return false
		}
	}
	return true
}

// sameDedupScope reports whether two workers share the idempotency keys that they have seen.
func sameDedupScope(scope DedupScope, first, second *worker) bool {
	switch scope {
	case DedupFleet:
		return true
	case DedupZone:
		return first.Zone == second.Zone
	case DedupCell:
		return first.Cell == second.Cell
	}
	return false
}
