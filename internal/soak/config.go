package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"kitefall/internal/wallstep"
)

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

type Config struct {
	Program     string // the dispatcher, built by wallstep.Build
	Folder      string // of records, logs and configurations
	Dispatchers int
	Workers     int // at the start
	Spares      int // further workers that may be started
	Seed        uint64
	Rules       Rules
	Worker      WorkerConfig      // the same for all; addresses, uid and record are filled in
	Steps       [][]wallstep.Step // of each dispatcher's wall clock, by its first process; may be shorter
}

func DefaultRules() Rules {
	return Rules{LoadBurst: 6, LoadRatio: 0.15, LoadWindow: 2 * time.Second, DrainGrace: time.Second, OverloadTimes: 2,
		OverloadSpan: time.Second, ColdFrom: 0.3, WarmAfter: 4 * time.Second, WorkerRate: 50}
}

func DefaultWorker() WorkerConfig {
	return WorkerConfig{Cores: 3, Queue: 40, Work: 60 * time.Millisecond, LoadTime: 30 * time.Millisecond,
		KeepAlive: time.Second}
}

func (f *Fleet) configPath(number int) string {
	return filepath.Join(f.config.Folder, fmt.Sprintf("config-%d.json", number))
}

func (f *Fleet) writeConfig(number int, list listAnswer) error {
	known, err := json.Marshal(list)
	if err != nil {
		return err
	}
	d := f.dispatchers[number]
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"board":%q,"known":%s,"settings":%s}`, number, f.dispatcherAddr(number), f.config.Seed*100+uint64(number),
		f.discoveryAddr(number, d.discovery), known, f.settings(number))
	temporary := f.configPath(number) + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.configPath(number))
}

func (f *Fleet) settings(number int) string {
	r := f.config.Rules
	return fmt.Sprintf(`{"peers_total":%d,"position":%d,"zone":"z%d","failure_domains":["z0","z1"],
		"grades":[{"name":%q,"credit":1,"late_value":0.2,"effect":"pure","deadline_us":2000000,"goal_time_us":750000},
		{"name":%q,"credit":2,"late_value":0.2,"effect":"side_effect","deadline_us":2500000,"goal_time_us":800000}],
		"caps":{"cancel":true,"second_copies":true,"try_limit":4,"open_cap":4096,"dial_timeout_us":250000,
		"idle_close_us":15000000,"max_streams":32},
		"guarantees":{"cold_from":%g,"ramp_time_us":%d,"drain_grace_us":%d,"fall_multiple":%g,"fall_us":%d,
		"grace_to_answer_us":16000},
		"domain":{"placement_calls":true,"answer_within_us":2000000,"keep_alive_us":%d,"load_floor":%g,
		"loads_per_request":%g,"load_period_us":%d,"tells_warm":true}}`,
		f.config.Dispatchers, number, number%2, ClassIdempotent, ClassNotIdempotent, r.ColdFrom, r.WarmAfter.Microseconds(),
		r.DrainGrace.Microseconds(), r.OverloadTimes, r.OverloadSpan.Microseconds(),
		f.config.Worker.KeepAlive.Microseconds(), r.LoadBurst, r.LoadRatio, r.LoadWindow.Microseconds())
}
