package invoke_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/dispatch"
	"kitefall/internal/fakes"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
)

const operators = `
listen = "127.0.0.1:0"
workload_api = "unused"
store = "unused"
retention = "1h"
[tenants]
"spiffe://turnos.example/desk/a" = "a"
"spiffe://turnos.example/desk/b" = "b"
[functions.book]
class = "reserva"
key = "7f3a9c21e0b4d655"
lanes = 4
load = "10ms"
deadline = "4s"
most_deadline = "4s"
most_body = 64
[functions.look]
class = "consulta"
key = "0000007c55d20a01"
lanes = 4
load = "10ms"
deadline = "4s"
most_deadline = "4s"
`

const book, look = "/v1/functions/book/invocations", "/v1/functions/look/invocations"

// edge is a dispatcher with an invoke front, which can be restarted on its store.
type edge struct {
	t      *testing.T
	ca     *fakes.Authority
	path   string
	url    string
	core   *dispatch.Core
	store  *store.Store
	desk   *executor.Executor
	server *invoke.Server
	a, b   *http.Client
}

func newEdge(t *testing.T, workers ...*fakes.Worker) *edge {
	e := &edge{t: t, ca: fakes.NewAuthority(t), path: filepath.Join(t.TempDir(), "tickets.db")}
	e.a, e.b = e.ca.Client(fakes.Domain+"/desk/a"), e.ca.Client(fakes.Domain+"/desk/b")
	e.start(workers...)
	t.Cleanup(func() { e.stop() })
	return e
}

func (e *edge) start(workers ...*fakes.Worker) {
	file := filepath.Join(e.t.TempDir(), "invoke.toml")
	require.NoError(e.t, os.WriteFile(file, []byte(operators), 0o600))
	c, err := invoke.ReadConfig(file, fakes.Settings())
	require.NoError(e.t, err)
	ctx, cancel := context.WithDeadline(context.Background(), fakes.Deadline())
	defer cancel()
	id, err := invoke.WaitForIdentity(ctx, e.ca.Addr)
	require.NoError(e.t, err)
	e.t.Cleanup(func() { id.Close() })
	e.core = fakes.NewCore(e.t, workers...)
	e.store, err = store.Open(e.path, c.StoreOptions())
	require.NoError(e.t, err)
	e.desk, err = executor.New(e.store, e.core, c, c.SchedulerConfig(), monotonic.Start(time.Now()))
	require.NoError(e.t, err)
	require.NoError(e.t, e.desk.Recover())
	e.server = invoke.New(c, e.desk, id)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(e.t, err)
	e.url = "https://" + ln.Addr().String()
	go e.server.Serve(ln)
}

// stop ends the dispatcher as a crash would: what is open stays open.
func (e *edge) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.server.Shutdown(ctx)
	e.core.Stop()
	e.desk.Close()
}

type reply struct {
	status   int
	body     string
	header   http.Header
	problem  string
	retry    bool
	may      bool
	location string
}

// do sends a request: method, path, body, and headers as name and value.
func (e *edge) do(c *http.Client, ctx context.Context, method, path, body string, headers ...string) (reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, e.url+path, strings.NewReader(body))
	require.NoError(e.t, err)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := c.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	require.NoError(e.t, err)
	out := reply{status: a.StatusCode, body: string(data), header: a.Header, location: a.Header.Get("Location")}
	if a.Header.Get("Content-Type") == "application/problem+json" {
		var p struct {
			Type      string
			Status    int
			Retryable bool
			May       bool `json:"may_have_run"`
		}
		require.NoError(e.t, json.Unmarshal(data, &p))
		require.Equal(e.t, a.StatusCode, p.Status)
		out.problem, out.retry, out.may = strings.TrimPrefix(p.Type, "urn:kitefall:problem:"), p.Retryable, p.May
	}
	return out, nil
}

func (e *edge) post(path, body string, headers ...string) reply {
	e.t.Helper()
	a, err := e.do(e.a, context.Background(), http.MethodPost, path, body, headers...)
	require.NoError(e.t, err)
	return a
}

func (e *edge) deferred(path, body string, headers ...string) reply {
	e.t.Helper()
	a := e.post(path, body, append(headers, "Prefer", "respond-async")...)
	require.Equal(e.t, http.StatusAccepted, a.status, a.body)
	return a
}

func (e *edge) poll(path string, headers ...string) reply {
	e.t.Helper()
	a, err := e.do(e.a, context.Background(), http.MethodGet, path, "", append(headers, "Prefer", "wait=10")...)
	require.NoError(e.t, err)
	return a
}

func TestSynchronousAndDeferredCalls(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	go func() { w.Next().OK(`"booked"`) }()
	a := e.post(book, `"slot 1"`)
	assert.Equal(t, []any{200, `"booked"`, "application/json"}, []any{a.status, a.body, a.header.Get("Content-Type")})
	d := e.deferred(book, `"slot 2"`)
	assert.Equal(t, "respond-async", d.header.Get("Preference-Applied"))
	k := w.Next()
	assert.Contains(t, k.Fields, "profile=reserva,thing=7f3a9c21e0b4d655,max=")
	p, err := e.do(e.a, context.Background(), http.MethodGet, d.location, "")
	require.NoError(t, err)
	assert.Equal(t, 202, p.status)
	k.OK(`"booked too"`)
	assert.Equal(t, `"booked too"`, e.poll(d.location).body)
	go func() { w.Next().OK(`"booked at once"`) }()
	a = e.post(book, `"slot 3"`, "Prefer", "respond-async, wait=10")
	assert.Equal(t, []any{200, `"booked at once"`}, []any{a.status, a.body})
	other, err := e.do(e.b, context.Background(), http.MethodGet, d.location, "")
	require.NoError(t, err)
	assert.Equal(t, []any{404, "not-found"}, []any{other.status, other.problem}, "only its owner sees a ticket")
}

// The dispatcher ends while a reserva is at a worker: nobody can tell any more whether it ran.
func TestReservaPendingAtARestartIsNeverSentAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	d := e.deferred(book, `"slot"`, "Idempotency-Key", "k1")
	w.Next()
	e.stop()
	e.start(w)
	for range 2 {
		a := e.poll(d.location)
		assert.Equal(t, []any{502, "may-have-run", false, true}, []any{a.status, a.problem, a.retry, a.may})
	}
	assert.Equal(t, 502, e.post(book, `"slot"`, "Idempotency-Key", "k1").status, "a resend gets the same answer")
	assert.Equal(t, 1, w.CallCount(`"slot"`))
}

func TestConsultaPendingAtARestartGoesAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	d := e.deferred(look, `"day"`)
	w.Next()
	e.stop()
	e.start(w)
	w.Next().OK(`"free"`)
	assert.Equal(t, `"free"`, e.poll(d.location).body)
}

// Without workers nothing is attempted, so even a reserva goes to the core again after a restart.
func TestReservaNeverAttemptedRunsOnceAfterARestart(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t)
	d := e.deferred(book, `"slot"`)
	e.stop()
	e.start(w)
	w.Next().OK(`"booked"`)
	assert.Equal(t, `"booked"`, e.poll(d.location).body)
	assert.Equal(t, 1, w.CallCount(`"slot"`))
}

// Workers die mid-call and others take their place: no reserva runs twice, each ticket has one answer.
func TestWorkersDyingMidCall(t *testing.T) {
	e := newEdge(t)
	for i := range 8 {
		w := fakes.NewWorker(t)
		e.core.UpdateEndpoints(fakes.Endpoints(w))
		body, want := fmt.Sprintf(`"slot %d"`, i), ""
		d := e.deferred(book, body, "Idempotency-Key", body)
		if k := w.Next(); i%2 == 0 {
			k.ResetConn()
			want = "may-have-run"
		} else {
			k.OK(`"booked"`)
		}
		first := e.poll(d.location)
		assert.Equal(t, want, first.problem, first.body)
		heir := fakes.NewWorker(t)
		e.core.UpdateEndpoints(fakes.Endpoints(heir)) // it would take the call, were it sent again
		again := e.post(book, body, "Idempotency-Key", body)
		assert.Equal(t, []any{first.status, first.body}, []any{again.status, again.body})
		assert.Equal(t, []int{1, 0}, []int{w.CallCount(body), heir.CallCount(body)})
	}
}

// The link breaks while a device waits; it resends, and later polls.
func TestClientThatGaveUpFindsTheAnswer(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := e.do(e.a, ctx, http.MethodPost, book, `"slot"`, "Idempotency-Key", "k1")
		left <- err
	}()
	k := w.Next()
	cancel()
	require.Error(t, <-left)
	d := e.deferred(book, `"slot"`, "Idempotency-Key", "k1")
	k.OK(`"booked"`)
	assert.Equal(t, `"booked"`, e.poll(d.location).body)
	e.stop()
	e.start(w)
	a := e.post(book, `"slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, []any{200, `"booked"`}, []any{a.status, a.body}, "also after a restart")
	assert.Equal(t, 1, w.CallCount(`"slot"`))
	a = e.post(book, `"other slot"`, "Idempotency-Key", "k1")
	assert.Equal(t, []any{422, "key-reused"}, []any{a.status, a.problem})
}

func TestGivenUpTicketKeepsItsFirstAnswer(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	d := e.deferred(book, `"slot"`)
	k := w.Next()
	a, err := e.do(e.a, context.Background(), http.MethodDelete, d.location, "")
	require.NoError(t, err)
	assert.Equal(t, 204, a.status)
	assert.Equal(t, k.ID, <-w.Cancelled)
	k.OK(`"too late"`)
	go func() { w.Next().OK(`"next"`) }()
	assert.Equal(t, `"next"`, e.post(look, `"day"`).body) // on the same connection: the late answer has been read
	p := e.poll(d.location)
	assert.Equal(t, []any{409, "given-up", true}, []any{p.status, p.problem, p.may})
}

func TestDeadlineThenALatePoll(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	d := e.deferred(book, `"slot"`, "Request-Timeout", "0.2")
	k := w.Next()
	a := e.poll(d.location)
	assert.Equal(t, []any{504, "deadline", false, true}, []any{a.status, a.problem, a.retry, a.may})
	k.OK(`"too late"`)
	assert.Equal(t, 504, e.poll(d.location).status)
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	go func() {
		for k := range w.Calls {
			k.Answer(67, "", "")
		}
	}()
	a := e.post(book, `"slot"`)
	assert.Equal(t, []any{503, "refused", true, false}, []any{a.status, a.problem, a.retry, a.may})
	assert.Equal(t, "1", a.header.Get("Retry-After"))
}

// A file that would not do what it says stops the program, rather than run with a bound less.
func TestOperatorsFile(t *testing.T) {
	_, err := invoke.ReadConfig("../../../deploy/invoke.toml", fakes.Settings())
	require.NoError(t, err)
	for old, wrong := range map[string]string{"most_body = 64": "most_bodies = 64", `"reserva"`: `"reservas"`,
		`most_deadline = "4s"`: `most_deadline = "5s"`, "7f3a9c21e0b4d655": "a,b=c", "spiffe://": "https://"} {
		file := filepath.Join(t.TempDir(), "invoke.toml")
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(operators, old, wrong, 1)), 0o600))
		_, err := invoke.ReadConfig(file, fakes.Settings())
		assert.Error(t, err, wrong)
	}
}

func TestBadInput(t *testing.T) {
	e := newEdge(t, fakes.NewWorker(t))
	for _, c := range []struct {
		method, path, body string
		headers            []string
		status             int
	}{
		{"POST", "/v1/functions/none/invocations", "", nil, 404},
		{"GET", "/v1/invocations/none", "", nil, 404},
		{"GET", "/elsewhere", "", nil, 404},
		{"GET", book, "", nil, 405},
		{"POST", book, "", []string{"Content-Type", "text/plain"}, 415},
		{"POST", book, "", []string{"Content-Encoding", "gzip"}, 415},
		{"POST", book, strings.Repeat("x", 65), nil, 413},
		{"POST", book, "", []string{"Request-Timeout", "soon"}, 400},
		{"POST", book, "", []string{"Idempotency-Key", strings.Repeat("x", 256)}, 400},
		{"GET", "/v1/invocations/none", "", []string{"Prefer", "wait=long"}, 400},
	} {
		a, err := e.do(e.a, context.Background(), c.method, c.path, c.body, c.headers...)
		require.NoError(t, err)
		assert.Equal(t, c.status, a.status, c)
		assert.NotEmpty(t, a.problem, c)
	}
	stranger := e.ca.Client(fakes.Domain + "/desk/unknown")
	a, err := e.do(stranger, context.Background(), http.MethodPost, book, "")
	require.NoError(t, err)
	assert.Equal(t, []any{403, "forbidden"}, []any{a.status, a.problem})
	foreign := fakes.NewAuthority(t).Client(fakes.Domain + "/desk/a") // the right name by another authority
	_, err = e.do(foreign, context.Background(), http.MethodPost, book, "")
	assert.Error(t, err)
}

func TestExpiredTicketAndBrokenStore(t *testing.T) {
	w := fakes.NewWorker(t)
	e := newEdge(t, w)
	d := e.deferred(book, `"slot"`)
	w.Next().OK(`"booked"`)
	require.Equal(t, 200, e.poll(d.location).status)
	require.NoError(t, e.store.DeleteExpired(time.Now().Add(2*time.Hour)))
	a := e.poll(d.location)
	assert.Equal(t, []any{410, "expired"}, []any{a.status, a.problem})
	require.NoError(t, e.store.Close()) // from here on nothing can be put on record
	a = e.post(book, `"slot"`)
	assert.Equal(t, []any{503, "storage", true}, []any{a.status, a.problem, a.retry})
	assert.Equal(t, 1, w.CallCount(`"slot"`), "what is not on record does not run")
	require.NoError(t, os.WriteFile(e.path, []byte(strings.Repeat("no database ", 4096)), 0o600))
	_, err := store.Open(e.path, store.Options{})
	assert.ErrorIs(t, err, invocation.ErrStorage)
}
