package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// object is a JSON object.
type object = map[string]any

// TurnosSettings returns the settings of turnos-central, as the wire page gives them, for one dispatcher.
func TurnosSettings() any {
	settings := commonSettings("turnos-workers", "std-3c", []string{"sala-norte", "sala-centro", "sala-sur"})
	settings["grades"] = []object{
		{"name": "consulta", "credit": 1, "late_value": 0.2, "effect": "pure", "group": "all", "window_us": 5000000,
			"deadline_us": 2000000, "goal_time_us": 750000, "stream": false},
		{"name": "reserva", "credit": 2, "late_value": 0.2, "effect": "side_effect", "group": "all", "window_us": 5000000,
			"deadline_us": 2500000, "goal_time_us": 800000, "stream": false}}
	settings["guarantees"] = object{"ask_within_us": 10000000, "cold_from": 0.27, "drain_grace_us": 1000000,
		"fall_multiple": 2, "fall_us": 3000000, "grace_to_answer_us": 16000, "ramp_time_us": 16000000}
	settings["parties"] = []object{{"name": "hospital-san-roque", "share": 0.6, "allowance_per_s": 70},
		{"name": "hospital-del-valle", "share": 0.4, "allowance_per_s": 47}}
	return settings
}

// GraniteSettings returns the settings of granite-mill for one dispatcher: the figures of its site file under the words of
// the wire page.
func GraniteSettings() any {
	settings := commonSettings("runner-fleet", "three-core", []string{"mill-a", "mill-b", "mill-c"})
	settings["grades"] = []object{
		{"name": "portion-quote", "credit": 1, "late_value": 0.1, "effect": "pure", "group": "all", "window_us": 6000000,
			"deadline_us": 3000000, "goal_time_us": 750000, "stream": false},
		{"name": "box-change", "credit": 2, "late_value": 0.3, "effect": "token", "group": "cell", "window_us": 6000000,
			"deadline_us": 3000000, "goal_time_us": 750000, "stream": false}}
	settings["guarantees"] = object{"ask_within_us": 10000000, "cold_from": 0.17, "drain_grace_us": 2000000,
		"fall_multiple": 4, "fall_us": 1500000, "grace_to_answer_us": 16000, "ramp_time_us": 16000000}
	settings["clients"] = object{"marks_retry": true}
	caps := settings["caps"].(object)
	caps["try_limit"], caps["max_streams"], caps["idle_close_us"] = 5, 100, 30000000
	caps["retry_after"], caps["max_retry_after_us"], caps["probing"] = true, 2000000, true
	domain := settings["domain"].(object)
	domain["notes_peers_in_hand"] = false
	domain["load_floor"], domain["loads_per_request"], domain["load_period_us"] = 0, 0, 0
	return settings
}

// commonSettings returns what the two deployments share.
func commonSettings(tier, kind string, zones []string) object {
	return object{
		"peers_total": 1, "position": 0, "zone": zones[0], "failure_domains": zones, "tiers": []string{tier}, "stage": 0,
		"kinds": []string{kind}, "family": "warm", "discovery": "push", "weights": "rough", "worth_by": "work",
		"over_share_worth": 0.1, "step_us": 4000, "parties": []object{}, "clients": object{"marks_retry": false},
		"caps": object{"cancel": true, "second_copies": true, "try_limit": 4, "open_cap": 20000, "dial_timeout_us": 250000,
			"idle_close_us": 15000000, "max_streams": 32, "retry_after": false, "probing": false, "peer_messages": false},
		"domain": object{"placement_calls": true, "answer_within_us": 10000000, "keep_alive_us": 9400000, "load_floor": 6,
			"loads_per_request": 0.15, "load_period_us": 10000000, "tells_warm": true, "notes_peers_in_hand": true,
			"when_absent": "miss", "price_of_idle": 0, "ram_mb_by_kind": []float64{8960}},
		"reporting": object{"fields": []string{}, "how": "off"},
	}
}

// WriteConfig writes a dispatcher's configuration file into the folder and returns its path.
func WriteConfig(folder, name, listen, board string, list Notices, settings any) (string, error) {
	text, err := json.MarshalIndent(object{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "board": board, "known": list, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}
