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
	firstSeedEnv = "KITEFALL_SOAK_SEED"     // the first seed
	seedsEnv     = "KITEFALL_SOAK_SEEDS"    // how many seeds
	parallelEnv  = "KITEFALL_SOAK_PARALLEL" // how many plans run at a time
	quietEnv     = "KITEFALL_SOAK_QUIET"    // if set, clients also send nothing during a part of each long outage
	floodsEnv    = "KITEFALL_SOAK_FLOODS"   // if set, clients also flood dispatchers
	programEnv   = "KITEFALL_SOAK_PROGRAM"  // path of a dispatcher built by package wallstep, to test in place of this version
)

// The seeds of TestSoakWithFloods.
const (
	floodFirstSeed = 6300
	floodCISeeds   = 3
)

const (
	planLength = 8 * time.Second // of a plan without a long outage
	ciSeeds    = 5               // of the seeds 1 to 5, 1 and 5 have a large fleet (see largeSeedPeriod)
)

// environmentInt returns the number in an environment variable, or a default if the variable is not set.
func environmentInt(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return number
}

// Guards against floods that break a rule for the other clients, or take the memory (incident of floods). Each kind of flood comes
// while other faults overlap.
func TestSoakWithFloods(t *testing.T) {
	playSoak(t, floodFirstSeed, floodCISeeds, true)
}

// TestSoak plays random plans of overlapping faults and checks with the oracle what clients and workers have recorded. By default
// it plays ciSeeds seeds; KITEFALL_SOAK_SEEDS sets how many, KITEFALL_SOAK_SEED the first one.
func TestSoak(t *testing.T) {
	playSoak(t, environmentInt(t, firstSeedEnv, 1), environmentInt(t, seedsEnv, ciSeeds), os.Getenv(floodsEnv) != "")
}

// playSoak plays the plans of some seeds in a row, with floods if withFloods is set.
func playSoak(t *testing.T, firstSeed, seeds int, withFloods bool) {
	program := dispatcherProgram(t)
	running := make(chan struct{}, environmentInt(t, parallelEnv, 2))
	for i := range seeds {
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
			if withFloods {
				plan.AddFloods()
			}
			history, err := Run(program, folder, plan)
			require.NoError(t, err)
			t.Logf("%d dispatchers, %d workers: %v, requests and served ones by state of discovery: %v", plan.Dispatchers,
				plan.Workers*plan.WorkersPerProcess, Counts(history), history.ServedByDiscovery())
			if violations := Check(history); !assert.Empty(t, violations) {
				t.Log("plan", plan.Faults, "steps", plan.WallClockSteps, "folder", folder)
				return
			}
			os.RemoveAll(folder)
		})
	}
}
