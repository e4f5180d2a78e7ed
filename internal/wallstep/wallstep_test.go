package wallstep

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// clockProgram prints by how much the wall clock and the monotonic clock advance during a wait of 200 ms, rounded to seconds.
const clockProgram = `package main

import (
	"fmt"
	"time"
)

func main() {
	begin := time.Now()
	time.Sleep(200 * time.Millisecond)
	end := time.Now()
	fmt.Println(end.Round(0).Sub(begin.Round(0)).Round(time.Second), end.Sub(begin).Round(time.Second))
}
`

func TestBuiltProgramStepsOnlyTheWallClock(t *testing.T) {
	folder := t.TempDir()
	source := filepath.Join(folder, "clock.go")
	require.NoError(t, os.WriteFile(source, []byte(clockProgram), 0o600))
	program, err := Build(folder, source)
	require.NoError(t, err)
	run := func(environment string) string {
		command := exec.Command(program)
		command.Env = append(os.Environ(), environment)
		output, err := command.CombinedOutput()
		require.NoError(t, err, string(output))
		return strings.TrimSpace(string(output))
	}
	assert.Equal(t, "0s 0s", run("NONE="))
	assert.Equal(t, "-6m40s 0s", run(StepsEnvironment([]Step{{At: 100 * time.Millisecond, By: -400 * time.Second}})))
	assert.Equal(t, "1h0m0s 0s", run(StepsEnvironment([]Step{{By: -time.Minute}, {At: 50 * time.Millisecond, By: time.Hour}})))
	assert.NotEqual(t, "0s 0s", run(JitterEnvironment(time.Hour)))
}
