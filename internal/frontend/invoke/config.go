// Package invoke is the front for devices on poor links: an invoke API over HTTPS, with synchronous and
// deferred calls and SPIFFE identities. Both kinds of call are tickets; it decides nothing about them.
package invoke

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/invocation/store"
	"kitefall/internal/schedule"
	"kitefall/internal/tomlfile"
)

// Config is the operator's file.
type Config struct {
	Listen         string               `toml:"listen"`
	WorkloadAPI    string               `toml:"workload_api"`
	Store          string               `toml:"store"`
	Control        string               `toml:"control"`      // the control socket; else beside the store
	Retention      time.Duration        `toml:"retention"`    // ended tickets are kept this long
	MaxWait        time.Duration        `toml:"most_wait"`    // a poll may wait this long
	MaxInFlight    int                  `toml:"most_open"`    // requests in hand
	MaxInvocations int64                `toml:"most_tickets"` // tickets kept
	Deferred       Deferred             `toml:"deferred"`
	MaxConns       int                  `toml:"connections"`
	Tenants        map[string]string    `toml:"tenants"` // SPIFFE ID to tenant
	Functions      map[string]*Function `toml:"functions"`

	ids map[spiffeid.ID]string
}

// Deferred bounds calls that nobody waits for on a connection. What is left out has the value of schedule.Default.
type Deferred struct {
	DeadRetention   time.Duration `toml:"dead_retention"` // dead letters are kept this long
	MaxPerTenant    int64         `toml:"tenant_tickets"` // kept of one tenant; 0: no bound of its own
	MaxMBPerTenant  int64         `toml:"tenant_mb"`      // bodies and results of one tenant
	MinConcurrency  int           `toml:"least_running"`
	MaxConcurrency  int           `toml:"most_running"`
	MaxPerFunction  int           `toml:"most_per_function"`
	MaxRuns         int           `toml:"most_runs"`
	Backoff         time.Duration `toml:"backoff"`
	MaxBackoff      time.Duration `toml:"most_backoff"`
	RetryRatio      float64       `toml:"retry_share"`
	RetryRate       float64       `toml:"retry_per_second"`
	BatchWait       time.Duration `toml:"gather"`
	BatchSize       int           `toml:"gather_runs"`
	StarvationLimit time.Duration `toml:"starve"`

	plan schedule.Config
}

// Function is an entry of the catalogue: what devices may ask for, and the figures of its copies.
type Function struct {
	Class        string        `toml:"class"`
	Key          string        `toml:"key"` // the function's name at the workers
	MemoryMB     float64       `toml:"memory_mb"`
	Concurrency  int           `toml:"lanes"`
	LoadTime     time.Duration `toml:"load"`
	WorkEstimate time.Duration `toml:"work"`
	Deadline     time.Duration `toml:"deadline"`      // where none is asked for
	MaxDeadline  time.Duration `toml:"most_deadline"` // the longest that may be asked for
	Lifetime     time.Duration `toml:"life"`          // of a deferred call, where none is asked for
	MaxLifetime  time.Duration `toml:"most_life"`     // the longest that may be asked for
	MaxBody      int64         `toml:"most_body"`
	ContentType  string        `toml:"content_type"` // of request and result

	safe bool
}

// Read reads the operator's file without what the platform tells: enough to find the store.
func ReadUnchecked(path string) (*Config, error) {
	c, _, err := read(path)
	return c, err
}

func read(path string) (*Config, *tomlfile.File, error) {
	c := &Config{Retention: 24 * time.Hour, MaxWait: 20 * time.Second, MaxInFlight: 512, MaxInvocations: 100_000,
		MaxConns: 128, ids: map[spiffeid.ID]string{}}
	usual := schedule.Default()
	c.Deferred = Deferred{DeadRetention: 7 * 24 * time.Hour, MinConcurrency: usual.MinConcurrency, MaxConcurrency: usual.MaxConcurrency,
		MaxPerFunction: usual.MaxPerFunction, MaxRuns: usual.MaxRuns, Backoff: usual.Backoff, MaxBackoff: usual.MaxBackoff,
		RetryRatio: usual.RetryRatio, RetryRate: usual.RetryRate, BatchWait: usual.BatchWait, BatchSize: usual.BatchSize,
		StarvationLimit: usual.StarvationLimit}
	f, err := tomlfile.Read(path, c)
	if err != nil {
		return nil, nil, err
	}
	if c.Control == "" && c.Store != "" {
		c.Control = c.Store + ".sock"
	}
	return c, f, nil
}

// ReadConfig reads the operator's file and checks it against the classes and tenants of the settings. It tells of all
// that cannot work, each with its line.
func ReadConfig(path string, settings balancer.Settings) (*Config, error) {
	return CheckConfig(path, settings, true)
}

// CheckConfig is ReadConfig, also for where the settings are not known: classes and tenants are not checked then.
func CheckConfig(path string, settings balancer.Settings, known bool) (*Config, error) {
	c, file, err := read(path)
	if err != nil {
		return nil, err
	}
	need := func(ok bool, what string, key ...string) {
		if !ok {
			err = errors.Join(err, file.Errorf(what, key...))
		}
	}
	need(c.Listen != "", "is missing", "listen")
	need(c.WorkloadAPI != "", "is missing", "workload_api")
	need(c.Store != "", "is missing", "store")
	need(c.Retention > 0, "has to be above 0", "retention")
	need(c.MaxWait >= 0, "has to be 0 or more", "most_wait")
	need(c.MaxInFlight >= 1, "has to be at least 1", "most_open")
	need(c.MaxInvocations >= 1, "has to be at least 1", "most_tickets")
	need(c.MaxConns >= 1, "has to be at least 1", "connections")
	tenants := map[string]bool{}
	for _, t := range settings.Tenants {
		tenants[t.Name] = true
	}
	for text, tenant := range c.Tenants {
		id, bad := spiffeid.FromString(text)
		need(bad == nil, fmt.Sprintf("is no SPIFFE ID: %v", bad), "tenants", text)
		need(len(tenants) == 0 || tenants[tenant], fmt.Sprintf("no tenant %q in the settings", tenant), "tenants", text)
		c.ids[id] = tenant
	}
	classes := map[string]balancer.Class{}
	for _, g := range settings.Classes {
		classes[g.Name] = g
	}
	for name, f := range c.Functions {
		class, ok := classes[f.Class]
		f.safe = ok && class.Idempotency == balancer.Idempotent
		f.defaults()
		need := func(ok bool, what, key string) { need(ok, what, "functions", name, key) }
		need(ok || !known, fmt.Sprintf("no class %q in the settings", f.Class), "class")
		need(call.IsHexID(f.Key), "has to be 16 hex digits, the function's name at the workers", "key")
		need(f.Deadline > 0, "has to be above 0", "deadline")
		need(f.MaxDeadline >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "most_deadline")
		// The module takes the longest time seen in a class for that of a first try. One beyond the class's own
		// would make it take the other front's first tries for late repeats.
		need(!ok || f.MaxDeadline <= class.Deadline, fmt.Sprintf("is over the %v of class %s", class.Deadline, f.Class),
			"most_deadline")
		need(f.Lifetime >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "life")
		need(f.MaxLifetime >= f.Lifetime, fmt.Sprintf("is below the life of %v", f.Lifetime), "most_life")
		need(f.MaxLifetime <= mostLife, fmt.Sprintf("is over %v", mostLife), "most_life")
		need(f.MaxBody >= 0 && f.MaxBody <= call.MaxBodyBytes, fmt.Sprintf("has to be from 0 to %d", call.MaxBodyBytes), "most_body")
	}
	if bad := c.Deferred.check(settings); bad != nil {
		err = errors.Join(err, file.Errorf(bad.Error(), "deferred"))
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (f *Function) defaults() {
	if f.MaxBody == 0 {
		f.MaxBody = call.MaxBodyBytes
	}
	if f.MaxLifetime == 0 {
		f.MaxLifetime = 24 * time.Hour
	}
	if f.Lifetime == 0 {
		f.Lifetime = min(time.Hour, f.MaxLifetime)
	}
	if f.ContentType == "" {
		f.ContentType = "application/json"
	}
}

// mostLife is the longest life of a deferred call.
const mostLife = 30 * 24 * time.Hour

// check makes the scheduler's settings, with the shares of the tenants and the worth of the classes.
func (d *Deferred) check(settings balancer.Settings) error {
	p := schedule.Default()
	p.MinConcurrency, p.MaxConcurrency, p.MaxPerFunction = d.MinConcurrency, d.MaxConcurrency, d.MaxPerFunction
	p.MaxRuns, p.Backoff, p.MaxBackoff = d.MaxRuns, d.Backoff, d.MaxBackoff
	p.RetryRatio, p.RetryRate = d.RetryRatio, d.RetryRate
	p.BatchWait, p.BatchSize, p.StarvationLimit = d.BatchWait, d.BatchSize, d.StarvationLimit
	if settings.IdleTTL > 0 { // copies stand idle for so long at the least, unless a load needs their room
		p.WarmTTL = settings.IdleTTL * 2 / 3
	}
	p.Tenants, p.Classes = map[string]float64{}, map[string]float64{}
	for _, t := range settings.Tenants {
		if t.Quota > 0 {
			p.Tenants[t.Name] = t.Quota
		}
	}
	for _, g := range settings.Classes {
		p.Classes[g.Name] = g.Weight
	}
	d.plan = p
	err := p.Validate()
	if d.DeadRetention <= 0 || d.MaxPerTenant < 0 || d.MaxMBPerTenant < 0 {
		err = errors.Join(err, errors.New("dead_retention has to be above 0, tenant_tickets and tenant_mb 0 or more"))
	}
	return err
}

// Plan is how deferred calls are scheduled.
func (c *Config) SchedulerConfig() schedule.Config { return c.Deferred.plan }

// Kept bounds the store.
func (c *Config) StoreOptions() store.Options {
	return store.Options{Retention: c.Retention, DeadRetention: c.Deferred.DeadRetention, MaxInvocations: c.MaxInvocations,
		MaxPerTenant: c.Deferred.MaxPerTenant, MaxBytesPerTenant: c.Deferred.MaxMBPerTenant << 20}
}

// Describe tells what the scheduler needs to know of a function.
func (c *Config) Describe(name string) (executor.Function, bool) {
	f := c.Functions[name]
	if f == nil {
		return executor.Function{}, false
	}
	return executor.Function{Key: f.Key, Cost: max(f.WorkEstimate.Seconds(), leastCost)}, true
}

// leastCost is what a run counts at the least, in seconds: it takes a place and a frame each way.
const leastCost = 0.01

// Call makes the call of an order, with the figures of the catalogue.
func (c *Config) Call(o *invocation.Request) (*call.Call, error) {
	f := c.Functions[o.Function]
	if f == nil {
		return nil, fmt.Errorf("no function %q", o.Function)
	}
	return &call.Call{Class: f.Class, Tenant: o.Tenant, Function: f.Key, WorkEstimate: f.WorkEstimate, MemoryMB: f.MemoryMB,
		Concurrency: f.Concurrency, LoadTime: f.LoadTime, Body: o.Body}, nil
}

// Explain says what the file means, for people.
func (c *Config) Explain() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("listens on %s, at most %d connections and %d requests in hand", c.Listen, c.MaxConns, c.MaxInFlight)
	line("identity by the Workload API at %s; %d SPIFFE IDs may call", c.WorkloadAPI, len(c.Tenants))
	line("tickets in %s, control socket %s", c.Store, c.Control)
	line("at most %d tickets; answers kept %v, dead letters %v", c.MaxInvocations, c.Retention, c.Deferred.DeadRetention)
	line("deferred: %d to %d runs at once, at most %d of one function, at most %d runs of a ticket",
		c.Deferred.MinConcurrency, c.Deferred.MaxConcurrency, c.Deferred.MaxPerFunction, c.Deferred.MaxRuns)
	for _, name := range slices.Sorted(maps.Keys(c.Functions)) {
		f := c.Functions[name]
		line("function %s: %s, key %s, deadline %v up to %v, deferred life %v up to %v, bodies up to %d bytes", name, f.Class,
			f.Key, f.Deadline, f.MaxDeadline, f.Lifetime, f.MaxLifetime, f.MaxBody)
	}
	return b.String()
}
