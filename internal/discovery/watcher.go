// Package discovery watches the endpoint list: it long-polls the platform's discovery server for numbered events about
// workers, and passes them on in the balancer's representation.
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
	// pollWait is how long the server may hold a poll; the protocol allows 5 s at most. It is short because a server that
	// hangs with its connections open is detected only when a poll times out. pollWait and pollTimeout thus bound the age of
	// the list, and a draining worker must get no new work from 1 s after the event on.
	pollWait = time.Second

	// pollTimeout is the time from the sending of a poll after which the poll counts as failed if it is not answered.
	pollTimeout = pollWait + 400*time.Millisecond

	// pollBackoff is the pause after a poll that failed or was answered early without new events. It doubles up to
	// maxPollBackoff while such polls repeat. It is short, since a sync must succeed long before the workers' leases expire.
	// Each pause is extended by a random fraction of up to pollJitter, so that a fleet of dispatchers does not poll a recovered
	// server all at the same moment.
	pollBackoff    = 50 * time.Millisecond
	maxPollBackoff = 400 * time.Millisecond
	pollJitter     = 0.3

	// earlyAnswer is the time since the poll was sent within which an answer without new events counts as early.
	earlyAnswer = pollWait / 2

	maxResponseSize = 4 << 20 // bytes
)

// errEarlyAnswer is returned for an early answer without new events. It causes a pause; otherwise a server that repeats known
// events would be polled in a busy loop.
var errEarlyAnswer = errors.New("poll was answered early without new events")

// Both log lines are throttled, since a server can make polls fail and succeed alternately.
var (
	pollFailedLog    = logthrottle.New()
	pollRecoveredLog = logthrottle.New()
)

// Watcher polls the endpoint list and passes on each event once, in the order of revisions.
//
// ApplyInitial must not be called during Run. SetAddress may be called from any goroutine at any time.
type Watcher struct {
	receiver Receiver
	client   *http.Client
	revision int64 // of the last event that was passed on
	hasList  bool  // an event with the whole list was passed on
	failing  bool  // the last poll failed
	syncs    syncTracker

	mu          sync.Mutex
	addr        string
	addrChanged chan struct{} // closed and replaced when addr changes
}

// Receiver receives the updates of a Watcher. It is called from the goroutine of ApplyInitial or Run.
type Receiver interface {
	// UpdateEndpoints is called with each new endpoint list or change to it.
	UpdateEndpoints(update Update)
	// ConfirmEndpoints is called after a sync: the updates so far cover all events that discovery knew of at asOf.
	ConfirmEndpoints(asOf time.Time)
}

// NewWatcher returns a watcher of the endpoint list at addr (host:port). Its connections take their file descriptors from
// share.
func NewWatcher(addr string, share *descriptors.Share, receiver Receiver) *Watcher {
	transport := &http.Transport{ // no Proxy: the environment's proxy settings are ignored
		DialContext:         share.DialContext,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        1,
	}
	return &Watcher{addr: addr, receiver: receiver, client: &http.Client{Transport: transport},
		addrChanged: make(chan struct{}), syncs: syncTracker{lastSync: time.Now()}}
}

// SetAddress makes the watcher poll the server at addr from now on. The poll in progress is cancelled, since the old server
// may hold it without ever sending another event. The new server is asked for the events after the last known revision.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	close(w.addrChanged)
	w.addrChanged = make(chan struct{})
}

// address returns the server's address, and a channel that is closed when the address changes.
func (w *Watcher) address() (addr string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr, w.addrChanged
}

// ApplyInitial passes on the events of the configuration at startup. Later changes may be missing from them, so an event with
// the whole list gets the scope balancer.ScopeStale.
func (w *Watcher) ApplyInitial(initial WatchResponse) {
	w.apply(initial, balancer.ScopeStale, time.Now())
}

// Run polls the server until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := pollBackoff
	for ctx.Err() == nil {
		addr, addrChanged := w.address()
		err := w.poll(ctx, addr, addrChanged)
		if channel.IsClosed(addrChanged) {
			pause = pollBackoff
			continue // poll the new server at once, and ignore the outcome of the poll to the old server
		}
		if ctx.Err() == nil {
			w.logOutcome(err)
		}
		if err == nil {
			pause = pollBackoff
			continue
		}
		backOff(ctx, addrChanged, jittered(pause))
		pause = min(2*pause, maxPollBackoff)
	}
}

// jittered returns the pause extended by a random fraction of up to pollJitter.
func jittered(pause time.Duration) time.Duration {
	return pause + time.Duration(pollJitter*rand.Float64()*float64(pause))
}

// logOutcome logs when polls start to fail, and when they succeed again.
func (w *Watcher) logOutcome(err error) {
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

// backOff waits for the pause to pass, or until the address changes or ctx ends.
func backOff(ctx context.Context, addrChanged <-chan struct{}, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-addrChanged:
	case <-ctx.Done():
	}
}

// poll polls the server at addr once and passes on the new events. The poll is cancelled when ctx ends or addrChanged is
// closed.
func (w *Watcher) poll(ctx context.Context, addr string, addrChanged <-chan struct{}) error {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, sent.Add(pollTimeout))
	defer cancel() // also ends the goroutine below
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
			w.syncs.recordPoll(pollFailed, sent, time.Now(), w.revision)
		}
		return err
	}
	asOf := sent
	if !w.isComplete(response) { // an event that is still missing may have changed the same workers
		asOf = w.syncs.lastSync
	}
	hasNew := w.apply(response, balancer.ScopeFull, asOf)
	isEarly := !hasNew && time.Since(sent) < earlyAnswer
	outcome := w.outcome(response, hasNew, isEarly)
	w.syncs.recordPoll(outcome, sent, time.Now(), w.revision)
	if outcome.isSync() {
		w.receiver.ConfirmEndpoints(sent)
	}
	if isEarly {
		return errEarlyAnswer
	}
	return nil
}

// fetch requests url and decodes the server's answer.
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
		return WatchResponse{}, fmt.Errorf("unexpected HTTP status %s", answer.Status)
	}
	var response WatchResponse
	err = json.NewDecoder(io.LimitReader(answer.Body, maxResponseSize)).Decode(&response)
	return response, err
}

// apply passes on the new events with the time asOf, and reports whether there were any. Events with the whole list get the
// scope fullScope. w.revision is set from the events, not from the answer's revision, whose event may still be missing.
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

// isNew reports whether an event is to be passed on. Known events are skipped: a late answer may repeat them, and applying an
// old event again would undo a newer one. Changes that precede the first whole list are skipped, as they have no base.
func (w *Watcher) isNew(event *WatchEvent) bool {
	return event.Revision > w.revision && (w.hasList || event.Pool.All)
}
