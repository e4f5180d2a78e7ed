package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// measureInterval is the time between two looks at what a process uses.
const measureInterval = 20 * time.Millisecond

// shortageText is in a line of the log that tells of a want of descriptors.
const shortageText = "too many open files"

// stoppedText is in a line of the log that tells of a choice which the check at run time has stopped.
const stoppedText = "would have broken a rule"

// measure notes the most descriptors and memory that a process of a dispatcher uses, until it has ended.
func (f *Fleet) measure(d *dispatcherHandle, pid, run int, exited <-chan struct{}) {
	for !waitOr(exited, measureInterval) {
		descriptors, memoryMB := countDescriptors(pid), peakMemoryMB(pid)
		f.mu.Lock()
		r := &d.runs[run]
		r.Descriptors = max(r.Descriptors, descriptors)
		r.MemoryMB = max(r.MemoryMB, memoryMB)
		f.mu.Unlock()
	}
}

// countDescriptors returns how many descriptors a process has open; 0 if it has ended.
func countDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemoryMB returns the largest resident set of a process so far; 0 if it has ended.
func peakMemoryMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// linesWith counts how often a log has a text.
func linesWith(path, text string) int {
	log, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return bytes.Count(log, []byte(text))
}
