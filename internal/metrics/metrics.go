// Package metrics counts decisions, outcomes and failures, and keeps the longest of some durations. All of them are published
// with package expvar under one name, so that an HTTP server can serve them. No address does so yet; they are only logged.
//
// A counter has a name and one count for each label, such as the status of a load order. All functions are safe for concurrent
// use.
package metrics

import (
	"expvar"
	"log/slog"
	"strings"
)

// publishedName is the name of the variable of package expvar that holds all counters and maxima.
const publishedName = "kitefall"

// published holds the counters and maxima by name. It is declared first, because each of them is published on creation.
var published = expvar.NewMap(publishedName)

// Counter holds one count for each label.
type Counter struct{ labels *expvar.Map }

// The counters.
var (
	// Answers counts final answers to calls, by outcome.
	Answers = newCounter("answers")
	// Attempts counts attempts that have ended, by status.
	Attempts = newCounter("attempts")
	// AnswersCut counts connections that were closed before their clients had taken all answers, by the reason of the close.
	AnswersCut = newCounter("answers_cut")
	// ClientConnsClosed counts closed connections of clients, by reason.
	ClientConnsClosed = newCounter("client_conns_closed")
	// ClientReadsPaused counts pauses in which nothing is read from a client's connection, by reason.
	ClientReadsPaused = newCounter("client_reads_paused")
	// ClockSteps counts steps of the wall clock, by direction.
	ClockSteps = newCounter("clock_steps")
	// Discovery counts how often the last sync with discovery became too old (silent), and how often a sync succeeded after
	// that (heard_again).
	Discovery = newCounter("discovery")
	// Leases counts leases of workers that ended because no sync or accepted call renewed them (ended), that ended because the
	// worker rejects calls (contested), and that are valid again (renewed).
	Leases = newCounter("leases")
	// LoadOrders counts load orders that have ended, by status.
	LoadOrders = newCounter("load_orders")
	// Keepalives counts the messages of keepalives to workers, at their end. Queries for the number of loaded copies have the
	// label asked; load orders have their status.
	Keepalives = newCounter("keepalives")
	// Polls counts polls of discovery that have ended, by outcome.
	Polls = newCounter("polls")
	// Refusals counts calls, attempts and load orders that were refused by the last check before their start, by reason.
	Refusals = newCounter("refusals")
	// Shortages counts operations that failed because this process had no descriptor or port left, by operation: accepting a
	// client (accept), connecting to a worker (dial), and connecting to discovery (discovery).
	Shortages = newCounter("shortages")
	// Violations counts, by rule, decisions that were stopped because they would have broken the rule, and breaches of the
	// rule that were found afterwards. A count above zero is a bug in the program.
	Violations = newCounter("violations")
	// WorkerConnsClosed counts connections to workers that were closed or could not be opened, by reason.
	WorkerConnsClosed = newCounter("worker_conns_closed")
)

// The maxima.
var (
	// EventLag is the longest time that an event waited for the event loop, in its queue or since its timer was due.
	EventLag = newMaximum("event_lag")
	// EventTime is the longest time that the event loop spent on one event.
	EventTime = newMaximum("event_time")
	// SyncAge is the highest age of the last sync with discovery at the end of a poll. The age runs from when the poll of that
	// sync was sent.
	SyncAge = newMaximum("sync_age")
)

// newCounter returns a new counter and publishes it under the given name.
func newCounter(name string) *Counter {
	c := &Counter{labels: new(expvar.Map).Init()}
	published.Set(name, c.labels)
	return c
}

// Add adds one to the count of the label.
func (c *Counter) Add(label string) { c.labels.Add(label, 1) }

// AddMany adds count to the count of the label. It does nothing if count is not positive.
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

// Log writes all counts and maxima that are not zero to the log in one line, sorted by name.
func Log() {
	var attributes []any
	published.Do(func(variable expvar.KeyValue) {
		if text := valueText(variable.Value); text != "" {
			attributes = append(attributes, slog.String(variable.Key, text))
		}
	})
	slog.Info("metrics", attributes...)
}

// valueText returns the value of a published variable for the log. It is empty if nothing was counted or observed.
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

// countsText returns the counts of a counter as "label=count label=count", sorted by label.
func countsText(labels *expvar.Map) string {
	var parts []string
	labels.Do(func(label expvar.KeyValue) { parts = append(parts, label.Key+"="+label.Value.String()) })
	return strings.Join(parts, " ")
}
