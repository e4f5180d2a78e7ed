package discovery

// pollOutcome says how a poll ended, in metrics.
type pollOutcome string

// The outcomes. The first two are a sync: the server has told everything that it knew when the poll was sent.
const (
	pollEvents     pollOutcome = "events"      // new events, up to the last one that exists
	pollNothingNew pollOutcome = "nothing_new" // there is no event after the last one known
	pollIncomplete pollOutcome = "incomplete"  // the answer names a last event that has not come
	pollBehind     pollOutcome = "behind"      // the server does not know the last event known here
	pollEarly      pollOutcome = "early"       // nothing new before its time was over: the server does not wait for events
	pollFailed     pollOutcome = "failed"      // no answer, or one that cannot be used
)

// isSync reports whether the poll has told all that its server knew.
func (o pollOutcome) isSync() bool { return o == pollEvents || o == pollNothingNew }

// isComplete reports whether an answer brings, with what is known, all events up to the last one that it names.
func (w *Watcher) isComplete(response WatchResponse) bool {
	last := w.revision
	for _, event := range response.Events {
		last = max(last, event.Revision)
	}
	return last == response.Revision
}

// outcome returns what an answer was worth once its events have been taken in. One without new events that is early is of a
// server that does not look for them: it would wait.
func (w *Watcher) outcome(response WatchResponse, hasNew, isEarly bool) pollOutcome {
	switch {
	case response.Revision > w.revision:
		return pollIncomplete
	case response.Revision < w.revision:
		return pollBehind
	case hasNew:
		return pollEvents
	case isEarly:
		return pollEarly
	default:
		return pollNothingNew
	}
}
