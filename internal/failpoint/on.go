//go:build failpoint

// Package failpoint names points of the program at which a test may kill the whole process.
package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// environment names the variable that chooses the point.
const environment = "KITEFALL_FAILPOINT"

var (
	chosenPoint   string       // set once, before main
	remainingHits atomic.Int64 // hits of the chosen point until the process is killed
)

func init() {
	point, countText, hasCount := strings.Cut(os.Getenv(environment), ":")
	chosenPoint = point
	remainingHits.Store(1)
	if count, err := strconv.ParseInt(countText, 10, 64); hasCount && err == nil {
		remainingHits.Store(count)
	}
}

// Hit kills the process if point is the one chosen by the environment and its count is reached. It is safe for concurrent
// use.
func Hit(point string) {
	if point == chosenPoint && remainingHits.Add(-1) == 0 {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until the signal arrives: nothing after this point may happen
	}
}
