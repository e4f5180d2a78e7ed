// Package invoke is the front for devices on poor links: an invoke API over HTTPS, with synchronous and
// deferred calls and SPIFFE identities. Both kinds of call are tickets; it decides nothing about them.
package invoke

import (
	"errors"
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"kitefall/internal/call"
	"kitefall/internal/schedule"
	"kitefall/internal/ticket"
	"kitefall/internal/ticket/desk"
	"kitefall/internal/ticket/store"
	"kitefall/rules"
)

// Config is the operator's file.
type Config struct {
	Listen      string               `toml:"listen"`
	WorkloadAPI string               `toml:"workload_api"`
	Store       string               `toml:"store"`
	Retention   time.Duration        `toml:"retention"`    // ended tickets are kept this long
	MostWait    time.Duration        `toml:"most_wait"`    // a poll may wait this long
	MostOpen    int                  `toml:"most_open"`    // requests in hand
	MostTickets int64                `toml:"most_tickets"` // tickets kept
	Deferred    Deferred             `toml:"deferred"`
	Connections int                  `toml:"connections"`
	Tenants     map[string]string    `toml:"tenants"` // SPIFFE ID to tenant
	Functions   map[string]*Function `toml:"functions"`

	ids map[spiffeid.ID]string
}

// Deferred bounds calls that nobody waits for on a connection. What is left out has the value of schedule.Default.
type Deferred struct {
	DeadRetention time.Duration `toml:"dead_retention"` // dead letters are kept this long
	TenantTickets int64         `toml:"tenant_tickets"` // kept of one tenant; 0: no bound of its own
	TenantMB      int64         `toml:"tenant_mb"`      // bodies and results of one tenant
	LeastRunning  int           `toml:"least_running"`
	MostRunning   int           `toml:"most_running"`
	PerFunction   int           `toml:"most_per_function"`
	MostRuns      int           `toml:"most_runs"`
	Backoff       time.Duration `toml:"backoff"`
	MostBackoff   time.Duration `toml:"most_backoff"`
	RetryShare    float64       `toml:"retry_share"`
	RetryFloor    float64       `toml:"retry_per_second"`
	Gather        time.Duration `toml:"gather"`
	GatherRuns    int           `toml:"gather_runs"`
	Starve        time.Duration `toml:"starve"`

	plan schedule.Config
}

// Function is an entry of the catalogue: what devices may ask for, and the figures of its copies.
type Function struct {
	Class       string        `toml:"class"`
	Key         string        `toml:"key"` // the function's name at the workers
	MemoryMB    float64       `toml:"memory_mb"`
	Lanes       int           `toml:"lanes"`
	Load        time.Duration `toml:"load"`
	Work        time.Duration `toml:"work"`
	Deadline    time.Duration `toml:"deadline"`      // where none is asked for
	MostTime    time.Duration `toml:"most_deadline"` // the longest that may be asked for
	Life        time.Duration `toml:"life"`          // of a deferred call, where none is asked for
	MostLife    time.Duration `toml:"most_life"`     // the longest that may be asked for
	MostBody    int64         `toml:"most_body"`
	ContentType string        `toml:"content_type"` // of request and result

	safe bool
}

// ReadConfig reads the operator's file and checks it against the classes of the settings.
func ReadConfig(path string, settings rules.Settings) (*Config, error) {
	c := &Config{Retention: 24 * time.Hour, MostWait: 20 * time.Second, MostOpen: 512, MostTickets: 100_000,
		Connections: 128, ids: map[spiffeid.ID]string{}}
	usual := schedule.Default()
	c.Deferred = Deferred{DeadRetention: 7 * 24 * time.Hour, LeastRunning: usual.LeastRuns, MostRunning: usual.MostRunning,
		PerFunction: usual.MostPerFunction, MostRuns: usual.MostRuns, Backoff: usual.Backoff, MostBackoff: usual.MostBackoff,
		RetryShare: usual.RetryShare, RetryFloor: usual.RetryFloor, Gather: usual.Gather, GatherRuns: usual.GatherRuns,
		Starve: usual.Starve}
	meta, err := toml.DecodeFile(path, c)
	if err != nil {
		return nil, err
	}
	if odd := meta.Undecoded(); len(odd) > 0 { // a misspelt bound would silently be none
		return nil, fmt.Errorf("%s: unknown settings %v", path, odd)
	}
	if c.Listen == "" || c.WorkloadAPI == "" || c.Store == "" || c.Retention <= 0 || c.MostOpen < 1 ||
		c.MostWait < 0 || c.MostTickets < 1 || c.Connections < 1 {
		err = errors.New("listen, workload_api, store, or a bound is missing")
	}
	known := map[string]bool{}
	for _, t := range settings.Tenants {
		known[t.Name] = true
	}
	for text, tenant := range c.Tenants {
		id, bad := spiffeid.FromString(text)
		if err = errors.Join(err, bad); len(known) > 0 && !known[tenant] {
			err = errors.Join(err, fmt.Errorf("%s: no tenant %q in the settings", text, tenant))
		}
		c.ids[id] = tenant
	}
	classes := map[string]rules.Class{}
	for _, g := range settings.Classes {
		classes[g.Name] = g
	}
	for name, f := range c.Functions {
		class, ok := classes[f.Class]
		f.safe = ok && class.Effect == rules.Safe
		if f.MostBody == 0 {
			f.MostBody = call.MostBody
		}
		if f.MostLife == 0 {
			f.MostLife = 24 * time.Hour
		}
		if f.Life == 0 {
			f.Life = min(time.Hour, f.MostLife)
		}
		if f.ContentType == "" {
			f.ContentType = "application/json"
		}
		// The module takes the longest time seen in a class for that of a first try. One beyond the class's own
		// would make it take the other front's first tries for late repeats.
		if f.MostTime > class.Deadline {
			err = errors.Join(err, fmt.Errorf("function %s: most_deadline is over the %v of class %s", name,
				class.Deadline, f.Class))
		}
		if !ok || !call.Hex16(f.Key) || f.Deadline <= 0 || f.MostTime < f.Deadline || f.MostBody > call.MostBody ||
			f.MostBody < 0 || f.Life < f.Deadline || f.MostLife < f.Life || f.MostLife > mostLife {
			err = errors.Join(err, fmt.Errorf("function %s: class, key, deadlines, lives or most_body cannot work", name))
		}
	}
	err = errors.Join(err, c.Deferred.check(settings))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// mostLife is the longest life of a deferred call.
const mostLife = 30 * 24 * time.Hour

// check makes the scheduler's settings, with the shares of the tenants and the worth of the classes.
func (d *Deferred) check(settings rules.Settings) error {
	p := schedule.Default()
	p.LeastRuns, p.MostRunning, p.MostPerFunction = d.LeastRunning, d.MostRunning, d.PerFunction
	p.MostRuns, p.Backoff, p.MostBackoff = d.MostRuns, d.Backoff, d.MostBackoff
	p.RetryShare, p.RetryFloor = d.RetryShare, d.RetryFloor
	p.Gather, p.GatherRuns, p.Starve = d.Gather, d.GatherRuns, d.Starve
	p.Tenants, p.Classes = map[string]float64{}, map[string]float64{}
	for _, t := range settings.Tenants {
		if t.Share > 0 {
			p.Tenants[t.Name] = t.Share
		}
	}
	for _, g := range settings.Classes {
		p.Classes[g.Name] = g.Worth
	}
	d.plan = p
	err := p.Validate()
	if d.DeadRetention <= 0 || d.TenantTickets < 0 || d.TenantMB < 0 {
		err = errors.Join(err, errors.New("dead_retention, tenant_tickets or tenant_mb cannot work"))
	}
	if err != nil {
		return fmt.Errorf("deferred: %w", err)
	}
	return nil
}

// Plan is how deferred calls are scheduled.
func (c *Config) Plan() schedule.Config { return c.Deferred.plan }

// Kept bounds the store.
func (c *Config) Kept() store.Options {
	return store.Options{Retention: c.Retention, DeadRetention: c.Deferred.DeadRetention, MostTickets: c.MostTickets,
		TenantTickets: c.Deferred.TenantTickets, TenantBytes: c.Deferred.TenantMB << 20}
}

// Describe tells what the scheduler needs to know of a function.
func (c *Config) Describe(name string) (desk.Function, bool) {
	f := c.Functions[name]
	if f == nil {
		return desk.Function{}, false
	}
	return desk.Function{Key: f.Key, Cost: max(f.Work.Seconds(), leastCost)}, true
}

// leastCost is what a run counts at the least, in seconds: it takes a place and a frame each way.
const leastCost = 0.01

// Call makes the call of an order, with the figures of the catalogue.
func (c *Config) Call(o *ticket.Order) (*call.Call, error) {
	f := c.Functions[o.Function]
	if f == nil {
		return nil, fmt.Errorf("no function %q", o.Function)
	}
	return &call.Call{Class: f.Class, Tenant: o.Tenant, Function: f.Key, Work: f.Work, Memory: f.MemoryMB,
		Lanes: f.Lanes, LoadTime: f.Load, Body: o.Body}, nil
}
