package invoke

import (
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"kitefall/internal/call"
	"kitefall/internal/schedule"
	"kitefall/internal/tomlfile"
)

// Config is the operator's file for the invoke frontend. Once read it is not changed, and is safe for concurrent use.
//
// It implements executor.Catalog.
type Config struct {
	Listen         string               `toml:"listen"`       // address of the API
	WorkloadAPI    string               `toml:"workload_api"` // address of the SPIFFE Workload API
	Store          string               `toml:"store"`        // file of the invocation store
	Control        string               `toml:"control"`      // the control socket; by default beside the store
	Retention      time.Duration        `toml:"retention"`    // how long completed invocations are kept
	MaxWait        time.Duration        `toml:"most_wait"`    // how long a poll may wait for the outcome
	MaxInFlight    int                  `toml:"most_open"`    // HTTP requests in flight
	MaxInvocations int64                `toml:"most_tickets"` // invocations kept
	Deferred       Deferred             `toml:"deferred"`
	MaxConns       int                  `toml:"connections"` // open at a time
	Tenants        map[string]string    `toml:"tenants"`     // tenant by SPIFFE ID
	Functions      map[string]*Function `toml:"functions"`   // by the name in the API

	tenantByID map[spiffeid.ID]string // Tenants, parsed
}

// Deferred bounds the invocations that no connection waits for. What the file leaves out has the value of
// schedule.Default.
type Deferred struct {
	DeadRetention   time.Duration `toml:"dead_retention"`    // how long dead letters are kept
	MaxPerTenant    int64         `toml:"tenant_tickets"`    // invocations kept of one tenant; 0: no bound of its own
	MaxMBPerTenant  int64         `toml:"tenant_mb"`         // MiB of bodies and results of one tenant; 0: as above
	MinConcurrency  int           `toml:"least_running"`     // runs at a time that are always allowed
	MaxConcurrency  int           `toml:"most_running"`      // runs at a time
	MaxPerFunction  int           `toml:"most_per_function"` // runs at a time of one function
	MaxRuns         int           `toml:"most_runs"`         // of one invocation, which then becomes a dead letter
	Backoff         time.Duration `toml:"backoff"`           // bound on the pause after the first run, then doubled
	MaxBackoff      time.Duration `toml:"most_backoff"`      // bound on every pause
	RetryRatio      float64       `toml:"retry_share"`       // budget of retries: for each first run
	RetryRate       float64       `toml:"retry_per_second"`  // budget of retries: per second
	BatchWait       time.Duration `toml:"gather"`            // how long a run may wait for others of its function
	BatchSize       int           `toml:"gather_runs"`       // runs of one function that end such a wait
	StarvationLimit time.Duration `toml:"starve"`            // invocations ready for longer go first in their tenant

	scheduler schedule.Config // the above, with what the settings say of tenants and classes
}

// Function is an entry of the catalog: a function that clients may invoke, and what its workers need to know of it.
type Function struct {
	Class        string        `toml:"class"`
	Key          string        `toml:"key"`           // the function's name at the workers: 16 hex digits
	MemoryMB     float64       `toml:"memory_mb"`     // of one loaded copy
	Concurrency  int           `toml:"lanes"`         // calls that one loaded copy runs at a time
	LoadTime     time.Duration `toml:"load"`          // usual time to load a copy
	WorkEstimate time.Duration `toml:"work"`          // usual time of a run
	Deadline     time.Duration `toml:"deadline"`      // of a synchronous invocation that asks for none
	MaxDeadline  time.Duration `toml:"most_deadline"` // the longest that one may ask for; also bounds each deferred run
	Lifetime     time.Duration `toml:"life"`          // of a deferred invocation that asks for none
	MaxLifetime  time.Duration `toml:"most_life"`     // the longest that one may ask for
	MaxBody      int64         `toml:"most_body"`     // bytes of a request
	ContentType  string        `toml:"content_type"`  // of request and result

	idempotent bool // its class is
}

// Defaults of the operator's file. Those of Deferred are in schedule.Default.
const (
	defaultRetention      = 24 * time.Hour
	defaultDeadRetention  = 7 * 24 * time.Hour
	defaultMaxWait        = 20 * time.Second
	defaultMaxInFlight    = 512
	defaultMaxInvocations = 100_000
	defaultMaxConns       = 128
	defaultLifetime       = time.Hour
	defaultMaxLifetime    = 24 * time.Hour
	defaultContentType    = "application/json"
)

// controlSuffix makes the name of the control socket from that of the store, where the file does not give one.
const controlSuffix = ".sock"

// ReadUnchecked reads the operator's file without validating it: enough to find the store.
func ReadUnchecked(path string) (*Config, error) {
	config, _, err := read(path)
	return config, err
}

func read(path string) (*Config, *tomlfile.File, error) {
	config := defaultConfig()
	file, err := tomlfile.Read(path, config)
	if err != nil {
		return nil, nil, err
	}
	if config.Control == "" && config.Store != "" {
		config.Control = config.Store + controlSuffix
	}
	return config, file, nil
}

func defaultConfig() *Config {
	return &Config{
		Retention:      defaultRetention,
		MaxWait:        defaultMaxWait,
		MaxInFlight:    defaultMaxInFlight,
		MaxInvocations: defaultMaxInvocations,
		MaxConns:       defaultMaxConns,
		Deferred:       defaultDeferred(),
		tenantByID:     map[spiffeid.ID]string{},
	}
}

func defaultDeferred() Deferred {
	scheduler := schedule.Default()
	return Deferred{
		DeadRetention:   defaultDeadRetention,
		MinConcurrency:  scheduler.MinConcurrency,
		MaxConcurrency:  scheduler.MaxConcurrency,
		MaxPerFunction:  scheduler.MaxPerFunction,
		MaxRuns:         scheduler.MaxRuns,
		Backoff:         scheduler.Backoff,
		MaxBackoff:      scheduler.MaxBackoff,
		RetryRatio:      scheduler.RetryRatio,
		RetryRate:       scheduler.RetryRate,
		BatchWait:       scheduler.BatchWait,
		BatchSize:       scheduler.BatchSize,
		StarvationLimit: scheduler.StarvationLimit,
	}
}

// setDefaults fills in what the file leaves out.
func (f *Function) setDefaults() {
	if f.MaxBody == 0 {
		f.MaxBody = call.MaxBodyBytes
	}
	if f.MaxLifetime == 0 {
		f.MaxLifetime = defaultMaxLifetime
	}
	if f.Lifetime == 0 {
		f.Lifetime = min(defaultLifetime, f.MaxLifetime)
	}
	if f.ContentType == "" {
		f.ContentType = defaultContentType
	}
}
