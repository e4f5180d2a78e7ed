package soak

import (
	"syscall"
	"time"

	"kitefall/internal/channel"
	"kitefall/internal/wallstep"
)

// downTime is how long nothing listens at a worker's address between two processes.
const downTime = 600 * time.Millisecond

// count notes a fault that was injected.
func (f *Fleet) count(kind FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[string(kind)]++
}

// Reload has a dispatcher follow the endpoint list at another address (SIGHUP).
func (f *Fleet) Reload(number int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	if channel.IsClosed(d.exited) {
		return nil
	}
	d.discovery = (d.discovery + 1) % discoveryAddresses
	known, _ := f.endpoints.known(number)
	if err := f.writeConfig(number, known); err != nil {
		return err
	}
	return d.cmd.Process.Signal(syscall.SIGHUP)
}

// terminateDispatcher sends SIGTERM. Clients make new connections for a moment, and use open ones until the end.
func (f *Fleet) terminateDispatcher(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	if channel.IsClosed(d.exited) {
		return
	}
	if run := &d.runs[len(d.runs)-1]; run.Terminated == 0 { // a second SIGTERM changes nothing
		run.Terminated = Now()
		d.acceptUntil = Now() + acceptAfterTerm
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
}

// awaitExit waits for the end of a dispatcher that was told to end, and kills it when its time is over.
func (f *Fleet) awaitExit(number int) {
	f.mu.Lock()
	d := f.dispatchers[number]
	exited, terminated := d.exited, d.runs[len(d.runs)-1].Terminated
	f.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(terminated + f.config.killDelay() - Now()):
		f.killDispatcher(number)
	}
}

func (f *Fleet) killDispatcher(number int) {
	f.mu.Lock()
	d := f.dispatchers[number]
	exited := d.exited
	if !channel.IsClosed(exited) {
		d.runs[len(d.runs)-1].Killed = Now()
		d.acceptUntil = 1 // long past
		d.cmd.Process.Kill()
	}
	f.mu.Unlock()
	<-exited
}

// RestartDispatcher ends a dispatcher, by SIGTERM or at once, and starts it again with a wall clock that takes the steps.
func (f *Fleet) RestartDispatcher(number int, planned bool, steps []wallstep.Step) error {
	if planned {
		f.terminateDispatcher(number)
		f.awaitExit(number)
	} else {
		f.killDispatcher(number)
	}
	if err := f.startDispatcher(number, steps); err != nil {
		return err
	}
	return f.awaitDispatcher(number)
}

// RestartDispatcherWithFirstList kills a dispatcher and starts it again with the list of its first start, whatever has changed.
func (f *Fleet) RestartDispatcherWithFirstList(number int) error {
	f.killDispatcher(number)
	if err := f.startDispatcherWith(number, nil, f.endpoints.firstKnown(number)); err != nil {
		return err
	}
	return f.awaitDispatcher(number)
}

// CrashWorker kills a worker and starts it again after a time, cold. The endpoint list tells of its new start.
func (f *Fleet) CrashWorker(number int, downFor time.Duration) error {
	w := f.workers[number]
	w.kill()
	time.Sleep(downFor)
	if err := w.start(); err != nil {
		return err
	}
	f.endpoints.add(w, stateActive, time.Now().UnixMilli())
	return nil
}

// DrainWorker has a worker drain: the list tells, and a little later than the grace it turns away what is new.
func (f *Fleet) DrainWorker(number int) {
	f.endpoints.add(f.workers[number], stateLeaving, 0)
	f.workers[number].signal(drainSignal)
}

// RemoveWorker ends a worker's process for good.
func (f *Fleet) RemoveWorker(number int) {
	f.workers[number].kill()
	f.endpoints.add(f.workers[number], stateLeft, 0)
}

// ReturnWorker starts a worker that was removed, cold.
func (f *Fleet) ReturnWorker(number int) error {
	if err := f.workers[number].start(); err != nil {
		return err
	}
	f.endpoints.add(f.workers[number], stateActive, time.Now().UnixMilli())
	return nil
}

// ReplaceWorker drains a worker, starts a spare in its place, and ends the drained one after a time.
func (f *Fleet) ReplaceWorker(number, spare int, drainFor time.Duration) error {
	f.DrainWorker(number)
	if err := f.ReturnWorker(spare); err != nil {
		return err
	}
	time.Sleep(drainFor)
	f.RemoveWorker(number)
	return nil
}

// CycleWorker drains a worker, ends it after a time, and starts it again, cold.
func (f *Fleet) CycleWorker(number int, drainFor time.Duration) error {
	f.DrainWorker(number)
	time.Sleep(drainFor)
	f.RemoveWorker(number)
	time.Sleep(downTime)
	return f.ReturnWorker(number)
}

// SucceedWorker drains a worker, ends it after a time, and starts a spare at its address.
func (f *Fleet) SucceedWorker(number, spare int, drainFor time.Duration) error {
	f.DrainWorker(number)
	time.Sleep(drainFor)
	f.RemoveWorker(number)
	time.Sleep(downTime)
	f.workers[spare].takeAddresses(f.workers[number])
	return f.ReturnWorker(spare)
}

// HangWorker has a worker run and answer nothing for a time; its connections stay open and silent.
func (f *Fleet) HangWorker(number int, length time.Duration) {
	w := f.workers[number]
	w.signal(syscall.SIGHUP)
	time.Sleep(length)
	w.signal(syscall.SIGHUP)
}

// FreezeWorker stops a worker's process for a time. It does not even read then, so that nobody knows when what it reads
// next has arrived.
func (f *Fleet) FreezeWorker(number int, length time.Duration) {
	w := f.workers[number]
	begin := Now()
	w.signal(syscall.SIGSTOP)
	time.Sleep(length)
	w.signal(syscall.SIGCONT)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, worker := range w.members {
		f.freezes = append(f.freezes, Freeze{Worker: worker.uid, Begin: begin, End: Now()})
	}
}

// FlushWorkers unloads all functions of all workers, as when all are released anew.
func (f *Fleet) FlushWorkers() {
	for _, w := range f.workers {
		w.signal(syscall.SIGUSR1)
	}
}

// ResetWorker resets all connections to a worker.
func (f *Fleet) ResetWorker(number int) { f.workers[number].signal(syscall.SIGUSR2) }
