package balancer

import "time"

// tenant is one tenant's use of its quota.
type tenant struct {
	rateQuota float64 // requests per second over all dispatchers; 0: none
	calls     decayingCount
}

// timer is the one timer that is armed.
type timer struct {
	dueAt time.Duration // 0: none
	id    int64
}

// polling is the subscription to the endpoint list.
type polling struct {
	active    bool
	changedAt time.Duration // when it last began or failed
}

// fleetStats are running means over all workers.
type fleetStats struct {
	meanAnswer  float64 // answer time, seconds
	answers     decayingCount
	meanWork    float64            // work estimate of a request, seconds
	failureRate map[string]float64 // part of the attempts that fail, by class
}

// loadedTrust is how long after its last use a copy is believed to be loaded.
func (b *Balancer) loadedTrust() time.Duration {
	return time.Duration(loadedTrustRatio * float64(b.settings.IdleTTL))
}
