package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// busyLoad returns a load that keeps the one connection of each client in use, with about twelve requests open at a time.
func busyLoad(deadline time.Duration) Load {
	return Load{Conns: 1, Rate: 120, Functions: 8, MinWait: deadline / 2, MaxWait: deadline}
}

// startSmallFleet starts a fleet of one dispatcher and four workers, and closes it at the end of the test.
func startSmallFleet(t *testing.T, deadline time.Duration) *Fleet {
	t.Helper()
	worker := DefaultWorker()
	worker.Work = 100 * time.Millisecond
	worker.Cores = 8
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: 1, Workers: 4, Seed: 1,
		Rules: DefaultRules(), Worker: worker, Deadline: deadline})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// Guards against an evacuated dispatcher that keeps clients because they go on using their open connections (incident 2,
// hypothesis A1). It must answer readiness checks with no at once and hold no client after 4 s. After a rejoin it must take
// clients again.
func TestEvacuatedProcessSendsItsClientsAway(t *testing.T) {
	f := startSmallFleet(t, time.Second)
	f.StartClients(busyLoad(time.Second))
	time.Sleep(time.Second)
	f.EvacuateDispatcher(0, 0)
	time.Sleep(time.Second)
	history, err := f.Finish()
	require.NoError(t, err)
	t.Log(Counts(history))
	assert.Empty(t, Check(history))
}

// Guards against a dispatcher that gets SIGTERM and is killed with accepted requests unanswered (incident 2, hypothesis A3). Its
// clients use their open connections until the earliest SIGKILL, and a worker hangs during the whole of that time.
func TestTerminatedProcessAnswersAllBeforeTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{600 * time.Millisecond, 5 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			f := startSmallFleet(t, deadline)
			f.StartClients(busyLoad(deadline))
			time.Sleep(time.Second)
			go f.HangWorker(0, maxKillDelay+killMargin)
			require.NoError(t, f.RestartDispatcher(0, true, nil))
			history, err := f.Finish()
			require.NoError(t, err)
			t.Log(Counts(history))
			assert.Empty(t, Check(history))
		})
	}
}

// Guards against a dispatcher that exceeds its limit of descriptors, or serves nothing, with over a thousand workers (incident 2,
// hypothesis B1).
func TestDescriptorsHoldWithManyWorkers(t *testing.T) {
	worker := DefaultWorker()
	worker.Work = 20 * time.Millisecond
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: 2, Workers: 4, WorkersPerProcess: 300,
		Seed: 1, Rules: DefaultRules(), Worker: worker, Limits: Limits{Cores: 0.4, MemoryMB: 64, Sockets: 192}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	f.StartClients(Load{Rate: 60, Functions: 2000, MinWait: time.Second, MaxWait: 2 * time.Second, CancelShare: 0.1})
	time.Sleep(8 * time.Second)
	history, err := f.Finish()
	require.NoError(t, err)
	t.Log(Counts(history), history.Dispatchers)
	logMetrics(t, f)
	assert.Empty(t, Check(history))
	assert.Positive(t, Counts(history)["answer:ok"])
}

// logMetrics writes the last line of metrics in the log of each dispatcher process to the test's log.
func logMetrics(t *testing.T, f *Fleet) {
	t.Helper()
	for _, d := range f.dispatchers {
		for run := range d.runs {
			text, err := os.ReadFile(f.logPath(d.number, run))
			require.NoError(t, err)
			if at := strings.LastIndex(string(text), "metrics "); at >= 0 {
				line, _, _ := strings.Cut(string(text[at:]), "\n")
				t.Logf("dispatcher %d run %d: %s", d.number, run, line)
			}
		}
	}
}
