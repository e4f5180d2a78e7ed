package schedule

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config holds the scheduler's bounds. Default gives usual ones.
type Config struct {
	Tenants map[string]float64 // weights; a tenant that is not named has 1
	Classes map[string]float64 // worth

	MinConcurrency int // runs in hand that are always allowed, unless nothing is served at all
	MaxConcurrency int // runs in hand at most
	MaxPerFunction int // of them for one function

	StarvationLimit time.Duration // a ticket ready for longer goes before others of its tenant; where it needs a load, with the next one
	BatchWait       time.Duration // how long a run may wait for others of its function before a load is caused
	BatchSize       int           // ... unless so many wait already
	WarmTTL         time.Duration // copies of a function are expected to stand this long after a run of it
	ColdStartBurst  float64       // functions that are not warm, begun in 10 s ...
	ColdStartRatio  float64       // ... and for each run begun

	MaxRuns    int           // of one ticket
	Backoff    time.Duration // bound on the pause after the first run, doubled for each further one
	MaxBackoff time.Duration
	RetryRatio float64 // runs after the first, for each first one ...
	RetryRate  float64 // ... and each second
	RetryBurst float64 // and saved up at most

	SlowFactor        float64       // a run is slow when it takes this multiple of what the function's runs take at the least
	StallFailures     int           // so many runs in a row without a served one, and ...
	StallTime         time.Duration // ... nothing served for so long: the fleet is dark
	ProbeInterval     time.Duration // then one run at a time, so long apart
	ForegroundBackoff time.Duration // after a foreground call was turned away, no more room is taken for this long
}

const openSpan = 10 * time.Second

// Default is a usual configuration.
func Default() Config {
	return Config{MinConcurrency: 2, MaxConcurrency: 64, MaxPerFunction: 16, StarvationLimit: 30 * time.Second, BatchWait: 2 * time.Second,
		BatchSize: 8, WarmTTL: 6 * time.Second, ColdStartBurst: 4, ColdStartRatio: 0.1, MaxRuns: 20, Backoff: 500 * time.Millisecond,
		MaxBackoff: 15 * time.Second, RetryRatio: 0.2, RetryRate: 5, RetryBurst: 20, SlowFactor: 4, StallFailures: 8,
		StallTime: time.Second, ProbeInterval: 500 * time.Millisecond, ForegroundBackoff: 500 * time.Millisecond}
}

// Validate tells what cannot work.
func (c *Config) Validate() error {
	var err error
	need := func(ok bool, what string) {
		if !ok {
			err = errors.Join(err, errors.New(what))
		}
	}
	need(c.MinConcurrency >= 1 && c.MaxConcurrency >= c.MinConcurrency && c.MaxPerFunction >= 1, "runs in hand: at least 1, and least below most")
	need(c.StarvationLimit > 0 && c.BatchWait >= 0 && c.BatchSize >= 1 && c.WarmTTL > 0, "times of waiting: above 0")
	need(c.ColdStartBurst > 0 && c.ColdStartRatio >= 0, "functions begun: above 0")
	need(c.MaxRuns >= 1 && c.Backoff > 0 && c.MaxBackoff >= c.Backoff, "runs of a ticket: at least 1, with a pause")
	need(c.RetryRatio >= 0 && c.RetryRate > 0 && c.RetryBurst >= 0, "the budget for further runs: above 0")
	need(c.SlowFactor > 1 && c.StallFailures >= 1 && c.StallTime > 0 && c.ProbeInterval > 0 && c.ForegroundBackoff >= 0, "signs of a fleet in need: above 0")
	for name, w := range c.Tenants {
		need(w > 0 && !math.IsInf(w, 0), fmt.Sprintf("weight of tenant %s: above 0", name))
	}
	return err
}

// limit is how many runs may be in hand: it grows by one for each served run at first (a slow start), by one for
// each round of served runs later, and shrinks when runs are turned away or slow, or the foreground is.
type limit struct {
	least, most float64
	dark        bool
	now         float64
	threshold   float64 // the slow start ends here
	cut         time.Time
	yield       time.Time // no growth before
	lastServed  time.Time
	failures    int // in a row
	probeAt     time.Time
	config      *Config
}

func newLimit(c Config, now time.Time) limit {
	return limit{least: float64(c.MinConcurrency), most: float64(c.MaxConcurrency), now: float64(c.MinConcurrency),
		threshold: float64(c.MaxConcurrency) / 2, lastServed: now, config: &c}
}

func (l *limit) allowed() int {
	if l.dark {
		return 1
	}
	return int(l.now)
}

// open tells whether a run may begin now; opens, when one may.
func (l *limit) open(now time.Time) bool { return !l.dark || !now.Before(l.probeAt) }

func (l *limit) opens(now time.Time) time.Time {
	if l.dark && now.Before(l.probeAt) {
		return l.probeAt
	}
	return time.Time{}
}

func (l *limit) began(now time.Time) {
	if l.dark {
		l.probeAt = now.Add(l.config.ProbeInterval)
	}
}

// cutAgain is how long after a cut the runs that were begun before it are still heard of.
const cutAgain = 300 * time.Millisecond

func (l *limit) shrink(now time.Time, by float64) {
	if now.Sub(l.cut) < cutAgain {
		return
	}
	l.cut = now
	l.threshold = max(l.least, l.now/2)
	l.now = max(l.least, l.now*by)
}

func (l *limit) served(now time.Time, busy int, slow bool) {
	l.failures, l.lastServed = 0, now
	if l.dark { // it serves again: from the start, since its workers may have come back empty
		l.dark = false
		l.now, l.threshold = l.least, max(l.least, l.threshold/2)
		return
	}
	switch {
	case slow:
		l.shrink(now, 0.9)
	case now.Before(l.yield) || float64(busy) < l.now/2: // room that is not used proves nothing
	case l.now < l.threshold:
		l.now = min(l.most, l.now+1)
	default:
		l.now = min(l.most, l.now+1/l.now)
	}
}

func (l *limit) turned(now time.Time) {
	l.failures++
	l.shrink(now, 0.7)
	if l.failures >= l.config.StallFailures && now.Sub(l.lastServed) >= l.config.StallTime {
		l.dark = true
	}
}

func (l *limit) foreground(now time.Time, turned bool) {
	if turned {
		l.shrink(now, 0.5)
		l.yield = now.Add(l.config.ForegroundBackoff)
	}
}

// latency follows how long a function's runs take.
type latency struct {
	floor  float64 // the least of late: it rises slowly, so that it follows a fleet that has become slower
	smooth float64
}

// loaded tells whether a run took so long that it must have waited for a load.
func (l *latency) loaded(took time.Duration) bool {
	return l.floor > 0 && took.Seconds() > 2*l.floor+leastLoad.Seconds()
}

// leastLoad is less than any load takes.
const leastLoad = 150 * time.Millisecond

func (l *latency) slow(took time.Duration, multiple float64) bool {
	t := took.Seconds()
	if l.floor == 0 {
		l.floor, l.smooth = t, t
		return false
	}
	l.floor = min(t, l.floor*1.01)
	l.smooth += 0.2 * (t - l.smooth)
	// Below a few milliseconds the system's own noise is larger than the workers'.
	return l.smooth > multiple*l.floor && l.smooth > 0.02
}
