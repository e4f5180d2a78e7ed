package soak

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/wallstep"
)

func TestMain(m *testing.M) {
	WorkerMain()
	os.Exit(m.Run())
}

// steppableDispatcher builds the dispatcher so that its wall clock can be stepped, once for all tests.
var steppableDispatcher = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "kitefall-soak")
	if err != nil {
		return "", err
	}
	return wallstep.Build(folder, "kitefall/cmd/dispatcher")
})

// dispatcherProgram returns the path of the dispatcher: this version, or the one that programEnv names.
func dispatcherProgram(t *testing.T) string {
	t.Helper()
	if program := os.Getenv(programEnv); program != "" {
		return program
	}
	program, err := steppableDispatcher()
	require.NoError(t, err)
	return program
}

const (
	quietTime  = 4 * time.Second
	releases   = 3 // sets of new functions that are called one after the other
	releaseFor = 700 * time.Millisecond
)

// playRelease runs two dispatchers, the wall clock of the first one with the steps: calls of one function for a while, so
// that few load orders are needed, then of many functions that no worker has loaded. Load orders are wanted far beyond the
// budget then.
func playRelease(t *testing.T, steps ...wallstep.Step) []Violation {
	t.Helper()
	rules := DefaultRules()
	worker := DefaultWorker()
	worker.Work = 5 * time.Millisecond
	worker.LoadTime = 5 * time.Millisecond
	worker.KeepAlive = time.Minute
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: 2, Workers: 4, Seed: 1,
		Rules: rules, Worker: worker, Steps: [][]wallstep.Step{steps}})
	require.NoError(t, err)
	defer f.Close()
	f.StartClients(Load{Rate: 200, Functions: 1, MinWait: time.Second, MaxWait: 2 * time.Second})
	time.Sleep(quietTime)
	for release := range releases {
		f.SetLoad(Load{Rate: 60, Functions: 400, FirstFunction: 1000 * (release + 1), MinWait: time.Second, MaxWait: 2 * time.Second})
		time.Sleep(releaseFor)
	}
	history, err := f.Finish()
	require.NoError(t, err)
	t.Log(Counts(history))
	if t.Failed() || os.Getenv("SOAK_KEEP") != "" {
		t.Log(filepath.Glob(f.config.Folder + "/*"))
	}
	return Check(history)
}

// The load budget is one of real time, whatever the wall clock does (incident 1). After a step back the balancer's time
// stood still: requests of any age earned orders. After a step forward the orders of the last seconds were forgotten.
func TestLoadBudgetHoldsWhenTheWallClockIsStepped(t *testing.T) {
	second := time.Second
	for name, steps := range map[string][]wallstep.Step{
		"true clock":    nil,
		"back":          {{At: second, By: -400 * second}},
		"forward":       {{At: quietTime + second/2, By: time.Hour}, {At: quietTime + second, By: time.Hour}, {At: quietTime + 3*second/2, By: time.Hour}},
		"back, forward": {{At: second, By: -20 * second}, {At: quietTime + second, By: time.Hour}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Empty(t, playRelease(t, steps...))
		})
	}
}
