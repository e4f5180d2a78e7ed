package schedule

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config is the configuration of a Scheduler. Default returns default values.
type Config struct {
	Tenants map[string]float64 // weight by tenant in the fair sharing of runs; 1 for a tenant that is not listed
	Classes map[string]float64 // priority by class, greatest first; 0 for a class that is not listed

	MinConcurrency int // minimum of the adaptive limit of runs in flight; a stalled fleet gets one run at a time
	MaxConcurrency int // maximum of that limit
	MaxPerFunction int // maximum number of runs in flight of one function

	StarvationLimit time.Duration // a job that has been ready for this long goes before other jobs of its tenant
	BatchWait       time.Duration // how long a ready job waits for more jobs of its function before a cold start for them
	BatchSize       int           // number of ready jobs of one function that do not wait for more
	WarmTTL         time.Duration // how long a copy is expected to stay loaded after a cold start or a served run
	ColdStartBurst  float64       // cold starts allowed per coldStartPeriod, and maximum number saved up
	ColdStartRatio  float64       // cold starts allowed in addition for each run started

	MaxRuns    int           // maximum number of runs of one job
	Backoff    time.Duration // upper bound of the random pause after the first run; doubles with each run
	MaxBackoff time.Duration // maximum of that upper bound
	RetryRatio float64       // retries allowed for each first run of a job
	RetryRate  float64       // retries allowed per second, in addition
	RetryBurst float64       // maximum number of unused retries that are saved up

	SlowFactor        float64       // a function is slow if its average run time exceeds its shortest recent one by this factor
	StallFailures     int           // rejected or failed runs in a row after which the fleet is stalled, if StallTime has passed
	StallTime         time.Duration // minimum time since the last served run before the fleet is stalled
	ProbeInterval     time.Duration // time between the starts of the runs that probe a stalled fleet
	ForegroundBackoff time.Duration // how long concurrency does not grow after a rejected foreground invocation
}

// coldStartPeriod is the time in which the cold-start budget gains Config.ColdStartBurst tokens.
const coldStartPeriod = 10 * time.Second

// Default returns the default configuration, without tenants or classes.
func Default() Config {
	return Config{
		MinConcurrency: 2,
		MaxConcurrency: 64,
		MaxPerFunction: 16,

		StarvationLimit: 30 * time.Second,
		BatchWait:       2 * time.Second,
		BatchSize:       8,
		WarmTTL:         6 * time.Second,
		ColdStartBurst:  4,
		ColdStartRatio:  0.1,

		MaxRuns:    20,
		Backoff:    500 * time.Millisecond,
		MaxBackoff: 15 * time.Second,
		RetryRatio: 0.2,
		RetryRate:  5,
		RetryBurst: 20,

		SlowFactor:        4,
		StallFailures:     8,
		StallTime:         time.Second,
		ProbeInterval:     500 * time.Millisecond,
		ForegroundBackoff: 500 * time.Millisecond,
	}
}

// Validate returns all errors of the configuration, joined, or nil if it is valid.
func (c *Config) Validate() error {
	var problems []error
	check := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, errors.New(problem))
		}
	}
	check(c.MinConcurrency >= 1, "the minimum concurrency must be at least 1")
	check(c.MaxConcurrency >= c.MinConcurrency, "the maximum concurrency must not be below the minimum")
	check(c.MaxPerFunction >= 1, "the maximum concurrency of one function must be at least 1")

	check(c.StarvationLimit > 0, "the starvation limit must be above 0")
	check(c.BatchWait >= 0, "the batch wait must not be negative")
	check(c.BatchSize >= 1, "the batch size must be at least 1")
	check(c.WarmTTL > 0, "the time that a copy is expected to stay loaded must be above 0")
	check(c.ColdStartBurst > 0, "the cold-start burst must be above 0")
	check(c.ColdStartRatio >= 0, "the ratio of cold starts to runs must not be negative")

	check(c.MaxRuns >= 1, "the maximum number of runs of a job must be at least 1")
	check(c.Backoff > 0, "the backoff must be above 0")
	check(c.MaxBackoff >= c.Backoff, "the maximum backoff must not be below the backoff")
	check(c.RetryRatio >= 0, "the ratio of retries to first runs must not be negative")
	check(c.RetryRate > 0, "the retry rate must be above 0")
	check(c.RetryBurst >= 0, "the retry burst must not be negative")

	check(c.SlowFactor > 1, "the slow-run factor must be above 1")
	check(c.StallFailures >= 1, "the number of failures before a stall must be at least 1")
	check(c.StallTime > 0, "the time without a served run before a stall must be above 0")
	check(c.ProbeInterval > 0, "the probe interval must be above 0")
	check(c.ForegroundBackoff >= 0, "the foreground backoff must not be negative")
	for name, weight := range c.Tenants {
		check(weight > 0 && !math.IsInf(weight, 0), fmt.Sprintf("the weight of tenant %s must be finite and above 0", name))
	}
	return errors.Join(problems...)
}
