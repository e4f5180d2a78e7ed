package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"kitefall/internal/wallstep"
)

// dispatcherHandle is a dispatcher and its present process.
type dispatcherHandle struct {
	number    int
	run       atomic.Int64    // number of the present process
	runs      []DispatcherRun // the last one is the present one
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the present process has ended
	discovery int           // which address of the endpoint list it follows
	// acceptUntil is when clients stop sending to it; 0: they do not.
	acceptUntil time.Duration
	ready       bool
}

// startDispatcher starts a process of a dispatcher with the present list, whose wall clock takes the steps.
func (f *Fleet) startDispatcher(number int, steps []wallstep.Step) error {
	listedAt := Now() // a change that comes after it and is not in the list counts as told like any other
	known, told := f.endpoints.known(number)
	return f.startDispatcherWith(number, steps, startList{answer: known, told: told, asOf: listedAt})
}

// startList is the list in the configuration of a dispatcher that starts.
type startList struct {
	answer listAnswer
	told   []change
	asOf   time.Duration // changes that came after it are not in the list; 0: it is the first one
}

// startDispatcherWith starts a process of a dispatcher with a list, whose wall clock takes the steps.
func (f *Fleet) startDispatcherWith(number int, steps []wallstep.Step, list startList) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	run := len(d.runs)
	configPath := f.configPath(number)
	if err := f.writeConfig(number, list.answer); err != nil {
		return err
	}
	logFile, err := os.Create(f.logPath(number, run))
	if err != nil {
		return err
	}
	defer logFile.Close()
	d.cmd = f.limitedCommand()
	d.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, wallstep.Environment(steps))
	d.cmd.Stdout = logFile
	d.cmd.Stderr = logFile
	d.acceptUntil = 0
	d.ready = false
	d.runs = append(d.runs, DispatcherRun{Dispatcher: number, Run: run, Started: Now(), ListedAt: list.asOf})
	d.run.Store(int64(run))
	f.endpoints.noteKnown(number, run, list)
	d.exited = make(chan struct{})
	if err := d.cmd.Start(); err != nil {
		return err
	}
	go f.reap(d, d.cmd, run, d.exited)
	go f.measure(d, d.cmd.Process.Pid, run, d.exited)
	return nil
}

// limitedCommand returns the command that runs a dispatcher with the limit of descriptors set, as the platform does.
func (f *Fleet) limitedCommand() *exec.Cmd {
	script := fmt.Sprintf("ulimit -n %d; exec %q", f.config.Limits.Sockets, f.config.Program)
	return exec.Command("/bin/sh", "-c", script)
}

func (f *Fleet) logPath(number, run int) string {
	return filepath.Join(f.config.Folder, fmt.Sprintf("dispatcher-%d-%d.log", number, run))
}

// reap notes the end of a process of a dispatcher.
func (f *Fleet) reap(d *dispatcherHandle, cmd *exec.Cmd, run int, exited chan struct{}) {
	err := cmd.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &d.runs[run]
	r.Ended = Now()
	r.Shortages = linesWith(f.logPath(d.number, run), shortageText)
	r.Stopped = linesWith(f.logPath(d.number, run), stoppedText)
	if r.Killed == 0 && (r.Terminated == 0 || err != nil) {
		r.Crash = fmt.Sprint("ended: ", err)
	}
	close(exited)
}

// awaitDispatcher waits until the dispatcher says that it is ready.
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
	return fmt.Errorf("soak: dispatcher %d is not ready", number)
}

// currentRun returns the number of the dispatcher's present process.
func (f *Fleet) currentRun(number int) int { return int(f.dispatchers[number].run.Load()) }

// accepting reports whether clients make new connections to the dispatcher.
func (f *Fleet) accepting(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	return d.ready && (d.acceptUntil == 0 || Now() < d.acceptUntil)
}
