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

func (f *Fleet) startDispatcher(number int, steps []wallstep.Step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	run := len(d.runs)
	configPath := f.configPath(number)
	known := f.endpoints.known(number)
	if err := f.writeConfig(number, known); err != nil {
		return err
	}
	logPath := filepath.Join(f.config.Folder, fmt.Sprintf("dispatcher-%d-%d.log", number, run))
	logFile, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer logFile.Close()
	d.cmd = exec.Command(f.config.Program)
	d.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, wallstep.Environment(steps))
	d.cmd.Stdout = logFile
	d.cmd.Stderr = logFile
	d.acceptUntil = 0
	d.ready = false
	d.runs = append(d.runs, DispatcherRun{Dispatcher: number, Run: run, Started: Now()})
	d.run.Store(int64(run))
	f.endpoints.noteKnown(number, run)
	d.exited = make(chan struct{})
	if err := d.cmd.Start(); err != nil {
		return err
	}
	go f.reap(d, d.cmd, run, d.exited)
	return nil
}

func (f *Fleet) reap(d *dispatcherHandle, cmd *exec.Cmd, run int, exited chan struct{}) {
	err := cmd.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &d.runs[run]
	r.Ended = Now()
	if r.Killed == 0 && (r.Terminated == 0 || err != nil) {
		r.Crash = fmt.Sprint("ended: ", err)
	}
	close(exited)
}

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

func (f *Fleet) currentRun(number int) int { return int(f.dispatchers[number].run.Load()) }

func (f *Fleet) accepting(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	return d.ready && (d.acceptUntil == 0 || Now() < d.acceptUntil)
}
