package peers2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The states of a worker in a notice.
const (
	Active  = "active"
	Leaving = "leaving"
)

// Target is a worker in a notice, under the protocol's names.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

type pool struct {
	Revision int      `json:"rev"`
	All      bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// Notice is one numbered event.
type Notice struct {
	Revision int  `json:"rev"`
	Pool     pool `json:"pool"`
}

// Answer is the answer to a poll.
type Answer struct {
	Revision int      `json:"rev"`
	Notices  []Notice `json:"notices"`
}

// Log holds the events of the notice board. Several boards may serve one log, as after a move. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	notices []Notice
	changed chan struct{} // closed and replaced at each event
}

// NewLog returns a log whose first event is the whole list.
func NewLog(targets ...Target) *Log {
	l := &Log{changed: make(chan struct{})}
	l.add(true, targets)
	return l
}

// Add appends an event with changed workers.
func (l *Log) Add(targets ...Target) { l.add(false, targets) }

func (l *Log) add(all bool, targets []Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := len(l.notices) + 1
	l.notices = append(l.notices, Notice{Revision: revision, Pool: pool{Revision: revision, All: all, Targets: targets}})
	close(l.changed)
	l.changed = make(chan struct{})
}

// answerAfter returns the answer with the events after a revision.
func (l *Log) answerAfter(revision int) Answer {
	answer, _ := l.next(revision)
	return answer
}

// next returns the answer with the events after a revision, and a channel that is closed at the next event.
func (l *Log) next(revision int) (Answer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := Answer{Revision: len(l.notices), Notices: []Notice{}}
	if revision < len(l.notices) {
		answer.Notices = append(answer.Notices, l.notices[max(0, revision):]...)
	}
	return answer, l.changed
}

// closeDelay is how long after a move the old board closes its open connections.
const closeDelay = 1500 * time.Millisecond

// Board answers the polls of dispatchers.
type Board struct {
	Addr string

	record   *Record
	log      *Log
	listener net.Listener
	server   *http.Server
	latency  time.Duration // by which every answer is late
	answered chan time.Time
	retired  chan struct{}
}

// NewBoard starts a notice board at a free loopback address. Each of its answers comes later by latency than it could.
func NewBoard(record *Record, log *Log, latency time.Duration) (*Board, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Board{Addr: listener.Addr().String(), record: record, log: log, listener: listener, latency: latency,
		answered: make(chan time.Time, 1), retired: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board/poll", b.poll)
	b.server = &http.Server{Handler: mux}
	go b.server.Serve(listener) // returns when the board is closed
	return b, nil
}

// Close closes the board at once.
func (b *Board) Close() { b.server.Close() }

// Retire makes the board the old one after a move: it accepts no new connection, tells nothing further and closes the open
// connections after 1.5 s.
func (b *Board) Retire() {
	close(b.retired)
	b.listener.Close()
	time.AfterFunc(closeDelay, func() { b.server.Close() })
}

// Answered returns a channel that receives the times at which polls were answered; times that nobody takes are dropped.
func (b *Board) Answered() <-chan time.Time { return b.answered }

func (b *Board) poll(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	linger, _ := strconv.Atoi(r.URL.Query().Get("linger"))
	end := time.After(time.Duration(min(linger, 5000)) * time.Millisecond)
	answer, changed := b.log.next(revision)
	for waiting := len(answer.Notices) == 0; waiting; {
		select {
		case <-changed:
			answer, changed = b.log.next(revision)
			waiting = len(answer.Notices) == 0
		case <-end:
			waiting = false
		case <-b.retired:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	if !b.wait(r, b.latency) {
		return
	}
	json.NewEncoder(w).Encode(answer)
	if len(answer.Notices) > 0 {
		b.record.Logf("board %s: told revision %d", b.Addr, answer.Revision)
	}
	select {
	case b.answered <- time.Now():
	default:
	}
}

// wait waits for the latency of an answer. It returns false if the board has been moved or the dispatcher has left meanwhile.
func (b *Board) wait(r *http.Request, latency time.Duration) bool {
	select {
	case <-b.retired: // it tells nothing further
		<-r.Context().Done()
		return false
	default:
	}
	if latency == 0 {
		return true
	}
	select {
	case <-time.After(latency):
		return true
	case <-r.Context().Done():
		b.record.Logf("board %s: the dispatcher did not wait for the answer", b.Addr)
		return false
	}
}
