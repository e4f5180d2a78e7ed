package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// States of a worker in the endpoint list (source: endpoint-list protocol).
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateLeft    = "left"
)

// notificationDeadline is how long after a change of the endpoint list the change counts as known to a dispatcher, even if the
// dispatcher has not received it (source: client protocol, figures).
const notificationDeadline = 7 * time.Second

// listTarget is the state of one worker in an event.
type listTarget struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Model    string `json:"model"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	Capacity int    `json:"capacity_hint"`
	BootMS   int64  `json:"boot_ms"`
}

// listEvent holds the changes of one revision, or the whole list.
type listEvent struct {
	Revision int `json:"rev"`
	Pool     struct {
		All     bool         `json:"all"`
		Targets []listTarget `json:"targets"`
	} `json:"pool"`
}

// pollResponse is the body of the answer to a poll.
type pollResponse struct {
	Revision      int         `json:"rev"`
	Notifications []listEvent `json:"notices"`
}

// change is a change of one worker's state in the endpoint list.
type change struct {
	at     time.Duration
	worker *member
	state  string
	bootMS int64
}

// endpointList serves the endpoint list to the dispatchers. Revision 1 is the first list, and each change adds a revision.
type endpointList struct {
	fleet *Fleet

	mu            sync.Mutex
	first         []change // the list of revision 1
	changes       []change
	updated       chan struct{}      // closed and replaced when the list changes or an outage begins or ends
	outages       map[int]OutageKind // current outages, by dispatcher
	notifications []Notification     // when changes count as known to dispatchers
}

func newEndpointList(f *Fleet) *endpointList {
	return &endpointList{fleet: f, updated: make(chan struct{}), outages: map[int]OutageKind{}}
}

// add appends a change for each worker of a process.
func (l *endpointList) add(process *workerHandle, state string, bootMS int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, worker := range process.members {
		l.changes = append(l.changes, change{at: Now(), worker: worker, state: state, bootMS: bootMS})
	}
	l.wakePollsLocked()
}

// lastRevisionLocked returns the number of the last revision.
func (l *endpointList) lastRevisionLocked() int { return 1 + len(l.changes) }

// eventLocked returns the event of a revision, with the workers' addresses for a dispatcher.
func (l *endpointList) eventLocked(dispatcher, revision int) listEvent {
	var event listEvent
	event.Revision = revision
	if revision == 1 {
		event.Pool.All = true
		for _, c := range l.first {
			event.Pool.Targets = append(event.Pool.Targets, c.target(dispatcher))
		}
		return event
	}
	event.Pool.Targets = []listTarget{l.changes[revision-2].target(dispatcher)}
	return event
}

// latestChangesLocked returns the last change of each worker, in the order in which the workers were first listed.
func (l *endpointList) latestChangesLocked() []change {
	var latest []change
	index := map[string]int{}
	for _, c := range append(slices.Clone(l.first), l.changes...) {
		if i, seen := index[c.worker.uid]; seen {
			latest[i] = c
			continue
		}
		index[c.worker.uid] = len(latest)
		latest = append(latest, c)
	}
	return latest
}

// currentList returns the current list as one event, for the configuration of a dispatcher that starts or reloads, and the changes
// that the list contains.
func (l *endpointList) currentList(dispatcher int) (response pollResponse, changes []change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var event listEvent
	event.Revision = l.lastRevisionLocked()
	event.Pool.All = true
	changes = l.latestChangesLocked()
	for _, c := range changes {
		event.Pool.Targets = append(event.Pool.Targets, c.target(dispatcher))
	}
	return pollResponse{Revision: event.Revision, Notifications: []listEvent{event}}, changes
}

// firstList returns the first list as a start list, without later changes.
func (l *endpointList) firstList(dispatcher int) startList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return startList{
		response: pollResponse{Revision: 1, Notifications: []listEvent{l.eventLocked(dispatcher, 1)}},
		changes:  l.first,
	}
}

// recordStartList records that the changes in the start list of a dispatcher's process count as known to it from list.takenAt on.
func (l *endpointList) recordStartList(dispatcher, run int, list startList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range list.changes {
		l.recordNotificationLocked(dispatcher, run, c, list.takenAt)
	}
}

// recordNotificationLocked records that a change counts as known to a dispatcher's process from the time at on.
func (l *endpointList) recordNotificationLocked(dispatcher, run int, c change, at time.Duration) {
	l.notifications = append(l.notifications, Notification{Dispatcher: dispatcher, Run: run, Worker: c.worker.uid, State: c.state,
		BootMS: c.bootMS, KnownAt: at})
}

// target returns the changed worker as a dispatcher sees it in the list.
func (c change) target(dispatcher int) listTarget {
	return listTarget{
		UID:      c.worker.uid,
		Endpoint: c.worker.addr(dispatcher),
		Zone:     c.worker.zone,
		Model:    "std",
		State:    c.state,
		Capacity: 1,
		BootMS:   c.bootMS,
	}
}

// serve answers the polls of a dispatcher at an address until stop is called.
func (l *endpointList) serve(dispatcher int, addr string) (stop func(), err error) {
	listener, err := listenWithRetries(addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/board/poll", func(w http.ResponseWriter, r *http.Request) { l.poll(w, r, dispatcher) })
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	return func() { server.Close() }, nil
}

// poll answers once a revision later than the dispatcher's exists, or when the linger time in the request is over. During an
// outage respondDuringOutage answers: for OutageEmpty after the linger time, for OutageSilent never, for other kinds at once.
func (l *endpointList) poll(w http.ResponseWriter, r *http.Request, dispatcher int) {
	knownRevision, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	lingerMS, _ := strconv.Atoi(r.URL.Query().Get("linger"))
	lingerTimer := time.After(time.Duration(lingerMS) * time.Millisecond)
	for lingerOver := false; ; {
		l.mu.Lock()
		updated := l.updated
		pending := l.lastRevisionLocked() > knownRevision
		outage := l.outages[dispatcher]
		l.mu.Unlock()
		switch {
		case outage == "" && (pending || lingerOver):
			l.respond(w, dispatcher, knownRevision)
			return
		case outage != "" && outage != OutageSilent && (lingerOver || outage != OutageEmpty):
			l.respondDuringOutage(w, outage, dispatcher, knownRevision)
			return
		}
		select {
		case <-updated:
		case <-lingerTimer:
			lingerOver = true
			lingerTimer = nil
		case <-r.Context().Done():
			return
		}
	}
}

// waitOrDone waits until the time is over or done is closed, and reports whether done was closed first.
func waitOrDone(done <-chan struct{}, length time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(length):
		return false
	}
}

// respond answers a poll with the events after a revision. Each change counts as known to the dispatcher's process from now on, or
// from notificationDeadline after the change if that is earlier.
func (l *endpointList) respond(w http.ResponseWriter, dispatcher, knownRevision int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.fleet.currentRun(dispatcher)
	response := pollResponse{Revision: l.lastRevisionLocked(), Notifications: []listEvent{}}
	for revision := knownRevision + 1; revision <= l.lastRevisionLocked(); revision++ {
		response.Notifications = append(response.Notifications, l.eventLocked(dispatcher, revision))
		if revision > 1 {
			c := l.changes[revision-2]
			l.recordNotificationLocked(dispatcher, run, c, min(Now(), c.at+notificationDeadline))
		}
	}
	json.NewEncoder(w).Encode(response)
}

// allNotifications returns when each change counts as known to each dispatcher's process, including changes that did not reach it.
func (l *endpointList) allNotifications(runs []DispatcherRun) []Notification {
	l.mu.Lock()
	defer l.mu.Unlock()
	recorded := map[string]bool{}
	key := func(dispatcher, run int, c change) string {
		return fmt.Sprint(dispatcher, " ", run, " ", c.worker.uid, " ", c.state, " ", c.bootMS)
	}
	notifications := slices.Clone(l.notifications)
	for _, n := range notifications {
		recorded[fmt.Sprint(n.Dispatcher, " ", n.Run, " ", n.Worker, " ", n.State, " ", n.BootMS)] = true
	}
	for _, run := range runs {
		for _, c := range l.changes {
			if !recorded[key(run.Dispatcher, run.Run, c)] && c.at >= run.ListTakenAt {
				notifications = append(notifications, Notification{Dispatcher: run.Dispatcher, Run: run.Run, Worker: c.worker.uid,
					State: c.state, BootMS: c.bootMS, KnownAt: c.at + notificationDeadline})
			}
		}
	}
	return notifications
}

// allChanges returns the first list and all later changes, by time.
func (l *endpointList) allChanges() []ListChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []ListChange
	for _, c := range l.first {
		all = append(all, ListChange{Worker: c.worker.uid, State: c.state})
	}
	for _, c := range l.changes {
		all = append(all, ListChange{Worker: c.worker.uid, State: c.state, At: c.at})
	}
	return all
}

// dialable reports whether an address accepts a connection.
func dialable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}
