package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"kitefall/internal/wallstep"
)

// Rules holds the limits that the oracle checks. All but WorkerRate are in the dispatchers' settings.
type Rules struct {
	LoadBurst         float64       // load orders allowed in each LoadWindow without any request
	LoadRatio         float64       // further load orders for each request in the LoadWindow
	LoadWindow        time.Duration // time window of the load budget
	DrainGrace        time.Duration // how long a dispatcher to which a drain counts as known may still call the worker
	OverloadFactor    float64       // calls in an OverloadWindow that count as an overload, as a multiple of the worker's capacity
	OverloadWindow    time.Duration // time window in which calls to a worker are counted
	ColdCapacityShare float64       // capacity of a worker at its start, as a share of that of a warm worker
	WarmUpTime        time.Duration // from a worker's start until it is warm
	WorkerRate        float64       // calls per second that a warm worker can serve
}

// Config configures a fleet.
type Config struct {
	Program           string // path of the dispatcher's program, built by wallstep.Build
	Folder            string // directory for records, logs and configurations
	Dispatchers       int
	Workers           int // worker processes at the start
	Spares            int // further worker processes that may be started later
	WorkersPerProcess int // workers in each process, each with an address of its own; 0: one
	Seed              uint64
	Rules             Rules
	Limits            Limits            // of each dispatcher; the zero value means DefaultLimits
	Deadline          time.Duration     // the longest deadline of the classes; 0: defaultDeadline
	Worker            WorkerConfig      // for all workers; the fleet fills in Members, Record, Seed and AcceptsFor
	WallClockSteps    [][]wallstep.Step // wall-clock steps of each dispatcher's first process; no entry: no steps
}

// Limits are the resources that a dispatcher may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors
}

// DefaultLimits returns limits that are high enough to have no effect.
func DefaultLimits() Limits { return Limits{Cores: 1, MemoryMB: 192, Sockets: 1024} }

// defaultDeadline is the longest deadline of the classes if a configuration sets none.
const defaultDeadline = 2500 * time.Millisecond

const (
	// maxKillDelay is the most that the deadline contributes to the time from SIGTERM to SIGKILL (source: client protocol, figures).
	maxKillDelay = 3 * time.Second
	// killMargin is the time from SIGTERM to SIGKILL beyond the deadline's contribution.
	killMargin = 700 * time.Millisecond
	// idempotentDeadlineShare is the deadline of idempotent calls as a share of the longest deadline.
	idempotentDeadlineShare = 0.8
)

// applyDefaults sets defaults for unset fields.
func (c *Config) applyDefaults() {
	c.WorkersPerProcess = max(1, c.WorkersPerProcess)
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits()
	}
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
}

// killDelay returns the shortest time from SIGTERM to SIGKILL on the platform.
func (c *Config) killDelay() time.Duration { return min(c.Deadline, maxKillDelay) + killMargin }

// DefaultRules returns rules with windows short enough that a run of a few seconds reaches the limits.
func DefaultRules() Rules {
	return Rules{LoadBurst: 6, LoadRatio: 0.15, LoadWindow: 2 * time.Second, DrainGrace: time.Second, OverloadFactor: 2,
		OverloadWindow: time.Second, ColdCapacityShare: 0.3, WarmUpTime: 4 * time.Second, WorkerRate: 50}
}

// DefaultWorker returns the configuration of a worker that reaches the WorkerRate of DefaultRules: 3 cores at 60 ms a call.
func DefaultWorker() WorkerConfig {
	return WorkerConfig{Cores: 3, Queue: 40, Work: 60 * time.Millisecond, LoadTime: 30 * time.Millisecond,
		KeepAlive: time.Second}
}

func (f *Fleet) configPath(number int) string {
	return filepath.Join(f.config.Folder, fmt.Sprintf("config-%d.json", number))
}

// writeConfig writes the configuration file of a dispatcher and replaces the old one atomically.
func (f *Fleet) writeConfig(number int, list pollResponse) error {
	listJSON, err := json.Marshal(list)
	if err != nil {
		return err
	}
	d := f.dispatchers[number]
	limits := f.config.Limits
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"%016x","limits":{"cores":%g,"memory_mb":%d,"sockets":%d},
		"admin":%q,"board":%q,"known":%s,"settings":%s}`, number, f.dispatcherAddr(number), f.config.Seed*100+uint64(number),
		limits.Cores, limits.MemoryMB, limits.Sockets, f.adminAddr(number), f.discoveryAddr(number, d.discoveryIndex), listJSON,
		f.settingsJSON(number))
	temporary := f.configPath(number) + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.configPath(number))
}

// settingsJSON returns the settings object of a dispatcher's configuration (source: the platform's wire page).
func (f *Fleet) settingsJSON(number int) string {
	r := f.config.Rules
	idempotentDeadline := time.Duration(idempotentDeadlineShare * float64(f.config.Deadline))
	return fmt.Sprintf(`{"peers_total":%d,"position":%d,"zone":"z%d","failure_domains":["z0","z1"],
		"grades":[{"name":%q,"credit":1,"late_value":0.2,"effect":"pure","deadline_us":%d,"goal_time_us":750000},
		{"name":%q,"credit":2,"late_value":0.2,"effect":"side_effect","deadline_us":%d,"goal_time_us":800000}],
		"caps":{"cancel":true,"second_copies":true,"try_limit":4,"open_cap":4096,"dial_timeout_us":250000,
		"idle_close_us":15000000,"max_streams":32},
		"guarantees":{"cold_from":%g,"ramp_time_us":%d,"drain_grace_us":%d,"fall_multiple":%g,"fall_us":%d,
		"grace_to_answer_us":16000},
		"domain":{"placement_calls":true,"answer_within_us":2000000,"keep_alive_us":%d,"load_floor":%g,
		"loads_per_request":%g,"load_period_us":%d,"tells_warm":true}}`,
		f.config.Dispatchers, number, number%2, ClassIdempotent, idempotentDeadline.Microseconds(),
		ClassNotIdempotent, f.config.Deadline.Microseconds(), r.ColdCapacityShare, r.WarmUpTime.Microseconds(),
		r.DrainGrace.Microseconds(), r.OverloadFactor, r.OverloadWindow.Microseconds(),
		f.config.Worker.KeepAlive.Microseconds(), r.LoadBurst, r.LoadRatio, r.LoadWindow.Microseconds())
}
