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

// steppableDispatcher builds, once for all tests, a dispatcher whose wall clock can be stepped, and returns its path.
var steppableDispatcher = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "kitefall-soak")
	if err != nil {
		return "", err
	}
	return wallstep.Build(folder, "kitefall/cmd/dispatcher")
})

// dispatcherProgram returns the path of the dispatcher to test: the one in programEnv, or else a build of this version.
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
	steadyTime    = 4 * time.Second        // how long a single function is called, before the releases
	releases      = 3                      // how many sets of new functions are called, one after the other
	releaseLength = 700 * time.Millisecond // how long the functions of each set are called
)

// playRelease runs two dispatchers, the first with the given steps of its wall clock, and returns the violations. Clients first
// call one function, which takes few load orders, and then many functions that no worker has loaded, which would take far more
// load orders than the budget allows.
func playRelease(t *testing.T, steps ...wallstep.Step) []Violation {
	t.Helper()
	rules := DefaultRules()
	worker := DefaultWorker()
	worker.Work = 5 * time.Millisecond
	worker.LoadTime = 5 * time.Millisecond
	worker.KeepAlive = time.Minute
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: 2, Workers: 4, Seed: 1,
		Rules: rules, Worker: worker, WallClockSteps: [][]wallstep.Step{steps}})
	require.NoError(t, err)
	defer f.Close()
	f.StartClients(Load{Rate: 200, Functions: 1, MinWait: time.Second, MaxWait: 2 * time.Second})
	time.Sleep(steadyTime)
	for release := range releases {
		f.SetLoad(Load{Rate: 60, Functions: 400, FirstFunction: 1000 * (release + 1), MinWait: time.Second, MaxWait: 2 * time.Second})
		time.Sleep(releaseLength)
	}
	history, err := f.Finish()
	require.NoError(t, err)
	t.Log(Counts(history))
	if t.Failed() || os.Getenv("SOAK_KEEP") != "" {
		t.Log(filepath.Glob(f.config.Folder + "/*"))
	}
	return Check(history)
}

// Guards against load orders beyond the budget when the wall clock is stepped (incident 1). The budget counts in real time. After
// a step back the balancer's time stood still, and requests of any age earned orders. After a step forward the balancer no longer
// counted the orders of the last seconds.
func TestLoadBudgetHoldsWhenTheWallClockIsStepped(t *testing.T) {
	second := time.Second
	for name, steps := range map[string][]wallstep.Step{
		"no step": nil,
		"back":    {{At: second, By: -400 * second}},
		"forward": {{At: steadyTime + second/2, By: time.Hour}, {At: steadyTime + second, By: time.Hour},
			{At: steadyTime + 3*second/2, By: time.Hour}},
		"back, forward": {{At: second, By: -20 * second}, {At: steadyTime + second, By: time.Hour}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Empty(t, playRelease(t, steps...))
		})
	}
}
