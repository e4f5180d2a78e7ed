package soak

import (
	"syscall"
	"time"

	"kitefall/internal/channel"
	"kitefall/internal/wallstep"
)

// addressDownTime is how long nothing listens at a worker's address between its last process and the next one.
const addressDownTime = 600 * time.Millisecond

// countFault counts an injected fault of a kind.
func (f *Fleet) countFault(kind FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[string(kind)]++
}

// Reload makes a dispatcher poll the endpoint list at the next address, by a changed configuration and SIGHUP.
func (f *Fleet) Reload(number int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	if channel.IsClosed(d.exited) {
		return nil
	}
	d.discoveryIndex = (d.discoveryIndex + 1) % discoveryAddrCount
	response, _ := f.endpoints.currentList(number)
	if err := f.writeConfig(number, response); err != nil {
		return err
	}
	return d.cmd.Process.Signal(syscall.SIGHUP)
}

// terminateDispatcher sends SIGTERM to a dispatcher. Clients open new connections for connectAfterTerm and use the open ones until
// the process ends.
func (f *Fleet) terminateDispatcher(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	if channel.IsClosed(d.exited) {
		return
	}
	if run := &d.runs[len(d.runs)-1]; run.Terminated == 0 { // a second SIGTERM changes nothing
		run.Terminated = Now()
		d.connectUntil = Now() + connectAfterTerm
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
}

// awaitExit waits until a dispatcher that was sent SIGTERM has ended, and kills it once killDelay has passed since the
// SIGTERM.
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

// killDispatcher sends SIGKILL to a dispatcher and waits until it has ended.
func (f *Fleet) killDispatcher(number int) {
	f.mu.Lock()
	d := f.dispatchers[number]
	exited := d.exited
	if !channel.IsClosed(exited) {
		d.runs[len(d.runs)-1].Killed = Now()
		d.connectUntil = 1 // in the past: clients open no connections
		d.cmd.Process.Kill()
	}
	f.mu.Unlock()
	<-exited
}

// RestartDispatcher ends a dispatcher, by SIGTERM if graceful and else by SIGKILL, starts it again, and applies the
// steps to the wall clock of the new process.
func (f *Fleet) RestartDispatcher(number int, graceful bool, steps []wallstep.Step) error {
	if graceful {
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

// RestartDispatcherWithFirstList kills a dispatcher and starts it again with the first endpoint list, without later changes.
func (f *Fleet) RestartDispatcherWithFirstList(number int) error {
	f.killDispatcher(number)
	if err := f.startDispatcherWithList(number, nil, f.endpoints.firstList(number)); err != nil {
		return err
	}
	return f.awaitDispatcher(number)
}

// CrashWorker kills a worker and starts it again, cold, after downFor. The endpoint list then announces its new start.
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

// DrainWorker makes a worker drain: the endpoint list announces it, and the worker rejects new calls once the grace and
// acceptAfterGrace have passed.
func (f *Fleet) DrainWorker(number int) {
	f.endpoints.add(f.workers[number], stateLeaving, 0)
	f.workers[number].signal(drainSignal)
}

// RemoveWorker kills a worker's process and announces in the endpoint list that the worker has left.
func (f *Fleet) RemoveWorker(number int) {
	f.workers[number].kill()
	f.endpoints.add(f.workers[number], stateLeft, 0)
}

// ReturnWorker starts a worker that has no process, cold, and announces it in the endpoint list.
func (f *Fleet) ReturnWorker(number int) error {
	if err := f.workers[number].start(); err != nil {
		return err
	}
	f.endpoints.add(f.workers[number], stateActive, time.Now().UnixMilli())
	return nil
}

// ReplaceWorker drains a worker, starts a spare at once, and removes the drained worker after drainFor.
func (f *Fleet) ReplaceWorker(number, spare int, drainFor time.Duration) error {
	f.DrainWorker(number)
	if err := f.ReturnWorker(spare); err != nil {
		return err
	}
	time.Sleep(drainFor)
	f.RemoveWorker(number)
	return nil
}

// DrainAndRestartWorker drains a worker, removes it after drainFor, and starts it again, cold, addressDownTime later.
func (f *Fleet) DrainAndRestartWorker(number int, drainFor time.Duration) error {
	f.DrainWorker(number)
	time.Sleep(drainFor)
	f.RemoveWorker(number)
	time.Sleep(addressDownTime)
	return f.ReturnWorker(number)
}

// ReplaceWorkerAtSameAddress drains a worker, removes it after drainFor, and starts a spare at its address addressDownTime
// later.
func (f *Fleet) ReplaceWorkerAtSameAddress(number, spare int, drainFor time.Duration) error {
	f.DrainWorker(number)
	time.Sleep(drainFor)
	f.RemoveWorker(number)
	time.Sleep(addressDownTime)
	f.workers[spare].copyAddresses(f.workers[number])
	return f.ReturnWorker(spare)
}

// HangWorker makes a worker hang for a time: it reads requests but runs and answers none, and its connections stay open.
func (f *Fleet) HangWorker(number int, length time.Duration) {
	w := f.workers[number]
	w.signal(syscall.SIGHUP)
	time.Sleep(length)
	w.signal(syscall.SIGHUP)
}

// FreezeWorker stops a worker's process for a time (SIGSTOP). The process reads nothing meanwhile, so the arrival times of the
// data that it reads afterwards are unknown.
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

// UnloadAllFunctions unloads all functions at all workers, as a new release of every function does.
func (f *Fleet) UnloadAllFunctions() {
	for _, w := range f.workers {
		w.signal(syscall.SIGUSR1)
	}
}

// ResetWorkerConnections resets all connections to a worker.
func (f *Fleet) ResetWorkerConnections(number int) { f.workers[number].signal(syscall.SIGUSR2) }
