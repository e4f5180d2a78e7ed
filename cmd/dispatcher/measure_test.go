package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

const (
	sequentialCalls        = 300
	concurrentClients      = 64
	callsPerClient         = 40
	measureRounds          = 3
	baselineSyncBytes      = 500
	baselineSyncRepeats    = 1000
	baselineSyncFileLength = 4 << 20
)

// Compares the latency and throughput of builds of the program over HTTPS, with a worker that answers at once. It measures
// the synchronous calls of one client and then of many concurrent clients. The builds take turns in each round.
//
// KITEFALL_MEASURE holds the paths of the builds, separated by colons, the build of the present code last. Without it, as
// in CI, the test is skipped.
func TestMeasureProgramsSideBySide(t *testing.T) {
	programs := os.Getenv("KITEFALL_MEASURE")
	if programs == "" {
		t.Skip("KITEFALL_MEASURE is not set")
	}
	t.Logf("baseline: median write and fdatasync of %d bytes: %v", baselineSyncBytes, measureBaselineSync(t))
	for round := range measureRounds {
		for _, program := range strings.Split(programs, ":") {
			measureProgram(t, round, program)
		}
	}
}

// measureBaselineSync returns the median duration of a write with fdatasync to a file that does not grow, as a
// baseline for the measured latencies.
func measureBaselineSync(t *testing.T) time.Duration {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "bare"))
	require.NoError(t, err)
	defer file.Close()
	_, err = file.Write(make([]byte, baselineSyncFileLength))
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	var durations []time.Duration
	for i := range baselineSyncRepeats {
		start := time.Now()
		_, err := file.WriteAt(make([]byte, baselineSyncBytes), int64(i*baselineSyncBytes))
		require.NoError(t, err)
		require.NoError(t, syscall.Fdatasync(int(file.Fd())))
		durations = append(durations, time.Since(start))
	}
	return percentile(durations, 50)
}

// percentile sorts the durations in place and returns the given percentile.
func percentile(durations []time.Duration, percent int) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)*percent/100]
}

// measuredProgram is a running program and a client of its invoke API.
type measuredProgram struct {
	t      *testing.T
	url    string
	client *http.Client
}

// startMeasuredProgram starts a program with a worker that answers at once. The returned function stop terminates the
// program.
func startMeasuredProgram(t *testing.T, program string) (p *measuredProgram, stop func()) {
	t.Helper()
	authority, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
	worker.Serve(func(call *fakes.Call) { call.AnswerOK(`"done"`) })
	s := newService(t, newIdleDiscovery(t), worker)
	invokeFile, url := writeInvokeFile(t, authority)
	addLookFunction(t, invokeFile)
	process := programCommand(program, s.configPath, invokeFile)
	require.NoError(t, process.Start())
	dial(t, s.addr).Close()
	client := authority.Client(fakes.TrustDomain + clientIdentity)
	client.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	return &measuredProgram{t: t, url: url, client: client}, func() { terminate(process) }
}

func terminate(process *exec.Cmd) {
	process.Process.Signal(syscall.SIGTERM)
	process.Wait()
}

// invoke invokes a function synchronously and returns the HTTP status of the answer.
func (p *measuredProgram) invoke(function, body string) int {
	request, err := newInvocationRequest(p.url, function, body)
	require.NoError(p.t, err)
	resp, err := p.client.Do(request)
	require.NoError(p.t, err)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

func measureProgram(t *testing.T, round int, program string) {
	t.Helper()
	p, stop := startMeasuredProgram(t, program)
	defer stop()
	summary := fmt.Sprintf("round %d, %s:", round, filepath.Base(program))
	for _, function := range []string{"look", "book"} {
		durations := p.measureSequentialCalls(function)
		summary += fmt.Sprintf(" %s p50 %v p99 %v;", function, percentile(durations, 50), percentile(durations, 99))
	}
	statuses, duration := p.measureConcurrentCalls()
	t.Logf("%s %d concurrent clients: %v in %v", summary, concurrentClients, statuses, duration.Round(time.Millisecond))
}

// measureSequentialCalls makes sequentialCalls calls one after another and returns their durations. It makes a
// warm-up call first, which is not measured.
func (p *measuredProgram) measureSequentialCalls(function string) []time.Duration {
	p.invoke(function, "first")
	var durations []time.Duration
	for i := range sequentialCalls {
		start := time.Now()
		require.Equal(p.t, 200, p.invoke(function, fmt.Sprintf("%s %d", function, i)))
		durations = append(durations, time.Since(start))
	}
	return durations
}

// measureConcurrentCalls has concurrentClients clients make callsPerClient calls each, at the same time. It returns the
// number of answers by HTTP status and the duration of all calls together.
func (p *measuredProgram) measureConcurrentCalls() (statuses map[int]int, duration time.Duration) {
	statuses = map[int]int{}
	start := time.Now()
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range concurrentClients {
		clients.Go(func() {
			for j := range callsPerClient {
				status := p.invoke("look", fmt.Sprintf("many %d %d", i, j))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return statuses, time.Since(start)
}
