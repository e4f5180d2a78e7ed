// Package metrics counts what the program decides and what it meets. The counters are published with package expvar, under
// one name, in the form in which an operators' HTTP address can serve them; until there is one, the log shows them.
//
// A counter has a name and a label, such as the status of a load order. All functions are safe for concurrent use.
package metrics

import (
	"expvar"
	"log/slog"
	"strings"
)

// publishedName is the name of the counters among the variables of package expvar.
const publishedName = "kitefall"

// published holds the counters by name. It comes first, since each counter is published as it is made.
var published = expvar.NewMap(publishedName)

// Counter is a family of counts, one for each label.
type Counter struct{ labels *expvar.Map }

// The counters.
var (
	// Answers counts final answers, by outcome.
	Answers = newCounter("answers")
	// Attempts counts attempts that have ended, by status.
	Attempts = newCounter("attempts")
	// ClientConnsClosed counts connections of clients that have ended, by reason.
	ClientConnsClosed = newCounter("client_conns_closed")
	// ClockSteps counts steps of the wall clock, by direction.
	ClockSteps = newCounter("clock_steps")
	// Discovery counts how often discovery fell silent, and how often it was heard again.
	Discovery = newCounter("discovery")
	// Leases counts leases of workers that have ended, for want of a sync or since a rejection contests them, or are live again.
	Leases = newCounter("leases")
	// LoadOrders counts load orders that have ended, by status.
	LoadOrders = newCounter("load_orders")
	// Keepalives counts the asks and the load orders of keepalives that have ended, as asked and by status.
	Keepalives = newCounter("keepalives")
	// Polls counts polls of discovery that have ended, by outcome.
	Polls = newCounter("polls")
	// Refusals counts what was refused at the last moment before it would have begun, by reason.
	Refusals = newCounter("refusals")
	// Shortages counts what failed for want of a descriptor or port of this process, by who asked for it.
	Shortages = newCounter("shortages")
	// Violations counts decisions that would have broken a rule and were stopped, by rule. Anything but zero is a fault of
	// the program.
	Violations = newCounter("violations")
	// WorkerConnsClosed counts connections to workers that have ended, by reason.
	WorkerConnsClosed = newCounter("worker_conns_closed")
)

// The maxima.
var (
	// EventLag is how long an event waited for the event loop.
	EventLag = newMaximum("event_lag")
	// EventTime is how long the event loop was busy with one event.
	EventTime = newMaximum("event_time")
	// SyncAge is how old the last sync with discovery was when a poll ended.
	SyncAge = newMaximum("sync_age")
)

// newCounter returns a counter, which is published under its name.
func newCounter(name string) *Counter {
	c := &Counter{labels: new(expvar.Map).Init()}
	published.Set(name, c.labels)
	return c
}

// Add counts one more for the label.
func (c *Counter) Add(label string) { c.labels.Add(label, 1) }

// AddMany counts so many more for the label.
func (c *Counter) AddMany(label string, count int) {
	if count > 0 {
		c.labels.Add(label, int64(count))
	}
}

// Get returns the count of the label.
func (c *Counter) Get(label string) int64 {
	count, ok := c.labels.Get(label).(*expvar.Int)
	if !ok {
		return 0
	}
	return count.Value()
}

// Log writes all counts and maxima that are not zero in one line, sorted by name.
func Log() {
	var attributes []any
	published.Do(func(variable expvar.KeyValue) {
		if text := valueText(variable.Value); text != "" {
			attributes = append(attributes, slog.String(variable.Key, text))
		}
	})
	slog.Info("metrics", attributes...)
}

// valueText returns the value of a published variable for the log; empty: there is nothing to tell.
func valueText(variable expvar.Var) string {
	switch v := variable.(type) {
	case *expvar.Map:
		return countsText(v)
	case *Maximum:
		if v.Get() == 0 {
			return ""
		}
		return v.Get().String()
	default:
		return v.String()
	}
}

// countsText returns the counts of a counter as "label=count label=count".
func countsText(labels *expvar.Map) string {
	var parts []string
	labels.Do(func(label expvar.KeyValue) { parts = append(parts, label.Key+"="+label.Value.String()) })
	return strings.Join(parts, " ")
}
