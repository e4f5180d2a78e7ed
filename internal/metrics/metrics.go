// Package metrics counts what the program decides and what it meets. The counters are published with package expvar, under
// one name, in the form in which an operators' HTTP address can serve them; until there is one, the log shows them.
//
// A counter has a name and a label, such as the status of a load order. All functions are safe for concurrent use.
package metrics

import (
	"expvar"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

// publishedName is the name of the counters among the variables of package expvar.
const publishedName = "kitefall"

// Counter is a family of counts, one for each label.
type Counter struct {
	name   string
	labels *expvar.Map
}

// The counters.
var (
	// Answers counts final answers, by outcome.
	Answers = newCounter("answers")
	// Attempts counts attempts that have ended, by status.
	Attempts = newCounter("attempts")
	// ClockSteps counts steps of the wall clock, by direction.
	ClockSteps = newCounter("clock_steps")
	// LoadOrders counts load orders that have ended, by status.
	LoadOrders = newCounter("load_orders")
	// Refusals counts what was refused at the last moment before it would have begun, by reason.
	Refusals = newCounter("refusals")
	// Violations counts decisions that would have broken a rule and were stopped, by rule. Anything but zero is a fault of
	// the program.
	Violations = newCounter("violations")
)

var (
	published = expvar.NewMap(publishedName)
	counters  = map[string]*Counter{}
)

func newCounter(name string) *Counter {
	return &Counter{name: name, labels: new(expvar.Map).Init()}
}

func init() {
	for _, c := range []*Counter{Answers, Attempts, ClockSteps, LoadOrders, Refusals, Violations} {
		counters[c.name] = c
		published.Set(c.name, c.labels)
	}
}

// Add counts one more for the label.
func (c *Counter) Add(label string) { c.labels.Add(label, 1) }

// Get returns the count of the label.
func (c *Counter) Get(label string) int64 {
	count, ok := c.labels.Get(label).(*expvar.Int)
	if !ok {
		return 0
	}
	return count.Value()
}

// Log writes all counts that are not zero in one line, sorted by name.
func Log() {
	var attributes []any
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if text := counters[name].text(); text != "" {
			attributes = append(attributes, slog.String(name, text))
		}
	}
	slog.Info("metrics", attributes...)
}

// text returns the counts as "label=count label=count".
func (c *Counter) text() string {
	var parts []string
	c.labels.Do(func(label expvar.KeyValue) { parts = append(parts, label.Key+"="+label.Value.String()) })
	return strings.Join(parts, " ")
}
