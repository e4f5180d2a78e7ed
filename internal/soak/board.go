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

// toldAfter is when a change counts as told although it has not arrived (source: client protocol, figures).
const toldAfter = 7 * time.Second

// boardTarget is one worker in an event.
type boardTarget struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Model    string `json:"model"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	Capacity int    `json:"capacity_hint"`
	BootMS   int64  `json:"boot_ms"`
}

type boardEvent struct {
	Revision int `json:"rev"`
	Pool     struct {
		All     bool          `json:"all"`
		Targets []boardTarget `json:"targets"`
	} `json:"pool"`
}

type boardAnswer struct {
	Revision int          `json:"rev"`
	Notices  []boardEvent `json:"notices"`
}

// change is a change of the endpoint list, as the board keeps it.
type change struct {
	at     time.Duration
	worker *workerHandle
	state  string
	bootMS int64
}

// board is the endpoint list. The first revision is the whole list, and each change is another one.
type board struct {
	fleet *Fleet

	mu        sync.Mutex
	first     []change // the whole list of the first revision
	changes   []change
	changed   chan struct{} // closed at each change, and replaced
	hangUntil time.Duration // polls are not answered before
	notices   []Notice
}

func newBoard(f *Fleet) *board { return &board{fleet: f, changed: make(chan struct{})} }

// add adds a change.
func (b *board) add(worker *workerHandle, state string, bootMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changes = append(b.changes, change{at: Now(), worker: worker, state: state, bootMS: bootMS})
	close(b.changed)
	b.changed = make(chan struct{})
}

// hang has polls go unanswered for a time.
func (b *board) hang(length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hangUntil = Now() + length
}

// revisionLocked is the last revision.
func (b *board) revisionLocked() int { return 1 + len(b.changes) }

// eventLocked returns the event of a revision as a dispatcher sees it.
func (b *board) eventLocked(dispatcher, revision int) boardEvent {
	var event boardEvent
	event.Revision = revision
	if revision == 1 {
		event.Pool.All = true
		for _, c := range b.first {
			event.Pool.Targets = append(event.Pool.Targets, c.target(dispatcher))
		}
		return event
	}
	event.Pool.Targets = []boardTarget{b.changes[revision-2].target(dispatcher)}
	return event
}

// latestLocked returns the last change of each worker, in the order of their first.
func (b *board) latestLocked() []change {
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

// known returns the whole list as one event, for a dispatcher that starts now.
func (b *board) known(dispatcher int) boardAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var event boardEvent
	event.Revision = b.revisionLocked()
	event.Pool.All = true
	for _, c := range b.latestLocked() {
		event.Pool.Targets = append(event.Pool.Targets, c.target(dispatcher))
	}
	return boardAnswer{Revision: event.Revision, Notices: []boardEvent{event}}
}

// noteKnown notes that a dispatcher's process was told the whole list at its start.
func (b *board) noteKnown(dispatcher, run int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.latestLocked() {
		b.noteToldLocked(dispatcher, run, c)
	}
}

func (b *board) noteToldLocked(dispatcher, run int, c change) {
	b.notices = append(b.notices, Notice{Dispatcher: dispatcher, Run: run, Worker: c.worker.uid, State: c.state,
		BootMS: c.bootMS, At: Now()})
}

func (c change) target(dispatcher int) boardTarget {
	return boardTarget{
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
func (b *board) serve(dispatcher int, addr string) (stop func(), err error) {
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

// poll answers once later events exist, or when the time that the dispatcher gives is over.
func (b *board) poll(w http.ResponseWriter, r *http.Request, dispatcher int) {
	watched, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	lingerMS, _ := strconv.Atoi(r.URL.Query().Get("linger"))
	over := time.After(time.Duration(lingerMS) * time.Millisecond)
	for {
		b.mu.Lock()
		hang := b.hangUntil - Now()
		changed := b.changed
		pending := b.revisionLocked() > watched
		b.mu.Unlock()
		switch {
		case hang > 0:
			if waitOr(r.Context().Done(), hang) {
				return
			}
			continue
		case pending:
			b.answer(w, dispatcher, watched)
			return
		}
		select {
		case <-changed:
		case <-over:
			b.answer(w, dispatcher, watched)
			return
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

// answer writes the events after a revision. They count as told from now on.
func (b *board) answer(w http.ResponseWriter, dispatcher, watched int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := b.fleet.currentRun(dispatcher)
	answer := boardAnswer{Revision: b.revisionLocked(), Notices: []boardEvent{}}
	for revision := watched + 1; revision <= b.revisionLocked(); revision++ {
		answer.Notices = append(answer.Notices, b.eventLocked(dispatcher, revision))
		if revision > 1 {
			b.noteToldLocked(dispatcher, run, b.changes[revision-2])
		}
	}
	json.NewEncoder(w).Encode(answer)
}

// allNotices returns what dispatchers were told, also what counts as told without having arrived.
func (b *board) allNotices(runs []DispatcherRun) []Notice {
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
			if !told[key(run.Dispatcher, run.Run, c)] && c.at >= run.Started {
				notices = append(notices, Notice{Dispatcher: run.Dispatcher, Run: run.Run, Worker: c.worker.uid,
					State: c.state, BootMS: c.bootMS, At: c.at + toldAfter})
			}
		}
	}
	return notices
}

// dialable reports whether something listens at an address.
func dialable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}
