package invoke

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Explain describes the effective configuration in lines of text for operators.
func (c *Config) Explain() string {
	var text strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	writeLine("listens on %s, at most %d connections and %d requests in hand", c.Listen, c.MaxConns, c.MaxInFlight)
	writeLine("identity by the Workload API at %s; %d SPIFFE IDs may call", c.WorkloadAPI, len(c.Tenants))
	writeLine("tickets in %s, control socket %s", c.Store, c.Control)
	writeLine("at most %d tickets; answers kept %v, dead letters %v", c.MaxInvocations, c.Retention, c.Deferred.DeadLetterRetention)
	writeLine("deferred: %d to %d runs at once, at most %d of one function, at most %d runs of a ticket",
		c.Deferred.MinConcurrency, c.Deferred.MaxConcurrency, c.Deferred.MaxPerFunction, c.Deferred.MaxRuns)
	for _, name := range slices.Sorted(maps.Keys(c.Functions)) {
		f := c.Functions[name]
		writeLine("function %s: %s, key %s, deadline %v up to %v, deferred life %v up to %v, bodies up to %d bytes", name, f.Class,
			f.Key, f.Deadline, f.MaxDeadline, f.Lifetime, f.MaxLifetime, f.MaxBody)
	}
	return text.String()
}
