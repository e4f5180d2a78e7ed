//go:build failpoint

// Package failpoint marks points in the program at which a test can kill the whole process.
package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// environmentVariable selects a failpoint, as NAME or NAME:N.
const environmentVariable = "KITEFALL_FAILPOINT"

var (
	selectedPoint string       // set only by init
	remainingHits atomic.Int64 // number of hits of the selected failpoint until the process is killed
)

func init() {
	point, countText, hasCount := strings.Cut(os.Getenv(environmentVariable), ":")
	selectedPoint = point
	remainingHits.Store(1)
	if count, err := strconv.ParseInt(countText, 10, 64); hasCount && err == nil {
		remainingHits.Store(count)
	}
}

// Hit kills the process if point is the selected failpoint and has now been reached as often as the environment variable
// says. It is safe for concurrent use.
func Hit(point string) {
	if point == selectedPoint && remainingHits.Add(-1) == 0 {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // blocks until the signal arrives, so that no code after the failpoint runs
	}
}
