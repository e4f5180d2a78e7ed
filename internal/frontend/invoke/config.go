package invoke

import (
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"kitefall/internal/call"
	"kitefall/internal/schedule"
	"kitefall/internal/tomlfile"
)

// Config is the content of the operator's file for the invoke frontend. It is not changed after it has been read,
// and is therefore safe for concurrent use. It implements executor.Catalog.
type Config struct {
	Listen         string               `toml:"listen"`       // address of the API
	WorkloadAPI    string               `toml:"workload_api"` // address of the SPIFFE Workload API
	Store          string               `toml:"store"`        // path of the invocation store
	Control        string               `toml:"control"`      // path of the control socket; default: Store + ".sock"
	Retention      time.Duration        `toml:"retention"`    // how long an invocation is kept after its completion
	MaxWait        time.Duration        `toml:"most_wait"`    // upper limit of the wait that Prefer: wait requests
	MaxInFlight    int                  `toml:"most_open"`    // maximum number of HTTP requests in flight
	MaxInvocations int64                `toml:"most_tickets"` // maximum number of invocations in the store
	Deferred       Deferred             `toml:"deferred"`
	MaxConns       int                  `toml:"connections"` // maximum number of open connections
	Tenants        map[string]string    `toml:"tenants"`     // tenant by SPIFFE ID
	Functions      map[string]*Function `toml:"functions"`   // function by its name in the API

	tenantByID map[spiffeid.ID]string // Tenants with the SPIFFE IDs parsed
}

// Deferred holds the limits of deferred invocations, which are stored and then run by the scheduler. A scheduler setting
// that the file leaves out keeps its value from schedule.Default.
type Deferred struct {
	DeadLetterRetention time.Duration `toml:"dead_retention"`    // how long a dead letter is kept after its completion
	MaxPerTenant        int64         `toml:"tenant_tickets"`    // stored invocations of one tenant at most; 0: no such limit
	MaxMiBPerTenant     int64         `toml:"tenant_mb"`         // MiB of bodies and results of one tenant at most; 0: no such limit
	MinConcurrency      int           `toml:"least_running"`     // runs that may always be in flight, unless the fleet is stalled
	MaxConcurrency      int           `toml:"most_running"`      // maximum number of runs in flight
	MaxPerFunction      int           `toml:"most_per_function"` // maximum number of runs in flight of one function
	MaxRuns             int           `toml:"most_runs"`         // runs of one invocation until it becomes a dead letter
	Backoff             time.Duration `toml:"backoff"`           // bound of the pause after the first run; doubles with each run
	MaxBackoff          time.Duration `toml:"most_backoff"`      // upper bound of the pause after any run
	RetryRatio          float64       `toml:"retry_share"`       // retries allowed for each first run, besides RetryRate
	RetryRate           float64       `toml:"retry_per_second"`  // retries allowed per second, besides RetryRatio
	BatchWait           time.Duration `toml:"gather"`            // how long a run may wait for others of its function before a load
	BatchSize           int           `toml:"gather_runs"`       // number of ready runs of one function that ends this wait
	StarvationLimit     time.Duration `toml:"starve"`            // an invocation ready for longer goes first in its tenant

	schedulerConfig schedule.Config // from the fields above and the settings of tenants and classes
}

// Function is a catalog entry: a function that clients may invoke, with the limits of its invocations and the properties
// that a call passes to the balancer and the workers.
type Function struct {
	Class        string        `toml:"class"`
	Key          string        `toml:"key"`           // the function's name at the workers: 16 hex digits
	MemoryMB     float64       `toml:"memory_mb"`     // memory of one loaded copy
	Concurrency  int           `toml:"lanes"`         // calls that one loaded copy runs concurrently
	LoadTime     time.Duration `toml:"load"`          // typical time to load a copy
	WorkEstimate time.Duration `toml:"work"`          // typical duration of a run
	Deadline     time.Duration `toml:"deadline"`      // time limit of a synchronous invocation whose request sets none
	MaxDeadline  time.Duration `toml:"most_deadline"` // longest time limit that a request may set; also limits each deferred run
	Lifetime     time.Duration `toml:"life"`          // lifetime of a deferred invocation whose request sets none
	MaxLifetime  time.Duration `toml:"most_life"`     // longest lifetime that a request may set
	MaxBody      int64         `toml:"most_body"`     // maximum size of a request body, in bytes
	ContentType  string        `toml:"content_type"`  // media type of request and result

	idempotent bool // the function's class is idempotent: its calls may run any number of times
}

// Defaults of the operator's file. The defaults of the scheduler's settings in Deferred are in schedule.Default.
const (
	defaultRetention           = 24 * time.Hour
	defaultDeadLetterRetention = 7 * 24 * time.Hour
	defaultMaxWait             = 20 * time.Second
	defaultMaxInFlight         = 512
	defaultMaxInvocations      = 100_000
	defaultMaxConns            = 128
	defaultLifetime            = time.Hour
	defaultMaxLifetime         = 24 * time.Hour
	defaultContentType         = "application/json"
)

// controlSocketSuffix is appended to the path of the store to get the path of the control socket if the file sets none.
const controlSocketSuffix = ".sock"

// ReadUnchecked reads the operator's file without validating its values. It serves callers that need only the store and
// the control socket.
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
		config.Control = config.Store + controlSocketSuffix
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
	defaults := schedule.Default()
	return Deferred{
		DeadLetterRetention: defaultDeadLetterRetention,
		MinConcurrency:      defaults.MinConcurrency,
		MaxConcurrency:      defaults.MaxConcurrency,
		MaxPerFunction:      defaults.MaxPerFunction,
		MaxRuns:             defaults.MaxRuns,
		Backoff:             defaults.Backoff,
		MaxBackoff:          defaults.MaxBackoff,
		RetryRatio:          defaults.RetryRatio,
		RetryRate:           defaults.RetryRate,
		BatchWait:           defaults.BatchWait,
		BatchSize:           defaults.BatchSize,
		StarvationLimit:     defaults.StarvationLimit,
	}
}

// setDefaults sets the limits and the content type that the file leaves out to their defaults.
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
