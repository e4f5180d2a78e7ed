// Package discovery follows the endpoint list: it polls the platform's server for numbered events that tell of the
// workers, and passes them on in the balancer's terms.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/channel"
	"kitefall/internal/descriptors"
	"kitefall/internal/logthrottle"
)

const (
	// pollWait is how long the server may hold a poll; the protocol allows 5 s at most. It is short, since a server that
	// hangs with its connections open is found out only by a poll that goes unanswered: with pollTimeout it bounds how
	// old the list may be, and a worker that drains must get no new work 1 s after the event.
	pollWait = time.Second

	// pollTimeout is how long a poll may take before it has failed.
	pollTimeout = pollWait + 400*time.Millisecond

	// pollBackoff is the pause after a poll that failed or was answered early without new events, and maxPollBackoff what it
	// grows to while that goes on. It is short, since a sync must be had long before what is believed expires; pollJitter is the
	// part of it that is drawn, lest a fleet polls at the same moment when the server is back.
	pollBackoff    = 50 * time.Millisecond
	maxPollBackoff = 400 * time.Millisecond
	pollJitter     = 0.3

	// earlyAnswer bounds the time within which an answer without new events counts as early.
	earlyAnswer = pollWait / 2

	maxResponseSize = 4 << 20 // bytes
)

// errNothingNew tells of an answer that came early and held no new events. Without a pause after it, a server that repeats
// what is known would be polled in a busy loop.
var errNothingNew = errors.New("poll was answered early without new events")

// The logs of polls are throttled, since a server can make them fail and succeed in turn.
var (
	pollFailedLog    = logthrottle.New()
	pollRecoveredLog = logthrottle.New()
)

// Watcher polls the endpoint list and passes on each event once, in the order of revisions.
//
// Seed must not be called during Run. SetAddress may be called from any goroutine at any time.
type Watcher struct {
	receiver Receiver
	client   *http.Client
	revision int64     // of the last event that was passed on
	hasList  bool      // an event with the whole list was passed on
	failing  bool      // the last poll failed
	synced   freshness // how old the last sync is

	mu          sync.Mutex
	addr        string
	addrChanged chan struct{} // closed when addr changes, and replaced
}

// Receiver takes in what a Watcher hears. It is called from the goroutine of Seed or Run.
type Receiver interface {
	// UpdateEndpoints takes in an endpoint list or a change of it.
	UpdateEndpoints(update Update)
	// ConfirmEndpoints takes in that the updates so far were all that discovery knew at a time.
	ConfirmEndpoints(asOf time.Time)
}

// NewWatcher returns a watcher of the endpoint list at addr (host:port), whose connections take their descriptors from a
// share.
func NewWatcher(addr string, share *descriptors.Share, receiver Receiver) *Watcher {
	transport := &http.Transport{ // without a proxy, whatever the environment says
		DialContext:         share.DialContext,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        1,
	}
	return &Watcher{addr: addr, receiver: receiver, client: &http.Client{Transport: transport},
		addrChanged: make(chan struct{}), synced: freshness{asOf: time.Now()}}
}

// SetAddress has the watcher poll the server at addr from now on. The poll under way is abandoned, since the old server
// may hold it and tell nothing more. Revisions go on from the last one.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	close(w.addrChanged)
	w.addrChanged = make(chan struct{})
}

// address returns the server's address, and a channel that is closed when it changes.
func (w *Watcher) address() (addr string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr, w.addrChanged
}

// Seed passes on the events that were known at the start. They may have missed changes of the last moment, so the whole list
// among them has the scope balancer.ScopeStale.
func (w *Watcher) Seed(known WatchResponse) { w.apply(known, balancer.ScopeStale, time.Now()) }

// Run polls the server until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := pollBackoff
	for ctx.Err() == nil {
		addr, addrChanged := w.address()
		err := w.poll(ctx, addr, addrChanged)
		if channel.IsClosed(addrChanged) {
			pause = pollBackoff
			continue // the new server is polled at once, and how the poll of the old one ended says nothing
		}
		if ctx.Err() == nil {
			w.noteOutcome(err)
		}
		if err == nil {
			pause = pollBackoff
			continue
		}
		backOff(ctx, addrChanged, jittered(pause))
		pause = min(2*pause, maxPollBackoff)
	}
}

// jittered draws a pause of at least the one given.
func jittered(pause time.Duration) time.Duration {
	return pause + time.Duration(pollJitter*rand.Float64()*float64(pause))
}

// noteOutcome logs when polls begin to fail, and when they succeed again.
func (w *Watcher) noteOutcome(err error) {
	failed := err != nil
	if failed == w.failing {
		return
	}
	w.failing = failed
	if failed {
		pollFailedLog.Log(slog.LevelWarn, "discovery: poll failed, the endpoint list stays as it is", "err", err)
	} else {
		pollRecoveredLog.Log(slog.LevelInfo, "discovery: polls succeed again", "rev", w.revision)
	}
}

// backOff waits for a time, or until the address changes or ctx ends.
func backOff(ctx context.Context, addrChanged <-chan struct{}, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-addrChanged:
	case <-ctx.Done():
	}
}

// poll asks the server at addr for new events, once, and passes them on. It is abandoned when ctx ends or addrChanged is
// closed.
func (w *Watcher) poll(ctx context.Context, addr string, addrChanged <-chan struct{}) error {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, sent.Add(pollTimeout))
	defer cancel() // which ends the goroutine too
	go func() {
		select {
		case <-addrChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	response, err := w.fetch(ctx, pollURL(addr, w.revision, pollWait))
	if err != nil {
		if !channel.IsClosed(addrChanged) {
			w.synced.note(pollFailed, sent, time.Now(), w.revision)
		}
		return err
	}
	asOf := sent
	if !w.isComplete(response) { // what it names may have changed by an event that has not come
		asOf = w.synced.asOf
	}
	hasNew := w.apply(response, balancer.ScopeFull, asOf)
	isEarly := !hasNew && time.Since(sent) < earlyAnswer
	outcome := w.outcome(response, hasNew, isEarly)
	w.synced.note(outcome, sent, time.Now(), w.revision)
	if outcome.isSync() {
		w.receiver.ConfirmEndpoints(sent)
	}
	if isEarly {
		return errNothingNew
	}
	return nil
}

// fetch gets and decodes the server's answer.
func (w *Watcher) fetch(ctx context.Context, url string) (WatchResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return WatchResponse{}, err
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return WatchResponse{}, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return WatchResponse{}, fmt.Errorf("status %s", answer.Status)
	}
	var response WatchResponse
	err = json.NewDecoder(io.LimitReader(answer.Body, maxResponseSize)).Decode(&response)
	return response, err
}

// apply passes on the events that are new, as of a time, and reports whether there were any; fullScope is the scope of whole
// lists. The revision follows the events, not the answer: that may name an event which has not come.
func (w *Watcher) apply(response WatchResponse, fullScope balancer.UpdateScope, asOf time.Time) (hasNew bool) {
	for _, event := range response.Events {
		if !w.isNew(&event) {
			continue
		}
		w.revision = event.Revision
		w.hasList = w.hasList || event.Pool.All
		hasNew = true
		update := event.update(fullScope)
		update.AsOf = asOf
		w.receiver.UpdateEndpoints(update)
	}
	return hasNew
}

// isNew reports whether an event is to be passed on. A late answer may repeat events, and an old one taken again would
// undo a newer one. A change means nothing before there is a list that it could change.
func (w *Watcher) isNew(event *WatchEvent) bool {
	return event.Revision > w.revision && (w.hasList || event.Pool.All)
}
