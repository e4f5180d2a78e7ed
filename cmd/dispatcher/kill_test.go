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

// failpoints are the points at which the process is killed: before, between and after the write and the sync of a log
// record; after the creation of an invocation and the start of its run are stored; before and after the write of a frame to
// a worker; at the end of a run, and before and after its outcome is stored; and before and after a checkpoint.
var failpoints = []string{
	"log-before-write", "log-before-sync", "log-after-sync",
	"created", "marked",
	"frame-before-write", "frame-after-write",
	"run-ended", "before-end", "after-end",
	"move-before", "move-after",
}

const (
	// defaultKills is the number of kills in CI.
	defaultKills = 24
	// failpointTimeout is how long the process may take, from the start of its clients, to reach its failpoint. After that
	// it is killed wherever it is.
	failpointTimeout = 1500 * time.Millisecond
	// clientRetryInterval is the pause of a client before it repeats a request that was not accepted.
	clientRetryInterval = 2 * time.Millisecond
	// codeRejected is the code of the frame with which a worker rejects a call.
	codeRejected = 67
)

// killTest is a program that is killed and started again, with the state that outlives its process: its worker, its
// clients, and the runs and answers that they have seen. A request is identified by its body.
type killTest struct {
	t          *testing.T
	program    string
	configPath string
	invokeFile string
	url        string
	client     *http.Client
	random     *rand.Rand

	kills     map[string]int // number of kills by failpoint
	submitted int            // number of requests

	mu        sync.Mutex
	runs      map[string]int             // number of runs at the worker, by request
	answers   map[string]map[string]bool // set of distinct final answers, by request
	locations map[string]string          // path at which the invocation is polled, by request
}

// Kills a real process with SIGKILL at every step of an invocation, and starts it again on its store. Guards against
// records that are missing, or written too late, when the process dies: a non-idempotent invocation must not run twice, and
// every accepted invocation must be kept and get exactly one final answer.
//
// KITEFALL_KILLS sets the number of kills, for long runs outside CI. The test logs its counts.
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
	process, exited := k.start("")
	clients.Wait()
	require.NoError(t, ctx.Err(), "not all requests were accepted in time")

	completed, served := k.awaitFinalAnswers(ctx)
	repeated := k.checkRuns()
	for body, answers := range k.answers {
		assert.Len(t, answers, 1, "%s must have exactly one final answer", body)
	}
	t.Logf("%d kills (%v), %d requests, %d invocations with a final answer (%d served), %d non-idempotent ones ran again",
		kills, k.kills, k.submitted, completed, served, repeated)
	assert.Equal(t, k.submitted, completed)
	require.NoError(t, process.Process.Signal(os.Interrupt))
	assert.NoError(t, <-exited)
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
	writeConfig(t, k.configPath, freeAddress(t), newIdleDiscovery(t), worker)
	k.invokeFile, k.url = writeInvokeFile(t, authority)
	addLookFunction(t, k.invokeFile)
	k.setFastRetries()
	k.client = authority.Client(fakes.TrustDomain + clientIdentity)
	k.client.Transport.(*http.Transport).DisableKeepAlives = true
	return k
}

// setFastRetries configures short pauses, a high rate and a high number of runs for the retries of deferred invocations.
func (k *killTest) setFastRetries() {
	text, err := os.ReadFile(k.invokeFile)
	require.NoError(k.t, err)
	deferred := "[deferred]\nbackoff = \"10ms\"\nmost_backoff = \"100ms\"\nretry_per_second = 200.0\nmost_runs = 100\n"
	require.NoError(k.t, os.WriteFile(k.invokeFile, append(text, deferred...), 0o600))
}

// serveWorker answers calls. Of 20 calls on average, 3 are rejected, the connection of 1 is reset, 1 is never answered, and
// the others are served.
func (k *killTest) serveWorker(worker *fakes.Worker) {
	random := rand.New(rand.NewPCG(5, 5))
	for call := range worker.Calls {
		choice := random.IntN(20)
		if choice < 3 {
			call.Answer(codeRejected, "", "")
			continue
		}
		k.mu.Lock()
		k.runs[call.Body]++
		k.mu.Unlock()
		switch {
		case choice == 3:
			call.ResetConn()
		case choice == 4: // no answer is sent
		default:
			call.AnswerOK(strconv.Quote("done " + strings.Trim(call.Body, `"`)))
		}
	}
}

// start starts the program, which kills itself at the Nth hit of the failpoint NAME:N, or never if failpoint is empty. The
// channel receives the result of waiting for the process.
func (k *killTest) start(failpoint string) (*exec.Cmd, <-chan error) {
	process := programCommand(k.program, k.configPath, k.invokeFile, "KITEFALL_FAILPOINT="+failpoint)
	if path := os.Getenv("KITEFALL_KILL_LOG"); path != "" {
		log, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		require.NoError(k.t, err)
		defer log.Close()
		process.Stderr = log
	}
	require.NoError(k.t, process.Start())
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	return process, exited
}

// startAndKill starts the program, has submitLoad start clients, and waits until it kills itself at the failpoint. If it does not reach
// the failpoint within failpointTimeout, it is killed wherever it is.
func (k *killTest) startAndKill(failpoint string, submitLoad func()) {
	process, exited := k.start(fmt.Sprintf("%s:%d", failpoint, 1+k.random.IntN(6)))
	submitLoad()
	select {
	case <-exited:
		status := process.ProcessState.Sys().(syscall.WaitStatus)
		require.True(k.t, status.Signaled(), "the process must be killed by a signal: %v", process.ProcessState)
		k.kills[failpoint]++
	case <-time.After(failpointTimeout):
		require.NoError(k.t, process.Process.Kill())
		<-exited
		k.kills["anywhere"]++
	}
}

// submitRequests starts two to five clients, each of which submits one request, to book or to look.
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

// submit sends a request, under an Idempotency-Key, until the program has accepted it or ctx is done.
func (k *killTest) submit(ctx context.Context, function, body string, async bool) {
	for ctx.Err() == nil && !k.submitOnce(ctx, function, body, async) {
		time.Sleep(clientRetryInterval)
	}
}

// submitOnce sends a request once and reports whether the program has accepted it. If not, the Idempotency-Key makes it
// safe to send the request again.
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

// recordLocation records the path at which the invocation of a request is polled. For a response of status 200 or
// 202 without a location it records an empty path, on which awaitFinalAnswers fails the test. For any other response
// without a location it records nothing.
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

// awaitFinalAnswers polls each invocation until it has its final answer. It returns how many invocations have one, and how
// many of these were served.
func (k *killTest) awaitFinalAnswers(ctx context.Context) (completed, served int) {
	for body, location := range k.locations {
		require.NotEmpty(k.t, location, body)
		status := 0
		require.Eventually(k.t, func() bool {
			status = k.poll(ctx, body, location)
			return status != 0
		}, 30*time.Second, time.Millisecond, body)
		completed++
		if status == http.StatusOK {
			served++
		}
	}
	return completed, served
}

// poll asks for the final answer to a request and returns its HTTP status, or 0 if there is no answer yet.
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
	require.NotEqual(k.t, http.StatusNotFound, resp.StatusCode, "the invocation of %s is lost", body)
	if err != nil || resp.StatusCode == http.StatusAccepted {
		return 0
	}
	k.recordAnswer(body, resp.StatusCode, text)
	if resp.StatusCode == http.StatusOK {
		assert.Contains(k.t, string(text), strings.Trim(body, `"`), "the result must be that of the worker")
	}
	return resp.StatusCode
}

// checkRuns fails the test for each request to book, which is not idempotent, that has run more than once, and returns the
// number of these requests.
func (k *killTest) checkRuns() (repeated int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for body, runs := range k.runs {
		if strings.HasPrefix(body, `"b`) && runs > 1 {
			repeated++
			k.t.Errorf("reserva %s ran %d times", body, runs)
		}
	}
	return repeated
}
