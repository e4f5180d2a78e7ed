package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// failpoints are the points at which the process is killed: before and after each commit of the store, and before and
// after the first byte to a worker.
var failpoints = []string{
	"log-before-write", "log-before-sync", "log-after-sync",
	"created", "marked",
	"frame-before-write", "frame-after-write",
	"run-ended", "before-end", "after-end",
	"move-before", "move-after",
}

const (
	// defaultKills is how often the process is killed in CI.
	defaultKills = 24
	// failpointTimeout is how long the process may take to reach its failpoint before it is killed wherever it is.
	failpointTimeout = 1500 * time.Millisecond
	// clientRetryInterval paces the repeats of a client while the program is not up.
	clientRetryInterval = 2 * time.Millisecond
	// statusRejected is the code of a worker's frame that rejects a call.
	statusRejected = 67
)

// killTest is a program that is killed and started again, with what outlives the process: its worker, its clients and what
// they have seen. A request's body identifies it.
type killTest struct {
	t          *testing.T
	program    string
	configPath string
	invokeFile string
	url        string
	client     *http.Client
	random     *rand.Rand

	kills     map[string]int // by failpoint
	submitted int            // requests

	mu        sync.Mutex
	runs      map[string]int             // how often the worker has run a request
	answers   map[string]map[string]bool // the different final answers to a request
	locations map[string]string          // where the invocation of a request is polled
}

// The real process is killed at every step of an invocation, and started again on its store. No invocation that is not
// idempotent runs twice, each that was accepted has exactly one final answer, and none is lost.
//
// KITEFALL_KILLS sets the number of kills; the figures are logged. The long run is outside CI.
func TestKilledAtEveryStep(t *testing.T) {
	kills := defaultKills
	if text := os.Getenv("KITEFALL_KILLS"); text != "" {
		var err error
		kills, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	k := newKillTest(t, rand.New(rand.NewPCG(uint64(kills), 9)))
	timeout := time.Duration(kills)*3*time.Second + time.Minute
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	var clients sync.WaitGroup
	for i := range kills {
		k.startAndKill(failpoints[i%len(failpoints)], func() { k.submitRequests(ctx, &clients) })
	}
	process, ended := k.start("")
	clients.Wait()
	require.NoError(t, ctx.Err(), "all requests were accepted")

	final, served := k.awaitFinalAnswers(ctx)
	twice := k.checkRuns()
	for body, answers := range k.answers {
		assert.Len(t, answers, 1, "%s has two final answers", body)
	}
	t.Logf("%d kills (%v), %d requests, %d invocations with a final answer (%d served), %d ran twice", kills, k.kills,
		k.submitted, final, served, twice)
	assert.Equal(t, k.submitted, final)
	require.NoError(t, process.Process.Signal(os.Interrupt))
	assert.NoError(t, <-ended)
}

func newKillTest(t *testing.T, random *rand.Rand) *killTest {
	t.Helper()
	authority, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
	k := &killTest{
		t:          t,
		program:    buildProgram(t, "failpoint"),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		random:     random,
		kills:      map[string]int{},
		runs:       map[string]int{},
		answers:    map[string]map[string]bool{},
		locations:  map[string]string{},
	}
	go k.serveWorker(worker)
	writeConfig(t, k.configPath, freeAddress(t), calmDiscovery(t), worker)
	k.invokeFile, k.url = writeInvokeFile(t, authority)
	addLookFunction(t, k.invokeFile)
	k.retryQuickly()
	k.client = authority.Client(fakes.Domain + clientIdentity)
	k.client.Transport.(*http.Transport).DisableKeepAlives = true
	return k
}

// retryQuickly makes the program retry deferred invocations often and soon.
func (k *killTest) retryQuickly() {
	text, err := os.ReadFile(k.invokeFile)
	require.NoError(k.t, err)
	deferred := "[deferred]\nbackoff = \"10ms\"\nmost_backoff = \"100ms\"\nretry_per_second = 200.0\nmost_runs = 100\n"
	require.NoError(k.t, os.WriteFile(k.invokeFile, append(text, deferred...), 0o600))
}

// serveWorker answers calls: most are served, some are rejected, some are cut off or never answered.
func (k *killTest) serveWorker(worker *fakes.Worker) {
	random := rand.New(rand.NewPCG(5, 5))
	for call := range worker.Calls {
		choice := random.IntN(20)
		if choice < 3 {
			call.Answer(statusRejected, "", "")
			continue
		}
		k.mu.Lock()
		k.runs[call.Body]++
		k.mu.Unlock()
		switch {
		case choice == 3:
			call.ResetConn()
		case choice == 4: // never answered
		default:
			call.OK(strconv.Quote("done " + strings.Trim(call.Body, `"`)))
		}
	}
}

// start starts the program with a failpoint, NAME:N, or with none. The channel receives the result of its end.
func (k *killTest) start(failpoint string) (*exec.Cmd, <-chan error) {
	process := programCommand(k.program, k.configPath, k.invokeFile, "KITEFALL_FAILPOINT="+failpoint)
	if path := os.Getenv("KITEFALL_KILL_LOG"); path != "" {
		log, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		require.NoError(k.t, err)
		defer log.Close()
		process.Stderr = log
	}
	require.NoError(k.t, process.Start())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	return process, ended
}

// startAndKill starts the program, makes load on it, and waits until it is killed at the failpoint; where it does not reach
// that in time, it is killed at whatever it does.
func (k *killTest) startAndKill(failpoint string, makeLoad func()) {
	process, ended := k.start(fmt.Sprintf("%s:%d", failpoint, 1+k.random.IntN(6)))
	makeLoad()
	select {
	case <-ended:
		status := process.ProcessState.Sys().(syscall.WaitStatus)
		require.True(k.t, status.Signaled(), "it ended by itself: %v", process.ProcessState)
		k.kills[failpoint]++
	case <-time.After(failpointTimeout):
		require.NoError(k.t, process.Process.Kill())
		<-ended
		k.kills["anywhere"]++
	}
}

// submitRequests starts some clients, each with one request, to either function.
func (k *killTest) submitRequests(ctx context.Context, clients *sync.WaitGroup) {
	for range 2 + k.random.IntN(4) {
		k.submitted++
		function, body := "book", fmt.Sprintf(`"b%d"`, k.submitted)
		async := k.random.IntN(3) > 0
		if k.random.IntN(3) == 0 {
			function, body = "look", fmt.Sprintf(`"l%d"`, k.submitted)
		}
		clients.Go(func() { k.submit(ctx, function, body, async) })
	}
}

// submit sends a request again and again under its idempotency key until the program has it on record.
func (k *killTest) submit(ctx context.Context, function, body string, async bool) {
	for ctx.Err() == nil && !k.submitOnce(ctx, function, body, async) {
		time.Sleep(clientRetryInterval)
	}
}

// submitOnce reports whether the request is on record. Until then it does no harm to repeat it.
func (k *killTest) submitOnce(ctx context.Context, function, body string, async bool) bool {
	request, err := newInvocationRequest(k.url, function, body)
	if !assert.NoError(k.t, err) {
		return true
	}
	request.Header.Set("Idempotency-Key", body)
	if async {
		request.Header.Set("Prefer", "respond-async")
	}
	resp, err := k.client.Do(request.WithContext(ctx))
	if err != nil {
		return false
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode == http.StatusServiceUnavailable {
		return false
	}
	k.recordLocation(body, resp)
	if resp.StatusCode != http.StatusAccepted {
		k.recordAnswer(body, resp.StatusCode, text)
	}
	return true
}

// recordLocation keeps where the invocation of a request is polled, if the response says that there is one.
func (k *killTest) recordLocation(body string, resp *http.Response) {
	location := resp.Header.Get("Location")
	if location == "" {
		location = resp.Header.Get("Content-Location")
	}
	accepted := resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusOK
	if !accepted && location == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.locations[body] = location
}

func (k *killTest) recordAnswer(body string, status int, text []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.answers[body] == nil {
		k.answers[body] = map[string]bool{}
	}
	k.answers[body][fmt.Sprint(status, " ", string(text))] = true
}

// awaitFinalAnswers polls all invocations until each has its final answer. It returns the number of invocations, and how
// many of them were served.
func (k *killTest) awaitFinalAnswers(ctx context.Context) (final, served int) {
	for body, location := range k.locations {
		require.NotEmpty(k.t, location, body)
		status := 0
		require.Eventually(k.t, func() bool {
			status = k.poll(ctx, body, location)
			return status != 0
		}, 30*time.Second, time.Millisecond, body)
		final++
		if status == http.StatusOK {
			served++
		}
	}
	return final, served
}

// poll asks for the final answer to a request and returns its status, or 0 if there is none yet.
func (k *killTest) poll(ctx context.Context, body, location string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, k.url+location, nil)
	require.NoError(k.t, err)
	request.Header.Set("Prefer", "wait=5")
	resp, err := k.client.Do(request)
	if err != nil {
		return 0
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	require.NotEqual(k.t, http.StatusNotFound, resp.StatusCode, "%s is lost", body)
	if err != nil || resp.StatusCode == http.StatusAccepted {
		return 0
	}
	k.recordAnswer(body, resp.StatusCode, text)
	if resp.StatusCode == http.StatusOK {
		assert.Contains(k.t, string(text), strings.Trim(body, `"`), "no answer that no worker made")
	}
	return resp.StatusCode
}

// checkRuns reports requests to book, which is not idempotent, that have run more than once, and returns their number.
func (k *killTest) checkRuns() (twice int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for body, runs := range k.runs {
		if strings.HasPrefix(body, `"b`) && runs > 1 {
			twice++
			k.t.Errorf("reserva %s ran %d times", body, runs)
		}
	}
	return twice
}
