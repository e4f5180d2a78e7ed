package config

import (
	"encoding/json"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// environmentPrefix starts the names of the environment variables with which the platform configures the program.
const environmentPrefix = "RELAY_"

// knownVariables are the environment variables that the program reads or whose values are also in the configuration file.
var knownVariables = []string{"RELAY_NAME", "RELAY_LISTEN", "RELAY_CONFIG", adminEnv}

// WarnUnknown logs one warning with the keys of the configuration file and the environment variables of the platform that the
// program does not know, if there are any. They have no effect. Keys within the settings are not checked, because the settings
// describe more than this program needs.
func (c *Config) WarnUnknown(environment []string) {
	variables := unknownVariables(environment)
	if len(c.UnknownKeys)+len(variables) > 0 {
		slog.Warn("config: not known and without effect", "keys", strings.Join(c.UnknownKeys, " "),
			"variables", strings.Join(variables, " "))
	}
}

// unknownKeys returns the keys of a configuration file, sorted, that are not the JSON key of a field of Config or Limits.
func unknownKeys(file []byte) []string {
	var sections struct {
		Limits map[string]json.RawMessage `json:"limits"`
	}
	var topLevel map[string]json.RawMessage
	if json.Unmarshal(file, &sections) != nil || json.Unmarshal(file, &topLevel) != nil {
		return nil // Read reports the error in the file
	}
	unknown := keysNotIn(topLevel, reflect.TypeFor[Config](), "")
	unknown = append(unknown, keysNotIn(sections.Limits, reflect.TypeFor[Limits](), "limits.")...)
	slices.Sort(unknown)
	return unknown
}

// keysNotIn returns the keys of object that are not the JSON key of a field of structType, each with prefix before it.
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

// unknownVariables returns the names of the platform's environment variables, sorted, that are not in knownVariables.
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
