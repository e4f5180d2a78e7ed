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
	"kitefall/internal/discovery"
)

const whole = `{"rev":41,"notices":[{"rev":41,"pool":{"rev":7,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.9:4100",
	"az":"east","model":"std","pod_group":2,"state":"active","capacity_hint":4,"boot_ms":7}]}}]}`

// The board fails once, then repeats an event that was taken already: the list must neither stop nor go back.
func TestPollsGoOnAndOldNoticesDoNot(t *testing.T) {
	answers := []string{"", `{"rev":42,"notices":[
		{"rev":41,"pool":{"targets":[{"uid":"s-1","state":"left"}]}},
		{"rev":42,"pool":{"targets":[{"uid":"s-1","state":"leaving"},{"uid":"s-2","state":"active"}]}}]}`}
	watches := make(chan string, len(answers)+1)
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watches <- r.URL.Query().Get("watch")
		switch {
		case len(answers) == 0:
			cancel()
		case answers[0] == "":
			w.WriteHeader(http.StatusBadGateway)
		default:
			w.Write([]byte(answers[0]))
		}
		answers = answers[min(1, len(answers)):]
	}))
	defer server.Close()
	var news []discovery.Update
	w := discovery.NewWatcher(strings.TrimPrefix(server.URL, "http://"), func(l discovery.Update) { news = append(news, l) })
	var known discovery.WatchResponse
	require.NoError(t, json.Unmarshal([]byte(whole), &known))
	w.Seed(known)
	w.Run(ctx)
	assert.Equal(t, []string{"41", "41", "42"}, []string{<-watches, <-watches, <-watches})
	require.Len(t, news, 2)
	assert.Equal(t, balancer.ScopeStale, news[0].Scope)
	assert.Equal(t, discovery.Endpoint{Addr: "10.1.0.9:4100", Worker: balancer.Worker{ID: "s-1", Kind: "std", Zone: "east", Cell: 2,
		Weight: 4, Started: 7e6}}, news[0].Endpoints[0])
	assert.Equal(t, balancer.ScopeDelta, news[1].Scope)
	assert.Equal(t, []balancer.WorkerState{balancer.Draining, balancer.Ready},
		[]balancer.WorkerState{news[1].Endpoints[0].State, news[1].Endpoints[1].State})
}

// The board moves while it holds a poll, and never answers that: the new one is asked at once, from the same
// number on.
func TestMovedBoardIsAskedAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	held, watch := make(chan bool, 1), make(chan string, 1)
	old := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		held <- true
		<-r.Context().Done()
	}))
	defer old.Close()
	next := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		watch <- r.URL.Query().Get("watch")
		cancel()
	}))
	defer next.Close()
	w := discovery.NewWatcher(strings.TrimPrefix(old.URL, "http://"), func(discovery.Update) {})
	var known discovery.WatchResponse
	require.NoError(t, json.Unmarshal([]byte(whole), &known))
	w.Seed(known)
	ended := make(chan bool)
	go func() { w.Run(ctx); close(ended) }()
	<-held
	w.SetAddress(strings.TrimPrefix(next.URL, "http://"))
	assert.Equal(t, "41", <-watch)
	<-ended
}

// A board that repeats what is known, at once and without end, is asked again after a pause; one that names a last event
// without telling of it is asked for that event again. What names no worker is left out.
func TestAnswersThatTellNothingNew(t *testing.T) {
	const most = 4
	asked := make(chan time.Time, most+1)
	watches := make(chan string, most+1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch len(asked) {
		case most:
			cancel()
		case most - 1: // at last
			w.Write([]byte(`{"rev":44,"notices":[{"rev":42,"pool":{"targets":[{"state":"active","endpoint":"10.1.0.9:1"},
				{"uid":"s-1","state":"leaving"}]}}]}`))
		case 1:
			w.Write([]byte(`{"rev":43,"notices":[]}`))
		default:
			w.Write([]byte(whole))
		}
		asked <- time.Now()
		watches <- r.URL.Query().Get("watch")
	}))
	defer server.Close()
	var news []discovery.Update
	w := discovery.NewWatcher(strings.TrimPrefix(server.URL, "http://"), func(l discovery.Update) { news = append(news, l) })
	var known discovery.WatchResponse
	require.NoError(t, json.Unmarshal([]byte(whole), &known))
	w.Seed(known)
	w.Run(ctx)
	require.Len(t, asked, most+1)
	first := <-asked
	for range most - 1 {
		next := <-asked
		assert.GreaterOrEqual(t, next.Sub(first), 40*time.Millisecond)
		first = next
	}
	assert.Equal(t, []string{"41", "41", "41", "41", "42"}, []string{<-watches, <-watches, <-watches, <-watches, <-watches})
	require.Len(t, news, 2)
	require.Len(t, news[1].Endpoints, 1)
	assert.Equal(t, balancer.WorkerID("s-1"), news[1].Endpoints[0].ID)
}
