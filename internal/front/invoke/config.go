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

	"kitefall/internal/call"
	"kitefall/internal/schedule"
	"kitefall/internal/ticket"
	"kitefall/internal/ticket/desk"
	"kitefall/internal/ticket/store"
	"kitefall/internal/tomlfile"
	"kitefall/rules"
)

// Config is the operator's file.
type Config struct {
	Listen      string               `toml:"listen"`
	WorkloadAPI string               `toml:"workload_api"`
	Store       string               `toml:"store"`
	Control     string               `toml:"control"`      // the control socket; else beside the store
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

// Read reads the operator's file without what the platform tells: enough to find the store.
func Read(path string) (*Config, error) {
	c, _, err := read(path)
	return c, err
}

func read(path string) (*Config, *tomlfile.File, error) {
	c := &Config{Retention: 24 * time.Hour, MostWait: 20 * time.Second, MostOpen: 512, MostTickets: 100_000,
		Connections: 128, ids: map[spiffeid.ID]string{}}
	usual := schedule.Default()
	c.Deferred = Deferred{DeadRetention: 7 * 24 * time.Hour, LeastRunning: usual.LeastRuns, MostRunning: usual.MostRunning,
		PerFunction: usual.MostPerFunction, MostRuns: usual.MostRuns, Backoff: usual.Backoff, MostBackoff: usual.MostBackoff,
		RetryShare: usual.RetryShare, RetryFloor: usual.RetryFloor, Gather: usual.Gather, GatherRuns: usual.GatherRuns,
		Starve: usual.Starve}
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
func ReadConfig(path string, settings rules.Settings) (*Config, error) {
	return CheckConfig(path, settings, true)
}

// CheckConfig is ReadConfig, also for where the settings are not known: classes and tenants are not checked then.
func CheckConfig(path string, settings rules.Settings, known bool) (*Config, error) {
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
	need(c.MostWait >= 0, "has to be 0 or more", "most_wait")
	need(c.MostOpen >= 1, "has to be at least 1", "most_open")
	need(c.MostTickets >= 1, "has to be at least 1", "most_tickets")
	need(c.Connections >= 1, "has to be at least 1", "connections")
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
	classes := map[string]rules.Class{}
	for _, g := range settings.Classes {
		classes[g.Name] = g
	}
	for name, f := range c.Functions {
		class, ok := classes[f.Class]
		f.safe = ok && class.Effect == rules.Safe
		f.defaults()
		need := func(ok bool, what, key string) { need(ok, what, "functions", name, key) }
		need(ok || !known, fmt.Sprintf("no class %q in the settings", f.Class), "class")
		need(call.Hex16(f.Key), "has to be 16 hex digits, the function's name at the workers", "key")
		need(f.Deadline > 0, "has to be above 0", "deadline")
		need(f.MostTime >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "most_deadline")
		// The module takes the longest time seen in a class for that of a first try. One beyond the class's own
		// would make it take the other front's first tries for late repeats.
		need(!ok || f.MostTime <= class.Deadline, fmt.Sprintf("is over the %v of class %s", class.Deadline, f.Class),
			"most_deadline")
		need(f.Life >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "life")
		need(f.MostLife >= f.Life, fmt.Sprintf("is below the life of %v", f.Life), "most_life")
		need(f.MostLife <= mostLife, fmt.Sprintf("is over %v", mostLife), "most_life")
		need(f.MostBody >= 0 && f.MostBody <= call.MostBody, fmt.Sprintf("has to be from 0 to %d", call.MostBody), "most_body")
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
	if settings.Keep > 0 { // copies stand idle for so long at the least, unless a load needs their room
		p.Warm = settings.Keep * 2 / 3
	}
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
		err = errors.Join(err, errors.New("dead_retention has to be above 0, tenant_tickets and tenant_mb 0 or more"))
	}
	return err
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

// Explain says what the file means, for people.
func (c *Config) Explain() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("listens on %s, at most %d connections and %d requests in hand", c.Listen, c.Connections, c.MostOpen)
	line("identity by the Workload API at %s; %d SPIFFE IDs may call", c.WorkloadAPI, len(c.Tenants))
	line("tickets in %s, control socket %s", c.Store, c.Control)
	line("at most %d tickets; answers kept %v, dead letters %v", c.MostTickets, c.Retention, c.Deferred.DeadRetention)
	line("deferred: %d to %d runs at once, at most %d of one function, at most %d runs of a ticket",
		c.Deferred.LeastRunning, c.Deferred.MostRunning, c.Deferred.PerFunction, c.Deferred.MostRuns)
	for _, name := range slices.Sorted(maps.Keys(c.Functions)) {
		f := c.Functions[name]
		line("function %s: %s, key %s, deadline %v up to %v, deferred life %v up to %v, bodies up to %d bytes", name, f.Class,
			f.Key, f.Deadline, f.MostTime, f.Life, f.MostLife, f.MostBody)
	}
	return b.String()
}
