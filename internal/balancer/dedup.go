package balancer

import "time"

// dedupTimeLeft is how long workers still drop repeats of the attempts that may have run; limited is false
// where there is no such limit.
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

// dedupScopeHolds reports whether a worker would drop a repeat of each attempt that may have run.
func (r *request) dedupScopeHolds(w *worker) bool {
	for _, a := range r.attempts {
		if a.mayRun() && !sameDedupScope(r.class.DedupScope, a.worker, w) {
			return false
		}
	}
	return true
}

// sameDedupScope reports whether two workers share the keys that they have seen.
func sameDedupScope(scope DedupScope, v, w *worker) bool {
	switch scope {
	case DedupFleet:
		return true
	case DedupZone:
		return v.Zone == w.Zone
	case DedupCell:
		return v.Cell == w.Cell
	}
	return false
}
