package discovery

// pollOutcome is the result of a poll, as the metrics name it.
type pollOutcome string

// Poll outcomes. The first two are syncs: the answer is complete, that is, the server has sent every event that it knew of
// when the poll was sent.
const (
	pollEvents     pollOutcome = "events"      // new events, up to the revision of the answer
	pollNothingNew pollOutcome = "nothing_new" // no event is newer than the last known one
	pollIncomplete pollOutcome = "incomplete"  // the answer's revision is newer than its last event
	pollBehind     pollOutcome = "behind"      // the answer's revision is older than the last known event
	pollEarly      pollOutcome = "early"       // nothing new, in less than earlyAnswer: the server does not hold polls
	pollFailed     pollOutcome = "failed"      // no answer, or an invalid one
)

// isSync reports whether the poll returned every event that the server knew of.
func (o pollOutcome) isSync() bool { return o == pollEvents || o == pollNothingNew }

// isComplete reports whether the answer's revision equals the highest revision among its events and the last known event.
// Otherwise events are missing from the answer, or the server is behind.
func (w *Watcher) isComplete(response WatchResponse) bool {
	last := w.revision
	for _, event := range response.Events {
		last = max(last, event.Revision)
	}
	return last == response.Revision
}

// outcome classifies an answer after its events have been applied. An early answer without new events is no sync: a server
// that watches for events would have held the poll.
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
