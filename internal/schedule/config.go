package schedule

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config holds the scheduler's limits. Default returns the usual ones.
type Config struct {
	Tenants map[string]float64 // weight by tenant; a tenant that is not named has the weight 1
	Classes map[string]float64 // priority weight by class; a class that is not named has the weight 0

	MinConcurrency int // runs that may always be in flight, unless the fleet is stalled
	MaxConcurrency int // runs in flight at most
	MaxPerFunction int // runs of one function in flight at most

	StarvationLimit time.Duration // a job that is ready for longer goes before the other jobs of its tenant
	BatchWait       time.Duration // how long a job waits for others of its function before a load is caused for them
	BatchSize       int           // so many ready jobs of one function do not wait for more
	WarmTTL         time.Duration // how long after a run a copy of its function is expected to stay loaded
	ColdStartBurst  float64       // cold starts that are allowed in coldStartPeriod
	ColdStartRatio  float64       // further cold starts for each run started

	MaxRuns    int           // runs of one job at most
	Backoff    time.Duration // upper bound of the pause after the first run; it doubles with each further run
	MaxBackoff time.Duration // upper bound of the pause after any run
	RetryRatio float64       // retries allowed for each first run
	RetryRate  float64       // retries allowed per second
	RetryBurst float64       // unused retries that are saved up at most

	SlowFactor        float64       // a function is slow when its runs take this multiple of its fastest recent ones
	StallFailures     int           // the fleet is stalled after so many failed runs in a row, ...
	StallTime         time.Duration // ... if none was served for so long
	ProbeInterval     time.Duration // pause between the single runs that probe a stalled fleet
	ForegroundBackoff time.Duration // concurrency does not grow for so long after a rejected foreground request
}

// coldStartPeriod is the time in which Config.ColdStartBurst cold starts are allowed.
const coldStartPeriod = 10 * time.Second

// Default returns the usual configuration, without any tenant or class.
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

// Validate returns all reasons why the configuration cannot be used, joined, or nil.
func (c *Config) Validate() error {
	var problems []error
	check := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, errors.New(problem))
		}
	}
	check(c.MinConcurrency >= 1, "the minimum concurrency must be at least 1")
	check(c.MaxConcurrency >= c.MinConcurrency, "the maximum concurrency must not be below the minimum")
	check(c.MaxPerFunction >= 1, "the concurrency of one function must be at least 1")

	check(c.StarvationLimit > 0, "the starvation limit must be above 0")
	check(c.BatchWait >= 0, "the wait for a batch must not be negative")
	check(c.BatchSize >= 1, "the batch size must be at least 1")
	check(c.WarmTTL > 0, "the time that a copy stays loaded must be above 0")
	check(c.ColdStartBurst > 0, "the burst of cold starts must be above 0")
	check(c.ColdStartRatio >= 0, "the ratio of cold starts must not be negative")

	check(c.MaxRuns >= 1, "the number of runs of a job must be at least 1")
	check(c.Backoff > 0, "the backoff must be above 0")
	check(c.MaxBackoff >= c.Backoff, "the maximum backoff must not be below the backoff")
	check(c.RetryRatio >= 0, "the ratio of retries must not be negative")
	check(c.RetryRate > 0, "the rate of retries must be above 0")
	check(c.RetryBurst >= 0, "the burst of retries must not be negative")

	check(c.SlowFactor > 1, "the factor of slow runs must be above 1")
	check(c.StallFailures >= 1, "the failures of a stalled fleet must be at least 1")
	check(c.StallTime > 0, "the time of a stalled fleet must be above 0")
	check(c.ProbeInterval > 0, "the probe interval must be above 0")
	check(c.ForegroundBackoff >= 0, "the foreground backoff must not be negative")
	for name, weight := range c.Tenants {
		check(weight > 0 && !math.IsInf(weight, 0), fmt.Sprintf("the weight of tenant %s must be finite and above 0", name))
	}
	return errors.Join(problems...)
}
