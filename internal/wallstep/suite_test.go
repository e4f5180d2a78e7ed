package wallstep

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxJitter is the largest error of a single reading of the wall clock.
const maxJitter = 10 * time.Minute

// clockDependentPackages are the packages that measure time. Errors of the wall clock must not make their tests fail.
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

// The tests of clockDependentPackages must pass while each reading of the wall clock is off by up to ten minutes, forward or
// back. They fail if code measures a duration with the wall clock, or compares its times with those of the monotonic clock.
func TestPackagesHoldWithAJitteringWallClock(t *testing.T) {
	overlay, err := WriteOverlay(t.TempDir())
	require.NoError(t, err)
	arguments := append([]string{"test", "-overlay", overlay, "-count=1"}, clockDependentPackages...)
	command := exec.Command("go", arguments...)
	command.Env = append(os.Environ(), JitterEnvironment(maxJitter))
	output, err := command.CombinedOutput()
	assert.NoError(t, err, string(output))
}
