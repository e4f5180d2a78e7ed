// Package wallstep builds programs whose wall clock can be stepped, for tests. Go reads the clocks without the C library, so
// that no preloaded library reaches it; instead the program is built with a changed copy of the standard package time
// (go build -overlay). Only what time.Now says of the wall clock changes: the monotonic clock and all timers run true.
//
// Source: the flag -overlay of the go command (go help build).
package wallstep

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Environment variables that a program built with the overlay reads at its start.
const (
	// stepsEnv lists steps, see Step: "1.5s=-400s,3s=3600s".
	stepsEnv = "KITEFALL_TEST_WALL_STEPS"
	// jitterEnv is how far from the truth each single reading may be, in seconds.
	jitterEnv = "KITEFALL_TEST_WALL_JITTER"
)

// The line of the function time.Now that is changed, and what it becomes.
const (
	originalLine = "\tsec, nsec, mono := runtimeNow()\n\tif mono == 0 {\n\t\treturn Time{uint64(nsec), sec + unixToInternal, Local}"
	readClock    = "\tsec, nsec, mono := runtimeNow()\n"
	changedLine  = readClock + "\tsec += wallOffset(mono)\n"
)

// wallOffsetSource is the file that is added to package time.
//
//go:embed walloffset.go.txt
var wallOffsetSource string

// Step sets the wall clock of a process.
type Step struct {
	At time.Duration // since the start of the process; 0: it starts with the wrong clock
	By time.Duration // whole seconds; negative: back
}

// Environment returns the environment variable that makes a process take the steps.
func Environment(steps []Step) string {
	var parts []string
	for _, step := range steps {
		parts = append(parts, step.At.String()+"="+step.By.String())
	}
	return stepsEnv + "=" + strings.Join(parts, ",")
}

// JitterEnvironment returns the environment variable that puts each reading of the wall clock off by up to limit.
func JitterEnvironment(limit time.Duration) string {
	return fmt.Sprintf("%s=%d", jitterEnv, int(limit.Seconds()))
}

// WriteOverlay writes the changed copy of package time into a folder and returns the path of the file for -overlay. It
// fails if the copy in use does not have the expected text.
func WriteOverlay(folder string) (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	timeFolder := filepath.Join(strings.TrimSpace(string(root)), "src", "time")
	original, err := os.ReadFile(filepath.Join(timeFolder, "time.go"))
	if err != nil {
		return "", err
	}
	if strings.Count(string(original), originalLine) != 1 {
		return "", fmt.Errorf("wallstep: time.Now of %s is not as expected", timeFolder)
	}
	changed := strings.Replace(string(original), originalLine, strings.Replace(originalLine, readClock, changedLine, 1), 1)
	replacements := map[string]string{}
	for name, text := range map[string]string{"time.go": changed, "walloffset.go": wallOffsetSource} {
		path := filepath.Join(folder, name+".overlay")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", err
		}
		replacements[filepath.Join(timeFolder, name)] = path
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replacements})
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "overlay.json")
	return path, os.WriteFile(path, overlay, 0o600)
}

// Build builds the program of a package into a folder, with the overlay, and returns its path.
func Build(folder, pkg string) (string, error) {
	overlay, err := WriteOverlay(folder)
	if err != nil {
		return "", err
	}
	program := filepath.Join(folder, "program")
	output, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, pkg).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("wallstep: %w: %s", err, output)
	}
	return program, nil
}
