package balancer

import "time"

// ejection takes a worker or a zone out of placement until a probe is answered. Probes back off
// exponentially.
type ejection struct {
	active  bool
	probeAt time.Duration // no probe before this
	backoff time.Duration
}

// start begins an ejection, unless one is active already.
func (e *ejection) start(now, backoff time.Duration) {
	if e.active {
		return
	}
	e.active = true
	e.backoff = backoff
	e.probeAt = now + backoff
}

// postponeProbe doubles the backoff, up to a limit, and waits that long before the next probe.
func (e *ejection) postponeProbe(now, limit time.Duration) {
	e.backoff = min(2*e.backoff, limit)
	e.probeAt = now + e.backoff
}

func (e *ejection) end() {
	e.active = false
	e.backoff = 0
}

// zone is what is known of all workers of one zone together.
type zone struct {
	lastContact     time.Duration // last sign of life of any of them
	lostTime        time.Duration // waited since then for attempts that ended without an answer
	outstandingTime time.Duration // ... and with those still pending
	ejection        ejection      // active while the zone is unreachable
}
