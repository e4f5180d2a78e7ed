package invoke

import (
	"kitefall/internal/balancer"
	"kitefall/internal/invocation/store"
	"kitefall/internal/schedule"
)

const bytesPerMiB = 1 << 20

// StoreOptions returns the retention times and limits of the invocation store.
func (c *Config) StoreOptions() store.Options {
	return store.Options{
		Retention:           c.Retention,
		DeadLetterRetention: c.Deferred.DeadLetterRetention,
		MaxInvocations:      c.MaxInvocations,
		MaxPerTenant:        c.Deferred.MaxPerTenant,
		MaxBytesPerTenant:   c.Deferred.MaxMiBPerTenant * bytesPerMiB,
	}
}

// SchedulerConfig returns the scheduler's configuration for deferred invocations. It is the zero value if the file was read
// with ReadUnchecked.
func (c *Config) SchedulerConfig() schedule.Config { return c.Deferred.schedulerConfig }

// setSchedulerConfig derives the scheduler's configuration from d and the settings: a tenant's quota becomes its weight, and
// classes keep their weights.
func (d *Deferred) setSchedulerConfig(settings balancer.Settings) {
	config := schedule.Default()
	config.MinConcurrency = d.MinConcurrency
	config.MaxConcurrency = d.MaxConcurrency
	config.MaxPerFunction = d.MaxPerFunction
	config.MaxRuns = d.MaxRuns
	config.Backoff = d.Backoff
	config.MaxBackoff = d.MaxBackoff
	config.RetryRatio = d.RetryRatio
	config.RetryRate = d.RetryRate
	config.BatchWait = d.BatchWait
	config.BatchSize = d.BatchSize
	config.StarvationLimit = d.StarvationLimit
	// Workers keep an idle copy loaded for at least IdleTTL, unless another load needs its memory. WarmTTL stays below
	// IdleTTL.
	if settings.IdleTTL > 0 {
		config.WarmTTL = settings.IdleTTL * 2 / 3
	}
	config.Tenants = map[string]float64{}
	for _, tenant := range settings.Tenants {
		if tenant.Quota > 0 {
			config.Tenants[tenant.Name] = tenant.Quota
		}
	}
	config.Classes = map[string]float64{}
	for _, class := range settings.Classes {
		config.Classes[class.Name] = class.Weight
	}
	d.schedulerConfig = config
}
