package balancer

import "time"

// tenant holds a tenant's quota and how much of it is used.
type tenant struct {
	rateQuota float64       // requests per second over all dispatchers; 0 means no quota
	calls     decayingCount // recent requests of the tenant at this dispatcher
}

// timer is the balancer's only timer.
type timer struct {
	dueAt time.Duration // when the timer expires; 0 means that it is not set
	id    int64         // ID of the last timer that was set
}

// polling is the state of the subscription to the endpoint list.
type polling struct {
	active    bool
	changedAt time.Duration // when the subscription last started or failed
}

// fleetStats holds statistics over all workers.
type fleetStats struct {
	meanAnswer  float64            // running mean of the answer time, in seconds
	meanWork    float64            // running mean of a request's estimated work, in seconds
	failureRate map[string]float64 // fraction of the attempts that fail, by class
}

// assumedLoadedTime returns how long after its last use a copy of a function is assumed to be loaded.
func (b *Balancer) assumedLoadedTime() time.Duration {
	return time.Duration(assumedLoadedRatio * float64(b.settings.IdleTTL))
}
