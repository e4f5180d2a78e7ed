package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"kitefall/internal/wallstep"
)

// dispatcherHandle holds a dispatcher and its current process.
type dispatcherHandle struct {
	number         int
	currentRun     atomic.Int64    // index of the current process in runs
	runs           []DispatcherRun // all processes so far; the last one is current
	cmd            *exec.Cmd
	exited         chan struct{} // closed when the current process has ended
	discoveryIndex int           // which address of the endpoint list the dispatcher polls
	// connectUntil is when clients stop opening connections to the dispatcher; 0: never.
	connectUntil time.Duration
	ready        bool
}

// startDispatcher starts a process of a dispatcher with the current endpoint list and applies the steps to its wall clock.
func (f *Fleet) startDispatcher(number int, steps []wallstep.Step) error {
	// Read before the list: a change that comes too late for the list counts as known notificationDeadline after it happened.
	takenAt := Now()
	response, changes := f.endpoints.currentList(number)
	return f.startDispatcherWithList(number, steps, startList{response: response, changes: changes, takenAt: takenAt})
}

// startList is the endpoint list in the configuration of a dispatcher that starts.
type startList struct {
	response pollResponse
	changes  []change      // the last change of each worker in the list
	takenAt  time.Duration // later changes may be missing from the list; 0: it is the first list
}

// startDispatcherWithList starts a process of a dispatcher with an endpoint list and applies the steps to its wall clock.
func (f *Fleet) startDispatcherWithList(number int, steps []wallstep.Step, list startList) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	run := len(d.runs)
	configPath := f.configPath(number)
	if err := f.writeConfig(number, list.response); err != nil {
		return err
	}
	logFile, err := os.Create(f.logPath(number, run))
	if err != nil {
		return err
	}
	defer logFile.Close()
	d.cmd = f.dispatcherCommand()
	d.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, wallstep.StepsEnvironment(steps))
	d.cmd.Stdout = logFile
	d.cmd.Stderr = logFile
	d.connectUntil = 0
	d.ready = false
	d.runs = append(d.runs, DispatcherRun{Dispatcher: number, Run: run, Started: Now(), ListTakenAt: list.takenAt})
	d.currentRun.Store(int64(run))
	f.endpoints.recordStartList(number, run, list)
	d.exited = make(chan struct{})
	if err := d.cmd.Start(); err != nil {
		return err
	}
	go f.reap(d, d.cmd, run, d.exited)
	go f.sampleUsage(d, d.cmd.Process.Pid, run, d.exited)
	return nil
}

// dispatcherCommand returns the command that runs a dispatcher under its descriptor limit, as the platform does.
func (f *Fleet) dispatcherCommand() *exec.Cmd {
	script := fmt.Sprintf("ulimit -n %d; exec %q", f.config.Limits.Sockets, f.config.Program)
	return exec.Command("/bin/sh", "-c", script)
}

func (f *Fleet) logPath(number, run int) string {
	return filepath.Join(f.config.Folder, fmt.Sprintf("dispatcher-%d-%d.log", number, run))
}

// reap waits for the end of a dispatcher's process and records it.
func (f *Fleet) reap(d *dispatcherHandle, cmd *exec.Cmd, run int, exited chan struct{}) {
	err := cmd.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &d.runs[run]
	r.Ended = Now()
	r.Shortages = countOccurrences(f.logPath(d.number, run), descriptorShortageText)
	r.StoppedChoices = countOccurrences(f.logPath(d.number, run), stoppedChoiceText)
	if r.Killed == 0 && (r.Terminated == 0 || err != nil) {
		r.Crash = fmt.Sprintf("ended: %v; the log ends with %q", err, lastLine(f.logPath(d.number, run)))
	}
	close(exited)
}

// lastLine returns the last line of a file, or "" if it cannot be read.
func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// awaitDispatcher waits until the dispatcher answers that it is ready, for readyTimeout at most.
func (f *Fleet) awaitDispatcher(number int) error {
	addr := f.dispatcherAddr(number)
	for begin := Now(); Now()-begin < readyTimeout; time.Sleep(10 * time.Millisecond) {
		if askReady(addr) {
			f.mu.Lock()
			f.dispatchers[number].ready = true
			f.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("soak: dispatcher %d did not become ready", number)
}

// currentRun returns the number of the dispatcher's current process.
func (f *Fleet) currentRun(number int) int { return int(f.dispatchers[number].currentRun.Load()) }

// clientsMayConnect reports whether clients may open new connections to the dispatcher.
func (f *Fleet) clientsMayConnect(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	return d.ready && (d.connectUntil == 0 || Now() < d.connectUntil)
}
