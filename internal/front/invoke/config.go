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
	"kitefall/internal/ticket"
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
	Connections int                  `toml:"connections"`
	Tenants     map[string]string    `toml:"tenants"` // SPIFFE ID to tenant
	Functions   map[string]*Function `toml:"functions"`

	ids map[spiffeid.ID]string
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
	MostBody    int64         `toml:"most_body"`
	ContentType string        `toml:"content_type"` // of request and result

	safe bool
}

// ReadConfig reads the operator's file and checks it against the classes of the settings.
func ReadConfig(path string, settings rules.Settings) (*Config, error) {
	c := &Config{Retention: 24 * time.Hour, MostWait: 20 * time.Second, MostOpen: 512, MostTickets: 100_000,
		Connections: 128, ids: map[spiffeid.ID]string{}}
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
		if f.ContentType == "" {
			f.ContentType = "application/json"
		}
		// The module takes the longest time seen in a class for that of a first try. One beyond the class's own
		// would make it take the other front's first tries for late repeats.
		if f.MostTime > class.Deadline {
			err = errors.Join(err, fmt.Errorf("function %s: most_deadline is over the %v of class %s", name,
				class.Deadline, f.Class))
		}
		if !ok || !call.Hex16(f.Key) || f.Deadline <= 0 || f.MostTime < f.Deadline || f.MostBody > call.MostBody {
			err = errors.Join(err, fmt.Errorf("function %s: class, key, deadlines or most_body cannot work", name))
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Prepare makes the call of an order, with the figures of the catalogue.
func (c *Config) Prepare(o ticket.Order) (*call.Call, bool, error) {
	f := c.Functions[o.Name]
	if f == nil {
		return nil, false, fmt.Errorf("no function %q", o.Name)
	}
	return &call.Call{Class: f.Class, Tenant: o.Tenant, Function: f.Key, Work: f.Work, Memory: f.MemoryMB,
		Lanes: f.Lanes, LoadTime: f.Load, Body: o.Body, Deadline: o.Deadline}, f.safe, nil
}
