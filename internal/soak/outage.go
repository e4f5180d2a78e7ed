package soak

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// OutageKind says how discovery cannot be reached, or tells nothing true.
type OutageKind string

// The kinds of outages.
const (
	OutageRefused OutageKind = "refused" // nothing listens
	OutageSilent  OutageKind = "silent"  // polls are accepted and never answered
	OutageEmpty   OutageKind = "empty"   // polls are answered with nothing new
	OutageCutOff  OutageKind = "cut-off" // answers end in the middle
	OutageError   OutageKind = "error"   // status 503
	OutageOldList OutageKind = "old"     // the whole list of the first revision, under that revision
)

// outageKinds are all kinds.
var outageKinds = []OutageKind{OutageRefused, OutageSilent, OutageEmpty, OutageCutOff, OutageError, OutageOldList}

// Outage is a time in which discovery told a dispatcher nothing.
type Outage struct {
	Dispatcher int
	Kind       OutageKind
	Begin      time.Duration
	End        time.Duration
}

// BreakDiscovery has discovery tell the dispatchers nothing for a time, and returns after it. Dispatchers whose discovery is
// broken already stay as they are.
func (f *Fleet) BreakDiscovery(kind OutageKind, dispatchers []int, length time.Duration) error {
	begin := Now()
	broken := f.endpoints.begin(kind, dispatchers)
	if kind == OutageRefused {
		f.stopDiscovery(broken)
	}
	time.Sleep(length)
	var err error
	if kind == OutageRefused {
		err = f.serveDiscovery(broken)
	}
	f.endpoints.end(broken)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dispatcher := range broken {
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

// begin notes that outages begin, and returns the dispatchers that had none.
func (b *endpointList) begin(kind OutageKind, dispatchers []int) (broken []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, dispatcher := range dispatchers {
		if b.outages[dispatcher] == "" {
			b.outages[dispatcher] = kind
			broken = append(broken, dispatcher)
		}
	}
	b.wakeLocked()
	return broken
}

// end notes that outages have ended.
func (b *endpointList) end(dispatchers []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, dispatcher := range dispatchers {
		delete(b.outages, dispatcher)
	}
	b.wakeLocked()
}

// wakeLocked has all polls that wait look again.
func (b *endpointList) wakeLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// answerBroken answers a poll during an outage, after the time that the dispatcher lets it wait.
func (b *endpointList) answerBroken(w http.ResponseWriter, kind OutageKind, dispatcher, watched int) {
	switch kind {
	case OutageEmpty:
		json.NewEncoder(w).Encode(listAnswer{Revision: watched, Notifications: []listEvent{}})
	case OutageCutOff:
		w.Header().Set("Content-Length", strconv.Itoa(1<<10))
		w.Write([]byte(`{"rev":`))
	case OutageError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case OutageOldList:
		b.mu.Lock()
		first := b.eventLocked(dispatcher, 1)
		b.mu.Unlock()
		json.NewEncoder(w).Encode(listAnswer{Revision: 1, Notifications: []listEvent{first}})
	}
}
