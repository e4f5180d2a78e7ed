package config

import (
	"encoding/json"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// environmentPrefix begins the names of the environment variables with which the platform tells the program something.
const environmentPrefix = "RELAY_"

// knownVariables are the environment variables that the program reads, or whose values the configuration file repeats.
var knownVariables = []string{"RELAY_NAME", "RELAY_LISTEN", "RELAY_CONFIG", adminEnv}

// WarnUnknown writes one line to the log that names the keys of the configuration file and the platform's environment
// variables which the program does not know, if there are any: what is asked for by them is not done. The keys within the
// settings are not looked at, since settings describe more than this program needs.
func (c *Config) WarnUnknown(environment []string) {
	variables := unknownVariables(environment)
	if len(c.UnknownKeys)+len(variables) > 0 {
		slog.Warn("config: not known and without effect", "keys", strings.Join(c.UnknownKeys, " "),
			"variables", strings.Join(variables, " "))
	}
}

// unknownKeys returns the keys of a configuration file, sorted, that Config and Limits do not have.
func unknownKeys(file []byte) []string {
	var present struct {
		Limits map[string]json.RawMessage `json:"limits"`
	}
	var all map[string]json.RawMessage
	if json.Unmarshal(file, &present) != nil || json.Unmarshal(file, &all) != nil {
		return nil // config.Read tells what is wrong with the file
	}
	unknown := keysNotIn(all, reflect.TypeFor[Config](), "")
	unknown = append(unknown, keysNotIn(present.Limits, reflect.TypeFor[Limits](), "limits.")...)
	slices.Sort(unknown)
	return unknown
}

// keysNotIn returns the keys that no field of a struct is tagged with.
func keysNotIn(object map[string]json.RawMessage, structType reflect.Type, prefix string) []string {
	known := map[string]bool{}
	for i := range structType.NumField() {
		known[structType.Field(i).Tag.Get("json")] = true
	}
	var unknown []string
	for key := range maps.Keys(object) {
		if !known[key] {
			unknown = append(unknown, prefix+key)
		}
	}
	return unknown
}

// unknownVariables returns the names of the platform's variables, sorted, that are not among knownVariables.
func unknownVariables(environment []string) []string {
	var unknown []string
	for _, variable := range environment {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, environmentPrefix) && !slices.Contains(knownVariables, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return unknown
}
