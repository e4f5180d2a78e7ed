// Package wallstep builds programs whose wall clock can be stepped, for tests. Go reads the clocks without the C library, so a
// preloaded library cannot change them. Instead, the program is built with a changed copy of the standard package time (go build
// -overlay). Only the wall clock reading in the result of time.Now changes; the monotonic clock and all timers stay correct.
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

// Environment variables that a program built with the overlay reads when it starts.
const (
	// stepsEnv lists steps as pairs of Step.At and Step.By: "1.5s=-400s,3s=3600s".
	stepsEnv = "KITEFALL_TEST_WALL_STEPS"
	// jitterEnv is the largest error of a single reading of the wall clock, in seconds.
	jitterEnv = "KITEFALL_TEST_WALL_JITTER"
)

// The original text in the function time.Now, its line that reads the clocks, and the replacement of this line.
const (
	originalText  = "\tsec, nsec, mono := runtimeNow()\n\tif mono == 0 {\n\t\treturn Time{uint64(nsec), sec + unixToInternal, Local}"
	clockReadLine = "\tsec, nsec, mono := runtimeNow()\n"
	newReadLine   = clockReadLine + "\tsec += wallOffset(mono)\n"
)

// wallOffsetSource is the source of the file that is added to package time. It defines wallOffset.
//
//go:embed walloffset.go.txt
var wallOffsetSource string

// Step is a change of the wall clock of a process at one time.
type Step struct {
	At time.Duration // since the start of the process; 0: the wall clock is wrong from the start
	By time.Duration // in whole seconds; negative: backward
}

// StepsEnvironment returns the environment entry ("NAME=value") that makes a process apply the steps to its wall clock.
func StepsEnvironment(steps []Step) string {
	var parts []string
	for _, step := range steps {
		parts = append(parts, step.At.String()+"="+step.By.String())
	}
	return stepsEnv + "=" + strings.Join(parts, ",")
}

// JitterEnvironment returns the environment entry ("NAME=value") that makes each reading of the wall clock wrong by up to limit.
func JitterEnvironment(limit time.Duration) string {
	return fmt.Sprintf("%s=%d", jitterEnv, int(limit.Seconds()))
}

// WriteOverlay writes the changed files of package time into a folder and returns the path of the file for the flag -overlay. It
// fails if time.Now of the Go version in use does not have the expected text.
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
	if strings.Count(string(original), originalText) != 1 {
		return "", fmt.Errorf("wallstep: time.Now in %s does not have the expected text", timeFolder)
	}
	changed := strings.Replace(string(original), originalText, strings.Replace(originalText, clockReadLine, newReadLine, 1), 1)
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

// Build builds the program of a package with the overlay into a folder and returns the path of the program.
func Build(folder, pkg string) (string, error) {
	overlay, err := WriteOverlay(folder)
	if err != nil {
		return "", err
	}
	program := filepath.Join(folder, "program")
	output, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, pkg).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("wallstep: the build failed: %w: %s", err, output)
	}
	return program, nil
}
