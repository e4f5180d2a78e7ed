package soak

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// OutageKind names a way in which discovery is out of reach or gives no current events.
type OutageKind string

// The kinds of outages.
const (
	OutageRefused OutageKind = "refused" // nothing listens at the discovery addresses
	OutageSilent  OutageKind = "silent"  // polls are accepted and never answered
	OutageEmpty   OutageKind = "empty"   // polls are answered without events, after the linger time
	OutageCutOff  OutageKind = "cut-off" // answers end before their declared length
	OutageError   OutageKind = "error"   // polls are answered with status 503
	OutageOldList OutageKind = "old"     // polls are answered with the whole list of revision 1
)

// outageKinds holds all kinds.
var outageKinds = []OutageKind{OutageRefused, OutageSilent, OutageEmpty, OutageCutOff, OutageError, OutageOldList}

// Outage is a period in which discovery gave a dispatcher no current events.
type Outage struct {
	Dispatcher int
	Kind       OutageKind
	Begin      time.Duration
	End        time.Duration
}

// BreakDiscovery causes an outage of discovery for dispatchers and returns when it has ended. It has no effect on dispatchers that
// already have an outage.
func (f *Fleet) BreakDiscovery(kind OutageKind, dispatchers []int, length time.Duration) error {
	begin := Now()
	affected := f.endpoints.beginOutage(kind, dispatchers)
	if kind == OutageRefused {
		f.stopDiscovery(affected)
	}
	time.Sleep(length)
	var err error
	if kind == OutageRefused {
		err = f.serveDiscovery(affected)
	}
	f.endpoints.endOutage(affected)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dispatcher := range affected {
		f.outages = append(f.outages, Outage{Dispatcher: dispatcher, Kind: kind, Begin: begin, End: Now()})
	}
	return err
}

// allDispatchers returns the numbers of all dispatchers.
func (f *Fleet) allDispatchers() []int {
	var numbers []int
	for i := range f.dispatchers {
		numbers = append(numbers, i)
	}
	return numbers
}

// beginOutage begins an outage for the dispatchers that have none, and returns them.
func (l *endpointList) beginOutage(kind OutageKind, dispatchers []int) (affected []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, dispatcher := range dispatchers {
		if l.outages[dispatcher] == "" {
			l.outages[dispatcher] = kind
			affected = append(affected, dispatcher)
		}
	}
	l.wakePollsLocked()
	return affected
}

// endOutage ends the outages of dispatchers.
func (l *endpointList) endOutage(dispatchers []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, dispatcher := range dispatchers {
		delete(l.outages, dispatcher)
	}
	l.wakePollsLocked()
}

// wakePollsLocked makes all waiting polls check the list and the outages again.
func (l *endpointList) wakePollsLocked() {
	close(l.updated)
	l.updated = make(chan struct{})
}

// respondDuringOutage answers a poll as the kind of outage requires. A poll that waits while OutageRefused begins may get an empty
// body.
func (l *endpointList) respondDuringOutage(w http.ResponseWriter, kind OutageKind, dispatcher, knownRevision int) {
	switch kind {
	case OutageEmpty:
		json.NewEncoder(w).Encode(pollResponse{Revision: knownRevision, Notifications: []listEvent{}})
	case OutageCutOff:
		w.Header().Set("Content-Length", strconv.Itoa(1<<10))
		w.Write([]byte(`{"rev":`))
	case OutageError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case OutageOldList:
		l.mu.Lock()
		first := l.eventLocked(dispatcher, 1)
		l.mu.Unlock()
		json.NewEncoder(w).Encode(pollResponse{Revision: 1, Notifications: []listEvent{first}})
	}
}
