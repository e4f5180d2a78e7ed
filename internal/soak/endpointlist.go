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

// notifiedAfter is when a change counts as told although it has not arrived (source: client protocol, figures).
const notifiedAfter = 7 * time.Second

// listTarget is one worker in an event.
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

type listEvent struct {
	Revision int `json:"rev"`
	Pool     struct {
		All     bool         `json:"all"`
		Targets []listTarget `json:"targets"`
	} `json:"pool"`
}

type listAnswer struct {
	Revision      int         `json:"rev"`
	Notifications []listEvent `json:"notices"`
}

// change is a change of the endpoint list, as the endpoint list keeps it.
type change struct {
	at     time.Duration
	worker *member
	state  string
	bootMS int64
}

// endpointList is the endpoint list. The first revision is the whole list, and each change is another one.
type endpointList struct {
	fleet *Fleet

	mu      sync.Mutex
	first   []change // the whole list of the first revision
	changes []change
	changed chan struct{}      // closed at each change and outage, and replaced
	outages map[int]OutageKind // under way, by dispatcher
	notices []Notification
}

func newEndpointList(f *Fleet) *endpointList {
	return &endpointList{fleet: f, changed: make(chan struct{}), outages: map[int]OutageKind{}}
}

// add adds a change for each worker of a process.
func (b *endpointList) add(process *workerHandle, state string, bootMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, worker := range process.members {
		b.changes = append(b.changes, change{at: Now(), worker: worker, state: state, bootMS: bootMS})
	}
	b.wakeLocked()
}

// revisionLocked is the last revision.
func (b *endpointList) revisionLocked() int { return 1 + len(b.changes) }

// eventLocked returns the event of a revision as a dispatcher sees it.
func (b *endpointList) eventLocked(dispatcher, revision int) listEvent {
	var event listEvent
	event.Revision = revision
	if revision == 1 {
		event.Pool.All = true
		for _, c := range b.first {
			event.Pool.Targets = append(event.Pool.Targets, c.target(dispatcher))
		}
		return event
	}
	event.Pool.Targets = []listTarget{b.changes[revision-2].target(dispatcher)}
	return event
}

// latestLocked returns the last change of each worker, in the order of their first.
func (b *endpointList) latestLocked() []change {
	var latest []change
	index := map[string]int{}
	for _, c := range append(slices.Clone(b.first), b.changes...) {
		if i, seen := index[c.worker.uid]; seen {
			latest[i] = c
			continue
		}
		index[c.worker.uid] = len(latest)
		latest = append(latest, c)
	}
	return latest
}

// known returns the whole list as one event, for a dispatcher that starts or reloads now, and what it tells.
func (b *endpointList) known(dispatcher int) (answer listAnswer, told []change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var event listEvent
	event.Revision = b.revisionLocked()
	event.Pool.All = true
	told = b.latestLocked()
	for _, c := range told {
		event.Pool.Targets = append(event.Pool.Targets, c.target(dispatcher))
	}
	return listAnswer{Revision: event.Revision, Notifications: []listEvent{event}}, told
}

// firstKnown returns the first list, whatever has changed since.
func (b *endpointList) firstKnown(dispatcher int) startList {
	b.mu.Lock()
	defer b.mu.Unlock()
	return startList{
		answer: listAnswer{Revision: 1, Notifications: []listEvent{b.eventLocked(dispatcher, 1)}},
		told:   b.first,
	}
}

// noteKnown notes that a dispatcher's process was told at its start of what was in its list.
func (b *endpointList) noteKnown(dispatcher, run int, list startList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range list.told {
		b.noteNotifiedLocked(dispatcher, run, c, list.asOf)
	}
}

func (b *endpointList) noteNotifiedLocked(dispatcher, run int, c change, at time.Duration) {
	b.notices = append(b.notices, Notification{Dispatcher: dispatcher, Run: run, Worker: c.worker.uid, State: c.state,
		BootMS: c.bootMS, At: at})
}

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

// serve answers the polls of a dispatcher at an address until the returned function is called.
func (b *endpointList) serve(dispatcher int, addr string) (stop func(), err error) {
	listener, err := listenRetrying(addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/board/poll", func(w http.ResponseWriter, r *http.Request) { b.poll(w, r, dispatcher) })
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	return func() { server.Close() }, nil
}

// poll answers once later events exist, or when the time that the dispatcher gives is over. During an outage it answers as
// that has it.
func (b *endpointList) poll(w http.ResponseWriter, r *http.Request, dispatcher int) {
	watched, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	lingerMS, _ := strconv.Atoi(r.URL.Query().Get("linger"))
	over := time.After(time.Duration(lingerMS) * time.Millisecond)
	for isOver := false; ; {
		b.mu.Lock()
		changed := b.changed
		pending := b.revisionLocked() > watched
		outage := b.outages[dispatcher]
		b.mu.Unlock()
		switch {
		case outage == "" && (pending || isOver):
			b.answer(w, dispatcher, watched)
			return
		case outage != "" && outage != OutageSilent && (isOver || outage != OutageEmpty):
			b.answerBroken(w, outage, dispatcher, watched)
			return
		}
		select {
		case <-changed:
		case <-over:
			isOver = true
			over = nil
		case <-r.Context().Done():
			return
		}
	}
}

// waitOr waits and reports whether done came first.
func waitOr(done <-chan struct{}, length time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(length):
		return false
	}
}

// answer writes the events after a revision. They count as told from now on, or since notifiedAfter where they come later.
func (b *endpointList) answer(w http.ResponseWriter, dispatcher, watched int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := b.fleet.currentRun(dispatcher)
	answer := listAnswer{Revision: b.revisionLocked(), Notifications: []listEvent{}}
	for revision := watched + 1; revision <= b.revisionLocked(); revision++ {
		answer.Notifications = append(answer.Notifications, b.eventLocked(dispatcher, revision))
		if revision > 1 {
			c := b.changes[revision-2]
			b.noteNotifiedLocked(dispatcher, run, c, min(Now(), c.at+notifiedAfter))
		}
	}
	json.NewEncoder(w).Encode(answer)
}

// allNotifications returns what dispatchers were told, also what counts as told without having arrived.
func (b *endpointList) allNotifications(runs []DispatcherRun) []Notification {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := map[string]bool{}
	key := func(dispatcher, run int, c change) string {
		return fmt.Sprint(dispatcher, " ", run, " ", c.worker.uid, " ", c.state, " ", c.bootMS)
	}
	notices := slices.Clone(b.notices)
	for _, n := range notices {
		told[fmt.Sprint(n.Dispatcher, " ", n.Run, " ", n.Worker, " ", n.State, " ", n.BootMS)] = true
	}
	for _, run := range runs {
		for _, c := range b.changes {
			if !told[key(run.Dispatcher, run.Run, c)] && c.at >= run.ListedAt {
				notices = append(notices, Notification{Dispatcher: run.Dispatcher, Run: run.Run, Worker: c.worker.uid,
					State: c.state, BootMS: c.bootMS, At: c.at + notifiedAfter})
			}
		}
	}
	return notices
}

// allChanges returns the first list and all changes of it, by time.
func (b *endpointList) allChanges() []ListChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []ListChange
	for _, c := range b.first {
		all = append(all, ListChange{Worker: c.worker.uid, State: c.state})
	}
	for _, c := range b.changes {
		all = append(all, ListChange{Worker: c.worker.uid, State: c.state, At: c.at})
	}
	return all
}

// dialable reports whether something listens at an address.
func dialable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}
