// Package board follows the notice board: the numbered events that tell of the workers.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
)

const (
	// linger is how long the board may hold a poll, 5 s at most. Short, since a board that stops and stays open
	// is found out only by a poll that goes unanswered: with answerBy it bounds how old the list may be, and
	// new work to a worker that drains must end a grace of 1 s after what the board would have told.
	linger     = time.Second
	answerBy   = linger + 400*time.Millisecond // a poll unanswered by then is lost, and another is made
	again      = 50 * time.Millisecond         // pause after a poll that failed, or told nothing new before its time
	mostAnswer = 4 << 20                       // bytes of an answer
)

// Notices is an answer of the board.
type WatchResponse struct {
	Revision int64        `json:"rev"`
	Events   []WatchEvent `json:"notices"`
}

// Notice is one event: all workers, or those that have changed.
type WatchEvent struct {
	Revision int64 `json:"rev"`
	Pool     struct {
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	} `json:"pool"`
}

// Target is one worker.
type Target struct {
	UID          string   `json:"uid"`
	Endpoint     string   `json:"endpoint"`
	Zone         string   `json:"az"`
	Model        string   `json:"model"`
	Group        int      `json:"pod_group"`
	State        string   `json:"state"`
	CapacityHint *float64 `json:"capacity_hint"`
	BootMS       int64    `json:"boot_ms"`
}

// Entry is a worker as the module knows it, and where it listens.
type Endpoint struct {
	balancer.Worker
	Addr string
}

// List is news of the workers.
type Update struct {
	Scope     balancer.UpdateScope
	Endpoints []Endpoint
}

func (t Target) entry() Endpoint {
	w := balancer.Worker{ID: balancer.WorkerID(t.UID), Kind: t.Model, Zone: t.Zone, Cell: t.Group, Weight: 1,
		Started: time.Duration(t.BootMS) * time.Millisecond, State: balancer.Draining}
	switch t.State {
	case "active":
		w.State = balancer.Ready
	case "left":
		w.State = balancer.Removed
	}
	if t.CapacityHint != nil {
		w.Weight = *t.CapacityHint
	}
	return Endpoint{Worker: w, Addr: t.Endpoint}
}

// errNothingNew tells of an answer that came before its time and told nothing.
var errNothingNew = errors.New("an answer before its time that told nothing new")

// direct reaches the board without a proxy, whatever the environment says.
var direct = &http.Client{Transport: &http.Transport{}}

// Log lines that a board can cause at will: entries that name no worker, and polls that fail and go well in turn.
var unnamed, lost, back = logthrottle.New(), logthrottle.New(), logthrottle.New()

// Watcher holds the number of the last event and passes later ones on, each once and in order.
type Watcher struct {
	rev  int64
	seen bool // a whole list has come
	pass func(Update)

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when addr changes
}

// NewWatcher returns a watcher of the board at addr. News go to pass, from the goroutine that calls Known or Run.
func NewWatcher(addr string, pass func(Update)) *Watcher {
	return &Watcher{addr: addr, pass: pass, moved: make(chan struct{})}
}

// Move has the watcher follow the board at addr from now on. The poll in hand is dropped, since the old board
// may hold it and tell nothing more; the numbers of events go on.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	close(w.moved)
	w.moved = make(chan struct{})
}

func (w *Watcher) board() (string, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr, w.moved
}

// Known takes in the events of the start: they may be old.
func (w *Watcher) Seed(n WatchResponse) { w.take(n, balancer.ScopeStale) }

// take passes on the events that are new, and tells whether there were any. Only what has been told counts as told: the
// number of the last event, which comes with the answer, may be that of one that has not come.
func (w *Watcher) take(n WatchResponse, whole balancer.UpdateScope) (news bool) {
	for _, e := range n.Events {
		// A late answer may repeat events: an old one taken again would undo a newer one. A change says
		// nothing before there is a list that it could change.
		if e.Revision <= w.rev || !w.seen && !e.Pool.All {
			continue
		}
		w.rev, news = e.Revision, true
		l := Update{Scope: balancer.ScopeDelta}
		if e.Pool.All {
			l.Scope, w.seen = whole, true
		}
		for _, t := range e.Pool.Targets {
			if t.UID == "" {
				unnamed.Log(slog.LevelWarn, "board: an entry names no worker", "rev", e.Revision, "addr", t.Endpoint)
				continue
			}
			l.Endpoints = append(l.Endpoints, t.entry())
		}
		w.pass(l)
	}
	return news
}

// Run polls the board until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		addr, moved := w.board()
		err := w.poll(ctx, addr, moved)
		select {
		case <-moved: // the new board is asked at once, and how the old one ended says nothing
			continue
		default:
		}
		if (err != nil) != failing && ctx.Err() == nil {
			if failing = err != nil; failing {
				lost.Log(slog.LevelWarn, "board: poll failed, the list stays as it is", "err", err)
			} else {
				back.Log(slog.LevelInfo, "board: polls are answered again", "rev", w.rev)
			}
		}
		if err != nil {
			select {
			case <-time.After(again):
			case <-moved:
			case <-ctx.Done():
			}
		}
	}
}

func (w *Watcher) poll(ctx context.Context, addr string, moved chan struct{}) error {
	asked := time.Now()
	ctx, cancel := context.WithDeadline(ctx, asked.Add(answerBy))
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	url := fmt.Sprintf("http://%s/board/poll?watch=%d&linger=%d", addr, w.rev, linger.Milliseconds())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	a, err := direct.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", a.Status)
	}
	var n WatchResponse
	if err := json.NewDecoder(io.LimitReader(a.Body, mostAnswer)).Decode(&n); err != nil {
		return err
	}
	if !w.take(n, balancer.ScopeFull) && time.Since(asked) < linger/2 {
		return errNothingNew // asked again without a pause, it would be asked without end
	}
	return nil
}
