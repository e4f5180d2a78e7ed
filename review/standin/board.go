package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxLinger is the longest time for which the notice board holds a poll (source: protocol page).
const maxLinger = 5 * time.Second

// Target is a worker in the endpoint list.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	Group        int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

type pool struct {
	Revision int64    `json:"rev"`
	All      bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

type notice struct {
	Revision int64 `json:"rev"`
	Pool     pool  `json:"pool"`
}

// Notices is an answer of the notice board, and the form of the configuration's key known.
type Notices struct {
	Revision int64    `json:"rev"`
	Notices  []notice `json:"notices"`
}

// WholeList returns the first event, with the whole list.
func WholeList(targets []Target) Notices {
	return Notices{Revision: 1, Notices: []notice{{Revision: 1, Pool: pool{Revision: 1, All: true, Targets: targets}}}}
}

// Board is a notice board whose list does not change after its first event.
type Board struct {
	Addr string
	list Notices
}

// NewBoard starts a notice board that tells the given list.
func NewBoard(list Notices) (*Board, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Board{Addr: listener.Addr().String(), list: list}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board/poll", b.poll)
	go http.Serve(listener, mux)
	return b, nil
}

// poll answers at once if the dispatcher does not know the last event, and otherwise when the poll's time is over.
func (b *Board) poll(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseInt(r.FormValue("watch"), 10, 64)
	linger, _ := strconv.Atoi(r.FormValue("linger"))
	answer := b.list
	if known >= b.list.Revision {
		answer.Notices = []notice{}
		select {
		case <-time.After(min(time.Duration(linger)*time.Millisecond, maxLinger)):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
