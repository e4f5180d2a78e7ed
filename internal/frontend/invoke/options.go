package invoke

import (
	"kitefall/internal/balancer"
	"kitefall/internal/invocation/store"
	"kitefall/internal/schedule"
)

const bytesPerMB = 1 << 20

// StoreOptions returns the bounds of the invocation store.
func (c *Config) StoreOptions() store.Options {
	return store.Options{
		Retention:         c.Retention,
		DeadRetention:     c.Deferred.DeadRetention,
		MaxInvocations:    c.MaxInvocations,
		MaxPerTenant:      c.Deferred.MaxPerTenant,
		MaxBytesPerTenant: c.Deferred.MaxMBPerTenant * bytesPerMB,
	}
}

// SchedulerConfig returns how deferred invocations are scheduled. It is empty unless the file was validated.
func (c *Config) SchedulerConfig() schedule.Config { return c.Deferred.scheduler }

// setScheduler derives the scheduler's configuration, with the quotas of the tenants and the weights of the classes.
func (d *Deferred) setScheduler(settings balancer.Settings) {
	scheduler := schedule.Default()
	scheduler.MinConcurrency = d.MinConcurrency
	scheduler.MaxConcurrency = d.MaxConcurrency
	scheduler.MaxPerFunction = d.MaxPerFunction
	scheduler.MaxRuns = d.MaxRuns
	scheduler.Backoff = d.Backoff
	scheduler.MaxBackoff = d.MaxBackoff
	scheduler.RetryRatio = d.RetryRatio
	scheduler.RetryRate = d.RetryRate
	scheduler.BatchWait = d.BatchWait
	scheduler.BatchSize = d.BatchSize
	scheduler.StarvationLimit = d.StarvationLimit
	if settings.IdleTTL > 0 { // workers keep idle copies for at least so long, unless a load needs their room
		scheduler.WarmTTL = settings.IdleTTL * 2 / 3
	}
	scheduler.Tenants = map[string]float64{}
	for _, tenant := range settings.Tenants {
		if tenant.Quota > 0 {
			scheduler.Tenants[tenant.Name] = tenant.Quota
		}
	}
	scheduler.Classes = map[string]float64{}
	for _, class := range settings.Classes {
		scheduler.Classes[class.Name] = class.Weight
	}
	d.scheduler = scheduler
}
