package invoke_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
	"kitefall/internal/dispatch"
	"kitefall/internal/fakes"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
)

const operatorsFile = `
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

// The invocation paths of the functions in operatorsFile. The function book is not idempotent, the function look is.
const (
	bookPath = "/v1/functions/book/invocations"
	lookPath = "/v1/functions/look/invocations"
)

// writeOperatorsFile writes an operator's file and returns its path.
func writeOperatorsFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "invoke.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// testFrontend is a dispatcher with an invoke frontend. It can be restarted with the same store file.
type testFrontend struct {
	t         *testing.T
	authority *fakes.Authority
	storePath string
	clientA   *http.Client // of tenant a
	clientB   *http.Client // of tenant b

	// Set by start and replaced by restart.
	url      string
	core     *dispatch.Core
	store    *store.Store
	executor *executor.Executor
	server   *invoke.Server
	share    *descriptors.Share // descriptors of the server's connections
}

func newTestFrontend(t *testing.T, workers ...*fakes.Worker) *testFrontend {
	t.Helper()
	authority := fakes.NewAuthority(t)
	f := &testFrontend{
		t:         t,
		authority: authority,
		storePath: filepath.Join(t.TempDir(), "invocations.db"),
		clientA:   authority.Client(fakes.TrustDomain + "/desk/a"),
		clientB:   authority.Client(fakes.TrustDomain + "/desk/b"),
	}
	f.start(workers...)
	t.Cleanup(f.stop)
	return f
}

func (f *testFrontend) start(workers ...*fakes.Worker) {
	f.t.Helper()
	config, err := invoke.ReadConfig(writeOperatorsFile(f.t, operatorsFile), fakes.Settings())
	require.NoError(f.t, err)
	ctx, cancel := context.WithDeadline(context.Background(), fakes.Deadline())
	defer cancel()
	identity, err := invoke.WaitForIdentity(ctx, f.authority.Addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { identity.Close() })
	f.core = fakes.NewCore(f.t, workers...)
	f.store, err = store.Open(f.storePath, config.StoreOptions())
	require.NoError(f.t, err)
	clock, err := f.store.StartClock(time.Now(), monotonic.ReadUptime())
	require.NoError(f.t, err)
	f.executor, err = executor.New(f.store, f.core, config, config.SchedulerConfig(), clock)
	require.NoError(f.t, err)
	require.NoError(f.t, f.executor.Recover())
	f.server = invoke.New(config, f.executor, identity)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.url = "https://" + ln.Addr().String()
	f.share = descriptors.NewShare(64)
	go f.server.Serve(ln, f.share)
}

// stop ends the dispatcher without waiting for requests in flight, as a crash would: the store keeps invocations in flight
// as not completed.
func (f *testFrontend) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.server.Shutdown(ctx)
	f.core.Stop()
	f.executor.Close()
}

// restart stops the dispatcher and starts a new one on the same store file.
func (f *testFrontend) restart(workers ...*fakes.Worker) {
	f.t.Helper()
	f.stop()
	f.start(workers...)
}

// response is a response of the API with its complete body.
type response struct {
	status  int
	header  http.Header
	body    string
	problem problem // zero if the body is not a problem document
}

// location returns the path at which a deferred invocation can be polled.
func (r response) location() string { return r.header.Get("Location") }

// problem holds the members of a problem document that the tests check.
type problem struct {
	status     int
	name       string // the type without the prefix urn:kitefall:problem:
	retryable  bool
	mayHaveRun bool
}

func parseProblem(t testing.TB, data []byte) problem {
	t.Helper()
	var document struct {
		Type       string
		Status     int
		Retryable  bool
		MayHaveRun bool `json:"may_have_run"`
	}
	require.NoError(t, json.Unmarshal(data, &document))
	return problem{
		status:     document.Status,
		name:       strings.TrimPrefix(document.Type, "urn:kitefall:problem:"),
		retryable:  document.Retryable,
		mayHaveRun: document.MayHaveRun,
	}
}

// send sends a request. The headers are alternating names and values.
func (f *testFrontend) send(ctx context.Context, client *http.Client, method, path, body string,
	headers ...string) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	httpResponse, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	require.NoError(f.t, err)
	result := response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(data)}
	if httpResponse.Header.Get("Content-Type") == "application/problem+json" {
		result.problem = parseProblem(f.t, data)
		require.Equal(f.t, httpResponse.StatusCode, result.problem.status)
	}
	return result, nil
}

// mustSend sends a request and fails the test if no response arrives.
func (f *testFrontend) mustSend(client *http.Client, method, path, body string, headers ...string) response {
	f.t.Helper()
	result, err := f.send(context.Background(), client, method, path, body, headers...)
	require.NoError(f.t, err)
	return result
}

// invoke invokes a function for tenant a.
func (f *testFrontend) invoke(path, body string, headers ...string) response {
	f.t.Helper()
	return f.mustSend(f.clientA, http.MethodPost, path, body, headers...)
}

// invokeDeferred invokes a function for tenant a and does not wait for the outcome.
func (f *testFrontend) invokeDeferred(path, body string, headers ...string) response {
	f.t.Helper()
	accepted := f.invoke(path, body, append(headers, "Prefer", "respond-async")...)
	require.Equal(f.t, http.StatusAccepted, accepted.status, accepted.body)
	return accepted
}

// poll polls an invocation of tenant a once and waits up to 20 s, the default maximum.
func (f *testFrontend) poll(path string) response {
	f.t.Helper()
	return f.mustSend(f.clientA, http.MethodGet, path, "", "Prefer", "wait=20")
}

// awaitOutcome polls an invocation of tenant a once and waits up to 10 s for its outcome.
func (f *testFrontend) awaitOutcome(path string) response {
	f.t.Helper()
	return f.mustSend(f.clientA, http.MethodGet, path, "", "Prefer", "wait=10")
}
