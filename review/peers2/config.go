package peers2

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// Class is a class of calls in the settings, under the settings' names.
type Class struct {
	Name       string  `json:"name"`
	Credit     float64 `json:"credit"`
	LateValue  float64 `json:"late_value"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	WindowUS   int64   `json:"window_us"`
	DeadlineUS int64   `json:"deadline_us"`
	GoalUS     int64   `json:"goal_time_us"`
}

// TurnosClasses are the classes of the deployment turnos-central.
func TurnosClasses() []Class {
	return []Class{
		{Name: "consulta", Credit: 1, LateValue: 0.2, Effect: "pure", Group: "all", WindowUS: 5000000, DeadlineUS: 2000000,
			GoalUS: 750000},
		{Name: "reserva", Credit: 2, LateValue: 0.2, Effect: "side_effect", Group: "all", WindowUS: 5000000, DeadlineUS: 2500000,
			GoalUS: 800000},
	}
}

// Settings returns the settings of a deployment with one dispatcher, with the figures of turnos-central. The caller may
// change them.
func Settings(classes []Class) map[string]any {
	return map[string]any{
		"peers_total": 1, "position": 0, "zone": "sala-norte", "failure_domains": []string{"sala-norte", "sala-centro", "sala-sur"},
		"discovery": "push", "family": "warm", "weights": "rough", "grades": classes,
		"caps": map[string]any{"cancel": true, "second_copies": true, "try_limit": 4, "open_cap": 20000, "dial_timeout_us": 250000,
			"idle_close_us": 15000000, "max_streams": 32, "retry_after": false, "max_retry_after_us": 2000000},
		"clients": map[string]any{"marks_retry": false},
		"guarantees": map[string]any{"ask_within_us": 10000000, "cold_from": 0.27, "ramp_time_us": 16000000,
			"drain_grace_us": 1000000, "fall_multiple": 2.0, "fall_us": 3000000, "grace_to_answer_us": 16000},
		"domain": map[string]any{"placement_calls": true, "answer_within_us": 10000000, "keep_alive_us": 9400000,
			"load_floor": 6.0, "loads_per_request": 0.15, "load_period_us": 10000000, "tells_warm": true,
			"notes_peers_in_hand": true, "when_absent": "miss", "ram_mb_by_kind": []float64{8960}},
		"kinds": []string{"std-3c"}, "over_share_worth": 0.1, "worth_by": "work", "step_us": 4000,
		"parties": []map[string]any{
			{"name": "hospital-san-roque", "share": 0.6, "allowance_per_s": 70.0},
			{"name": "hospital-del-valle", "share": 0.4, "allowance_per_s": 47.0},
		},
	}
}

// Config is the configuration file of a dispatcher.
type Config struct {
	Name     string         `json:"name"`
	Listen   string         `json:"listen"`
	Seed     string         `json:"seed"`
	Limits   map[string]any `json:"limits"`
	Board    string         `json:"board"`
	Known    Answer         `json:"known"`
	Settings map[string]any `json:"settings"`
}

// NewConfig returns a configuration for a client address, a notice board and settings, with the events of the board.
func NewConfig(listen string, board *Board, settings map[string]any) *Config {
	return &Config{
		Name:     "n0",
		Listen:   listen,
		Seed:     "8c1f30d27a5be964",
		Limits:   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Board:    board.Addr,
		Known:    board.log.answerAfter(0),
		Settings: settings,
	}
}

// Write writes the file. An earlier one at the path is replaced as a whole.
func (c *Config) Write(path string) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	next := filepath.Join(filepath.Dir(path), "next.json")
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
