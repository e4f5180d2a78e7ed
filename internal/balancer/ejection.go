package balancer

import "time"

// ejection keeps a worker or a zone out of placement until a probe is answered. The time between probes
// grows exponentially.
type ejection struct {
	active  bool
	probeAt time.Duration // earliest time of the next probe
	backoff time.Duration // time from one probe to the next
}

// start begins an ejection whose first probe is due after backoff. It does nothing if one is active
// already.
func (e *ejection) start(now, backoff time.Duration) {
	if e.active {
		return
	}
	e.active = true
	e.backoff = backoff
	e.probeAt = now + backoff
}

// postponeProbe doubles the backoff, up to limit, and sets the next probe to now plus the new backoff.
func (e *ejection) postponeProbe(now, limit time.Duration) {
	e.backoff = min(2*e.backoff, limit)
	e.probeAt = now + e.backoff
}

func (e *ejection) end() {
	e.active = false
	e.backoff = 0
}

// zone holds what the dispatcher knows of all workers of one zone together.
type zone struct {
	lastContact time.Duration // last sign of life of any worker of the zone
	endedWait   time.Duration // waiting time since lastContact of attempts that ended without an answer
	totalWait   time.Duration // endedWait plus the waiting time of pending attempts
	ejection    ejection      // active while the zone is unreachable
}
