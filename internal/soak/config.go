package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"kitefall/internal/wallstep"
)

// Rules are the figures of the rules that dispatchers are told.
type Rules struct {
	LoadBurst     float64
	LoadRatio     float64
	LoadWindow    time.Duration
	DrainGrace    time.Duration
	OverloadTimes float64
	OverloadSpan  time.Duration
	ColdFrom      float64
	WarmAfter     time.Duration
	WorkerRate    float64 // calls a second that a warm worker can do
}

// Config configures a fleet.
type Config struct {
	Program     string // the dispatcher, built by wallstep.Build
	Folder      string // of records, logs and configurations
	Dispatchers int
	Workers     int // processes of workers at the start
	Spares      int // further ones that may be started
	Members     int // workers that each such process stands for, each with an address of its own; 0: one
	Seed        uint64
	Rules       Rules
	Limits      Limits            // of each dispatcher; the zero value: DefaultLimits
	Deadline    time.Duration     // of the classes, the longest one; 0: defaultDeadline
	Worker      WorkerConfig      // the same for all; members and record are filled in
	Steps       [][]wallstep.Step // of each dispatcher's wall clock, by its first process; may be shorter
}

// Limits are the resources that a dispatcher may use.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors
}

// DefaultLimits are limits that do not bind.
func DefaultLimits() Limits { return Limits{Cores: 1, MemoryMB: 192, Sockets: 1024} }

// defaultDeadline is the longest deadline of the classes where a configuration sets none.
const defaultDeadline = 2500 * time.Millisecond

const (
	// maxKillDelay is the most that a deadline adds to the time from SIGTERM to SIGKILL (source: client protocol, figures).
	maxKillDelay = 3 * time.Second
	// killMargin is what the time from SIGTERM to SIGKILL has beyond the deadline.
	killMargin = 700 * time.Millisecond
	// shorterDeadline is the deadline of idempotent calls, as a part of the longest one.
	shorterDeadline = 0.8
)

// applyDefaults fills in what is not set.
func (c *Config) applyDefaults() {
	c.Members = max(1, c.Members)
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits()
	}
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
}

// killDelay is the earliest time from SIGTERM to SIGKILL.
func (c *Config) killDelay() time.Duration { return min(c.Deadline, maxKillDelay) + killMargin }

// DefaultRules are rules with short windows, so that a run of a few seconds sees them bind.
func DefaultRules() Rules {
	return Rules{LoadBurst: 6, LoadRatio: 0.15, LoadWindow: 2 * time.Second, DrainGrace: time.Second, OverloadTimes: 2,
		OverloadSpan: time.Second, ColdFrom: 0.3, WarmAfter: 4 * time.Second, WorkerRate: 50}
}

// DefaultWorker is a worker that can do what DefaultRules say.
func DefaultWorker() WorkerConfig {
	return WorkerConfig{Cores: 3, Queue: 40, Work: 60 * time.Millisecond, LoadTime: 30 * time.Millisecond,
		KeepAlive: time.Second}
}

func (f *Fleet) configPath(number int) string {
	return filepath.Join(f.config.Folder, fmt.Sprintf("config-%d.json", number))
}

// writeConfig writes the configuration of a dispatcher.
func (f *Fleet) writeConfig(number int, list listAnswer) error {
	known, err := json.Marshal(list)
	if err != nil {
		return err
	}
	d := f.dispatchers[number]
	limits := f.config.Limits
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"%016x","limits":{"cores":%g,"memory_mb":%d,"sockets":%d},
		"admin":%q,"board":%q,"known":%s,"settings":%s}`, number, f.dispatcherAddr(number), f.config.Seed*100+uint64(number),
		limits.Cores, limits.MemoryMB, limits.Sockets, f.adminAddr(number), f.discoveryAddr(number, d.discovery), known,
		f.settings(number))
	temporary := f.configPath(number) + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.configPath(number))
}

// settings returns the settings object of a dispatcher (source: the platform's wire page).
func (f *Fleet) settings(number int) string {
	r := f.config.Rules
	shorter := time.Duration(shorterDeadline * float64(f.config.Deadline))
	return fmt.Sprintf(`{"peers_total":%d,"position":%d,"zone":"z%d","failure_domains":["z0","z1"],
		"grades":[{"name":%q,"credit":1,"late_value":0.2,"effect":"pure","deadline_us":%d,"goal_time_us":750000},
		{"name":%q,"credit":2,"late_value":0.2,"effect":"side_effect","deadline_us":%d,"goal_time_us":800000}],
		"caps":{"cancel":true,"second_copies":true,"try_limit":4,"open_cap":4096,"dial_timeout_us":250000,
		"idle_close_us":15000000,"max_streams":32},
		"guarantees":{"cold_from":%g,"ramp_time_us":%d,"drain_grace_us":%d,"fall_multiple":%g,"fall_us":%d,
		"grace_to_answer_us":16000},
		"domain":{"placement_calls":true,"answer_within_us":2000000,"keep_alive_us":%d,"load_floor":%g,
		"loads_per_request":%g,"load_period_us":%d,"tells_warm":true}}`,
		f.config.Dispatchers, number, number%2, ClassIdempotent, shorter.Microseconds(),
		ClassNotIdempotent, f.config.Deadline.Microseconds(), r.ColdFrom, r.WarmAfter.Microseconds(),
		r.DrainGrace.Microseconds(), r.OverloadTimes, r.OverloadSpan.Microseconds(),
		f.config.Worker.KeepAlive.Microseconds(), r.LoadBurst, r.LoadRatio, r.LoadWindow.Microseconds())
}
