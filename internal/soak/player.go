package soak

import (
	"fmt"
	"sync"
	"time"
)

// Run starts a fleet whose dispatchers run program, injects the faults of a plan, and returns what was recorded. Records, logs and
// configurations are written to folder.
func Run(program, folder string, plan Plan) (*History, error) {
	config := Config{
		Program:           program,
		Folder:            folder,
		Dispatchers:       plan.Dispatchers,
		Workers:           plan.Workers,
		WorkersPerProcess: plan.WorkersPerProcess,
		Limits:            plan.Limits,
		Deadline:          plan.Deadline,
		Spares:            maxSpares,
		Seed:              plan.Seed,
		Rules:             DefaultRules(),
		Worker:            DefaultWorker(),
		WallClockSteps:    plan.WallClockSteps,
	}
	config.Rules.DrainGrace = plan.DrainGrace
	config.Rules.WarmUpTime = plan.WarmUpTime
	config.Worker.ErrorRate = 0.01
	f, err := Start(config)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, steps := range plan.WallClockSteps {
		for range steps {
			f.countFault(FaultWallStep)
		}
	}
	f.StartClients(plan.Load)
	player := &player{fleet: f, plan: plan, reserved: map[string]bool{}, nextSpare: plan.Workers}
	if err := player.play(); err != nil {
		return nil, err
	}
	return f.Finish()
}

// player injects the faults of a plan into a fleet.
type player struct {
	fleet      *Fleet
	plan       Plan
	background sync.WaitGroup

	mu        sync.Mutex
	reserved  map[string]bool // targets of faults under way, and worker processes that were replaced
	nextSpare int             // number of the next spare worker process
	firstErr  error           // of the first fault that failed
}

// play injects each fault at its time. It returns once the plan's length has passed and all faults have ended, with the first
// error of a fault.
func (p *player) play() error {
	begin := Now()
	for _, fault := range p.plan.Faults {
		time.Sleep(fault.At - (Now() - begin))
		p.background.Go(func() { p.inject(fault) })
	}
	time.Sleep(p.plan.Length - (Now() - begin))
	p.background.Wait()
	return p.firstErr
}

// reserve reserves a process for a fault. It returns false if another fault has reserved the process.
func (p *player) reserve(process string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[process] {
		return false
	}
	p.reserved[process] = true
	return true
}

// reserveSpare reserves a spare worker process and returns its number; ok is false if none is left.
func (p *player) reserveSpare() (number int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextSpare >= p.plan.Workers+maxSpares {
		return 0, false
	}
	p.nextSpare++
	return p.nextSpare - 1, true
}

// release ends the reservation of a process.
func (p *player) release(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reserved, process)
}

// inject carries out and counts a fault. It does neither if another fault has reserved the target, or if no spare worker process
// is left for a replacement.
func (p *player) inject(fault Fault) {
	f := p.fleet
	switch fault.Kind {
	case FaultReload, FaultTerminate, FaultKill, FaultEvacuate, FaultSeries:
		process := fmt.Sprint("dispatcher ", fault.Target)
		if !p.reserve(process) {
			return
		}
		defer p.release(process)
		p.injectDispatcher(fault)
	case FaultCrashWorker, FaultHangWorker, FaultFreezeWorker, FaultReset, FaultDrainWorker:
		process := fmt.Sprint("worker ", fault.Target)
		if !p.reserve(process) {
			return
		}
		defer p.release(process)
		p.injectWorker(fault)
	case FaultReplaceWorker, FaultReuseAddress:
		if !p.replaceWorker(fault) {
			return
		}
	case FaultFlush:
		f.UnloadAllFunctions()
	case FaultOutage:
		p.keepFirstError(f.BreakDiscovery(fault.Outage, p.outageTargets(fault), fault.Length))
	case FaultCrowd:
		f.HoldIncompleteRequests(fault.Target, fault.Length)
	case FaultFlood:
		f.FloodDispatcher(fault.Target, fault.Flood, fault.Length)
	case FaultNewFunctions:
		load := p.plan.Load
		load.FirstFunction = int(fault.At / time.Millisecond)
		f.SetLoad(load)
	case FaultQuiet:
		load := p.plan.Load
		load.Rate = 0
		f.SetLoad(load)
		time.Sleep(fault.Length)
		f.SetLoad(p.plan.Load)
	case FaultBurst:
		load := p.plan.Load
		load.Rate *= burstFactor
		f.SetLoad(load)
		time.Sleep(fault.Length)
		f.SetLoad(p.plan.Load)
	}
	f.countFault(fault.Kind)
}

// injectDispatcher carries out a fault at a dispatcher.
func (p *player) injectDispatcher(fault Fault) {
	var err error
	switch fault.Kind {
	case FaultReload:
		err = p.fleet.Reload(fault.Target)
	case FaultTerminate:
		err = p.fleet.RestartDispatcher(fault.Target, true, fault.WallClockSteps)
	case FaultKill:
		err = p.fleet.RestartDispatcher(fault.Target, false, fault.WallClockSteps)
	case FaultEvacuate:
		p.fleet.EvacuateDispatcher(fault.Target, fault.Length/2)
	case FaultSeries:
		err = p.fleet.RunSeries(fault.Target, fault.Series, fault.WallClockSteps)
	}
	p.keepFirstError(err)
}

// injectWorker carries out a fault at a worker process that keeps its place in the fleet.
func (p *player) injectWorker(fault Fault) {
	var err error
	switch fault.Kind {
	case FaultCrashWorker:
		err = p.fleet.CrashWorker(fault.Target, fault.Length)
	case FaultHangWorker:
		p.fleet.HangWorker(fault.Target, fault.Length)
	case FaultFreezeWorker:
		p.fleet.FreezeWorker(fault.Target, fault.Length)
	case FaultReset:
		p.fleet.ResetWorkerConnections(fault.Target)
	case FaultDrainWorker:
		err = p.fleet.DrainAndRestartWorker(fault.Target, fault.Length)
	}
	p.keepFirstError(err)
}

// replaceWorker replaces a worker process by a spare one. The replaced process stays reserved, as later faults must not start it
// again. It returns false if another fault has reserved the process or no spare is left.
func (p *player) replaceWorker(fault Fault) bool {
	process := fmt.Sprint("worker ", fault.Target)
	if !p.reserve(process) {
		return false
	}
	spare, ok := p.reserveSpare()
	if !ok {
		p.release(process)
		return false
	}
	if fault.Kind == FaultReuseAddress {
		p.keepFirstError(p.fleet.ReplaceWorkerAtSameAddress(fault.Target, spare, fault.Length))
	} else {
		p.keepFirstError(p.fleet.ReplaceWorker(fault.Target, spare, replacementDrain))
	}
	return true
}

// outageTargets returns the dispatchers that an outage affects: the fault's share of them, but at least one.
func (p *player) outageTargets(fault Fault) []int {
	all := p.fleet.allDispatchers()
	return all[:max(1, int(fault.OutageShare*float64(len(all))))]
}

// keepFirstError keeps the first error of a fault.
func (p *player) keepFirstError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && p.firstErr == nil {
		p.firstErr = err
	}
}
