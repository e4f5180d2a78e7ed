package wallstep

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// jitter is how far from the truth each reading of the wall clock may be.
const jitter = 10 * time.Minute

// clockDependentPackages are those in which time passes: their tests must not notice the wall clock.
var clockDependentPackages = []string{
	"kitefall/cmd/dispatcher",
	"kitefall/internal/control",
	"kitefall/internal/discovery",
	"kitefall/internal/dispatch",
	"kitefall/internal/frontend/...",
	"kitefall/internal/invocation/...",
	"kitefall/internal/logthrottle",
	"kitefall/internal/worker",
}

// The whole program in which each reading of the wall clock is off by up to ten minutes, forward or back: whatever measures
// a span with it, or compares its times with those of the monotonic clock, fails.
func TestPackagesHoldWithAJitteringWallClock(t *testing.T) {
	overlay, err := WriteOverlay(t.TempDir())
	require.NoError(t, err)
	arguments := append([]string{"test", "-overlay", overlay, "-count=1"}, clockDependentPackages...)
	command := exec.Command("go", arguments...)
	command.Env = append(os.Environ(), JitterEnvironment(jitter))
	output, err := command.CombinedOutput()
	assert.NoError(t, err, string(output))
}
