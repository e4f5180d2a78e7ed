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
	sequentialCalls    = 300
	concurrentClients  = 64
	callsPerClient     = 40
	measureTurns       = 3
	bareSyncBytes      = 500
	bareSyncRepeats    = 1000
	bareSyncFileLength = 4 << 20
)

// Measures programs side by side over HTTPS, with a worker that answers at once: one client's synchronous calls, and
// those of many clients at once. Outside CI: KITEFALL_MEASURE names the programs, separated by colons; the last is the
// present one.
func TestMeasureProgramsSideBySide(t *testing.T) {
	programs := os.Getenv("KITEFALL_MEASURE")
	if programs == "" {
		t.Skip("KITEFALL_MEASURE names no programs")
	}
	t.Logf("bare sync of %d bytes: %v", bareSyncBytes, measureBareSync(t))
	for turn := range measureTurns {
		for _, program := range strings.Split(programs, ":") {
			measureProgram(t, turn, program)
		}
	}
}

// measureBareSync returns the median time of a write and sync to a file that has its length already.
func measureBareSync(t *testing.T) time.Duration {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "bare"))
	require.NoError(t, err)
	defer file.Close()
	_, err = file.Write(make([]byte, bareSyncFileLength))
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	var took []time.Duration
	for i := range bareSyncRepeats {
		begin := time.Now()
		_, err := file.WriteAt(make([]byte, bareSyncBytes), int64(i*bareSyncBytes))
		require.NoError(t, err)
		require.NoError(t, syscall.Fdatasync(int(file.Fd())))
		took = append(took, time.Since(begin))
	}
	return percentile(took, 50)
}

// percentile returns a percentile of the durations, and sorts them.
func percentile(durations []time.Duration, percent int) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)*percent/100]
}

// measuredProgram is a running program that is measured over its invoke API.
type measuredProgram struct {
	t      *testing.T
	url    string
	client *http.Client
}

// startMeasuredProgram starts a program with a worker that answers at once. It is terminated at the end of the test.
func startMeasuredProgram(t *testing.T, program string) (p *measuredProgram, stop func()) {
	t.Helper()
	authority, worker := fakes.NewAuthority(t), fakes.NewWorker(t)
	worker.Serve(func(call *fakes.Call) { call.OK(`"done"`) })
	s := newService(t, calmDiscovery(t), worker)
	invokeFile, url := writeInvokeFile(t, authority)
	addLookFunction(t, invokeFile)
	process := programCommand(program, s.configPath, invokeFile)
	require.NoError(t, process.Start())
	dial(t, s.addr).Close()
	client := authority.Client(fakes.Domain + clientIdentity)
	client.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	return &measuredProgram{t: t, url: url, client: client}, func() { terminate(process) }
}

func terminate(process *exec.Cmd) {
	process.Process.Signal(syscall.SIGTERM)
	process.Wait()
}

// invoke calls a function and returns the status.
func (p *measuredProgram) invoke(function, body string) int {
	request, err := newInvocationRequest(p.url, function, body)
	require.NoError(p.t, err)
	resp, err := p.client.Do(request)
	require.NoError(p.t, err)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

func measureProgram(t *testing.T, turn int, program string) {
	t.Helper()
	p, stop := startMeasuredProgram(t, program)
	defer stop()
	line := fmt.Sprintf("turn %d, %s:", turn, filepath.Base(program))
	for _, function := range []string{"look", "book"} {
		took := p.measureSequentialCalls(function)
		line += fmt.Sprintf(" %s p50 %v p99 %v;", function, percentile(took, 50), percentile(took, 99))
	}
	statuses, took := p.measureConcurrentCalls()
	t.Logf("%s %d callers: %v in %v", line, concurrentClients, statuses, took.Round(time.Millisecond))
}

// measureSequentialCalls returns the duration of each of one client's calls.
func (p *measuredProgram) measureSequentialCalls(function string) []time.Duration {
	p.invoke(function, "first")
	var took []time.Duration
	for i := range sequentialCalls {
		begin := time.Now()
		require.Equal(p.t, 200, p.invoke(function, fmt.Sprintf("%s %d", function, i)))
		took = append(took, time.Since(begin))
	}
	return took
}

// measureConcurrentCalls returns how often each status was the answer to many clients at once, and how long it took.
func (p *measuredProgram) measureConcurrentCalls() (statuses map[int]int, took time.Duration) {
	statuses = map[int]int{}
	begin := time.Now()
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
	return statuses, time.Since(begin)
}
