package discovery_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/descriptors"
	"kitefall/internal/discovery"
)

// fullList is an answer whose only event, of revision 41, holds the whole list.
const fullList = `{"rev":41,"notices":[{"rev":41,"pool":{"rev":7,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.9:4100",
	"az":"east","model":"std","pod_group":2,"state":"active","capacity_hint":4,"boot_ms":7}]}}]}`

// parse decodes an answer of the discovery server.
func parse(t *testing.T, response string) (parsed discovery.WatchResponse) {
	t.Helper()
	require.NoError(t, json.Unmarshal([]byte(response), &parsed))
	return parsed
}

// newServer starts a discovery server that answers polls with the given handler.
func newServer(t *testing.T, poll http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(poll)
	t.Cleanup(server.Close)
	return server
}

// address returns the host:port of a server.
func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// polledRevision returns the last known revision that a poll sends.
func polledRevision(r *http.Request) string { return r.URL.Query().Get("watch") }

// waitLinger sleeps for the time for which the server may hold the poll.
func waitLinger(r *http.Request) {
	linger, _ := time.ParseDuration(r.URL.Query().Get("linger") + "ms")
	time.Sleep(linger)
}

// recorder is a Receiver that records its calls.
type recorder struct {
	updates   []discovery.Update
	confirmed []time.Time
}

func (r *recorder) UpdateEndpoints(update discovery.Update) { r.updates = append(r.updates, update) }
func (r *recorder) ConfirmEndpoints(asOf time.Time)         { r.confirmed = append(r.confirmed, asOf) }

// newInitializedWatcher returns a watcher that has applied fullList as the initial list, and the recorder of its updates.
func newInitializedWatcher(t *testing.T, server *httptest.Server) (*discovery.Watcher, *recorder) {
	t.Helper()
	recorded := &recorder{}
	watcher := discovery.NewWatcher(address(server), descriptors.NewShare(4), recorded)
	watcher.ApplyInitial(parse(t, fullList))
	return watcher, recorded
}

// After a failed poll the watcher must poll again. An event that the answer repeats must be skipped, as applying an old event
// would restore an outdated state.
func TestPollsContinueAfterAFailureAndSkipOldEvents(t *testing.T) {
	answers := []string{"", `{"rev":42,"notices":[
		{"rev":41,"pool":{"targets":[{"uid":"s-1","state":"left"}]}},
		{"rev":42,"pool":{"targets":[{"uid":"s-1","state":"leaving"},{"uid":"s-2","state":"active"}]}}]}`}
	revisions := make(chan string, len(answers)+1)
	ctx, cancel := context.WithCancel(context.Background())
	server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		revisions <- polledRevision(r)
		switch {
		case len(answers) == 0:
			cancel()
		case answers[0] == "":
			w.WriteHeader(http.StatusBadGateway)
		default:
			w.Write([]byte(answers[0]))
		}
		answers = answers[min(1, len(answers)):]
	})
	watcher, recorded := newInitializedWatcher(t, server)
	watcher.Run(ctx)
	assert.Equal(t, []string{"41", "41", "42"}, []string{<-revisions, <-revisions, <-revisions})
	require.Len(t, recorded.updates, 2)
	initial, changed := recorded.updates[0], recorded.updates[1]
	assert.Equal(t, balancer.ScopeStale, initial.Scope)
	assert.Equal(t, discovery.Endpoint{Addr: "10.1.0.9:4100", Worker: balancer.Worker{ID: "s-1", Kind: "std", Zone: "east",
		Cell: 2, Weight: 4}, ReportedStart: 7 * time.Millisecond}, initial.Endpoints[0])
	assert.Equal(t, balancer.ScopeDelta, changed.Scope)
	assert.Equal(t, []balancer.WorkerState{balancer.Draining, balancer.Ready},
		[]balancer.WorkerState{changed.Endpoints[0].State, changed.Endpoints[1].State})
}

// If the address changes while the old server holds a poll and never answers, the new server must be polled at once, from the
// same revision on.
func TestNewAddressIsPolledAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	held := make(chan struct{}, 1)
	oldServer := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		held <- struct{}{}
		<-r.Context().Done()
	})
	revision := make(chan string, 1)
	replacement := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		revision <- polledRevision(r)
		cancel()
	})
	watcher, _ := newInitializedWatcher(t, oldServer)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watcher.Run(ctx)
	}()
	<-held
	watcher.SetAddress(address(replacement))
	assert.Equal(t, "41", <-revision)
	<-ended
}

// A server that keeps repeating known events without waiting must be polled only after a pause, not in a busy loop. If the
// answer's revision is newer than its events, the missing events must be polled for. Targets without a uid are left out.
func TestBackoffAfterEarlyAnswersWithoutNewEvents(t *testing.T) {
	const answered = 4 // polls that are answered before ctx ends
	polledAt := make(chan time.Time, answered+1)
	revisions := make(chan string, answered+1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch len(polledAt) {
		case answered:
			cancel()
		case answered - 1:
			w.Write([]byte(`{"rev":44,"notices":[{"rev":42,"pool":{"targets":[{"state":"active","endpoint":"10.1.0.9:1"},
				{"uid":"s-1","state":"leaving"}]}}]}`))
		case 1:
			w.Write([]byte(`{"rev":43,"notices":[]}`))
		default:
			w.Write([]byte(fullList))
		}
		polledAt <- time.Now()
		revisions <- polledRevision(r)
	})
	watcher, recorded := newInitializedWatcher(t, server)
	watcher.Run(ctx)
	require.Len(t, polledAt, answered+1)
	previous := <-polledAt
	for range answered - 1 {
		next := <-polledAt
		assert.GreaterOrEqual(t, next.Sub(previous), 40*time.Millisecond)
		previous = next
	}
	assert.Equal(t, []string{"41", "41", "41", "41", "42"},
		[]string{<-revisions, <-revisions, <-revisions, <-revisions, <-revisions})
	require.Len(t, recorded.updates, 2)
	changed := recorded.updates[1]
	require.Len(t, changed.Endpoints, 1)
	assert.Equal(t, balancer.WorkerID("s-1"), changed.Endpoints[0].ID)
}

// Changes that precede the first whole list have no base and must be skipped.
func TestChangesAheadOfTheFirstFullListAreSkipped(t *testing.T) {
	recorded := &recorder{}
	watcher := discovery.NewWatcher("", descriptors.NewShare(4), recorded)
	watcher.ApplyInitial(parse(t, `{"rev":3,"notices":[{"rev":1,"pool":{"targets":[{"uid":"s-1","state":"active"}]}}]}`))
	assert.Empty(t, recorded.updates)
	watcher.ApplyInitial(parse(t, `{"rev":3,"notices":[{"rev":2,"pool":{"all":true,"targets":[{"uid":"s-2","state":"left"}]}}]}`))
	require.Len(t, recorded.updates, 1)
	assert.WithinDuration(t, time.Now(), recorded.updates[0].AsOf, time.Minute)
	recorded.updates[0].AsOf = time.Time{}
	assert.Equal(t, []discovery.Update{{Scope: balancer.ScopeStale, Endpoints: []discovery.Endpoint{
		{Worker: balancer.Worker{ID: "s-2", Weight: 1, State: balancer.Removed}}}}}, recorded.updates)
	assert.Empty(t, recorded.confirmed, "no server has confirmed the initial list")
}

// Only a complete answer is a sync: not an answer from a server with an older revision, and not an answer whose last event is
// missing. The time of a sync is when its poll was sent.
func TestOnlyCompleteAnswersAreASync(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		isSync bool
	}{
		"nothing new":          {`{"rev":41,"notices":[]}`, true}, // answered after the poll's linger time
		"early":                {`{"rev":41,"notices":[]}`, false},
		"early, repeated list": {fullList, false},
		"a new event":          {`{"rev":42,"notices":[{"rev":42,"pool":{"targets":[{"uid":"s-1","state":"leaving"}]}}]}`, true},
		"older revision":       {`{"rev":40,"notices":[]}`, false},
		"older list":           {`{"rev":1,"notices":[{"rev":1,"pool":{"all":true,"targets":[]}}]}`, false},
		"missing last event":   {`{"rev":43,"notices":[{"rev":42,"pool":{"targets":[{"uid":"s-1","state":"leaving"}]}}]}`, false},
		"truncated JSON":       {`{"rev":41,`, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			answered := false
			server := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				if answered {
					cancel()
					return
				}
				answered = true
				if name == "nothing new" {
					waitLinger(r)
				}
				w.Write([]byte(test.answer))
			})
			watcher, recorded := newInitializedWatcher(t, server)
			start := time.Now()
			watcher.Run(ctx)
			if !test.isSync {
				assert.Empty(t, recorded.confirmed)
				for _, update := range recorded.updates[1:] {
					assert.True(t, update.AsOf.Before(start), "missing events may have changed the workers since the last sync")
				}
				return
			}
			require.Len(t, recorded.confirmed, 1)
			assert.WithinRange(t, recorded.confirmed[0], start, time.Now())
			for _, update := range recorded.updates[1:] {
				assert.Equal(t, recorded.confirmed[0], update.AsOf)
			}
		})
	}
}

// While polls fail, the pauses between them must grow up to a limit, so that a fleet of dispatchers does not overload a
// recovering server.
func TestPausesGrowWhilePollsFail(t *testing.T) {
	const polls = 6
	ctx, cancel := context.WithCancel(context.Background())
	var polledAt []time.Time
	server := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		polledAt = append(polledAt, time.Now())
		w.WriteHeader(http.StatusServiceUnavailable)
		if len(polledAt) == polls {
			cancel()
		}
	})
	watcher, _ := newInitializedWatcher(t, server)
	watcher.Run(ctx)
	require.Len(t, polledAt, polls)
	for i, least := range []time.Duration{50, 100, 200, 400, 400} {
		pause := polledAt[i+1].Sub(polledAt[i])
		assert.GreaterOrEqual(t, pause, least*time.Millisecond)
		assert.Less(t, pause, 2*least*time.Millisecond+time.Second)
	}
}
