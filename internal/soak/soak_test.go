package soak

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Environment variables of TestSoak.
const (
	firstSeedEnv = "KITEFALL_SOAK_SEED"  // the first seed
	seedsEnv     = "KITEFALL_SOAK_SEEDS" // how many
	parallelEnv  = "KITEFALL_SOAK_PARALLEL"
	quietEnv     = "KITEFALL_SOAK_QUIET"   // set: clients are also quiet within long outages
	programEnv   = "KITEFALL_SOAK_PROGRAM" // a dispatcher that package wallstep has built, in place of this version
)

const (
	planLength = 8 * time.Second
	ciSeeds    = 5 // two of them with thousands of workers
)

// environmentNumber returns the number in an environment variable, or a default.
func environmentNumber(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return number
}

// TestSoak plays random plans of overlapping faults and has the oracle check what clients and workers have seen. In CI it
// plays a few seeds; KITEFALL_SOAK_SEEDS sets how many from KITEFALL_SOAK_SEED on.
func TestSoak(t *testing.T) {
	program := dispatcherProgram(t)
	firstSeed := environmentNumber(t, firstSeedEnv, 1)
	running := make(chan struct{}, environmentNumber(t, parallelEnv, 2))
	for i := range environmentNumber(t, seedsEnv, ciSeeds) {
		seed := uint64(firstSeed + i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			folder, err := os.MkdirTemp("", "kitefall-soak-run")
			require.NoError(t, err)
			plan := RandomPlan(seed, planLength)
			if os.Getenv(quietEnv) != "" {
				plan.AddQuietTimes()
			}
			history, err := Run(program, folder, plan)
			require.NoError(t, err)
			t.Logf("%d dispatchers, %d workers: %v, served by what discovery told: %v", plan.Dispatchers,
				plan.Workers*plan.Members, Counts(history), history.ServedByDiscovery())
			if violations := Check(history); !assert.Empty(t, violations) {
				t.Log("plan", plan.Faults, "steps", plan.Steps, "folder", folder)
				return
			}
			os.RemoveAll(folder)
		})
	}
}
