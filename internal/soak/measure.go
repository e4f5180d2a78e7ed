package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two samples of a process's descriptors and memory.
const sampleInterval = 20 * time.Millisecond

// descriptorShortageText is part of each log line that reports a lack of file descriptors.
const descriptorShortageText = "too many open files"

// stoppedChoiceText is part of each log line that reports a choice which the dispatcher's own check has stopped.
const stoppedChoiceText = "would have broken a rule"

// sampleUsage records the maximum of the descriptors and of the memory that a dispatcher's process uses, until it has ended.
func (f *Fleet) sampleUsage(d *dispatcherHandle, pid, run int, exited <-chan struct{}) {
	for !waitOrDone(exited, sampleInterval) {
		descriptors, memoryMB := countDescriptors(pid), peakMemoryMB(pid)
		f.mu.Lock()
		r := &d.runs[run]
		r.Descriptors = max(r.Descriptors, descriptors)
		r.MemoryMB = max(r.MemoryMB, memoryMB)
		f.mu.Unlock()
	}
}

// countDescriptors returns how many file descriptors a process has open; 0 if the process has ended.
func countDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemoryMB returns the largest resident set size of a process so far, in MB; 0 if the process has ended.
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

// countOccurrences returns how often a text occurs in a file; 0 if the file cannot be read.
func countOccurrences(path, text string) int {
	log, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return bytes.Count(log, []byte(text))
}
