package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kitefall/internal/wallstep"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultWallStep      FaultKind = "wall-step"
	FaultReload        FaultKind = "reload"
	FaultTerminate     FaultKind = "terminate"
	FaultKill          FaultKind = "kill"
	FaultCrashWorker   FaultKind = "crash-worker"
	FaultReplaceWorker FaultKind = "replace-worker"
	FaultHangWorker    FaultKind = "hang-worker"
	FaultFreezeWorker  FaultKind = "freeze-worker"
	FaultFlush         FaultKind = "flush"
	FaultReset         FaultKind = "reset"
	FaultHangDiscovery FaultKind = "hang-discovery"
	FaultNewFunctions  FaultKind = "new-functions"
	FaultBurst         FaultKind = "burst"
	FaultEvacuate      FaultKind = "evacuate" // operators send the clients away, and have them taken again
	FaultSeries        FaultKind = "series"   // signals and operators' calls close together, which end with SIGTERM
	FaultCrowd         FaultKind = "crowd"    // connections that never finish a request
)

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration // since the start of the load
	Kind   FaultKind
	Target int             // the dispatcher or worker
	Length time.Duration   // how long it lasts
	Series []Step          // of a FaultSeries
	Steps  []wallstep.Step // of the wall clock of a restarted dispatcher
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1f %s %d %s", f.At.Seconds(), f.Kind, f.Target, f.Length)
}

// Plan is the faults of a run, by time.
type Plan struct {
	Seed        uint64
	Dispatchers int
	Workers     int // processes
	Members     int // workers that each of them stands for
	Limits      Limits
	Deadline    time.Duration
	Length      time.Duration
	Load        Load
	Steps       [][]wallstep.Step // of the dispatchers' wall clocks
	Faults      []Fault
}

// The sizes of a random fleet, and its load.
const (
	minDispatchers = 3
	maxDispatchers = 12
	minWorkers     = 7
	maxWorkers     = 20
	maxSpares      = 4
	loadOfCapacity = 0.5   // requests, as a part of what the workers can do
	maxTotalRate   = 400.0 // ... and so many a second at most, over all dispatchers
	largeRate      = 40.0  // requests a second of a dispatcher in a large fleet
	burstFactor    = 3
	// replacementDrain is how long a worker that is replaced drains.
	replacementDrain = 2 * time.Second
)

// Two of five seeds have a large fleet: few dispatchers with tight limits, and thousands of workers.
const (
	largeSeedPeriod = 5
	largeSeeds      = 2
)

// RandomPlan draws a plan from a seed. Faults overlap: each lasts up to seconds, and there are several in each second.
func RandomPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	deadlines := []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 5 * time.Second}
	plan := Plan{
		Seed:        seed,
		Dispatchers: minDispatchers + random.IntN(maxDispatchers-minDispatchers+1),
		Workers:     minWorkers + random.IntN(maxWorkers-minWorkers+1),
		Members:     1,
		Limits:      DefaultLimits(),
		Deadline:    deadlines[random.IntN(len(deadlines))],
		Length:      length,
	}
	totalRate := min(loadOfCapacity*float64(plan.Workers)*DefaultRules().WorkerRate, maxTotalRate)
	if seed%largeSeedPeriod < largeSeeds {
		plan.enlarge(random)
		totalRate = largeRate * float64(plan.Dispatchers)
	}
	plan.Load = Load{
		Rate:        totalRate / float64(plan.Dispatchers),
		Functions:   20 + random.IntN(60),
		MinWait:     plan.Deadline / 5,
		MaxWait:     plan.Deadline,
		CancelShare: 0.05,
		CloseShare:  0.02,
		FreshShare:  []float64{0, 0.1, 1}[random.IntN(3)],
		PieceShare:  0.3,
	}
	for range plan.Dispatchers {
		plan.Steps = append(plan.Steps, randomSteps(random, length))
	}
	kinds := []FaultKind{FaultReload, FaultReload, FaultTerminate, FaultKill, FaultCrashWorker, FaultReplaceWorker,
		FaultHangWorker, FaultFreezeWorker, FaultFlush, FaultReset, FaultReset, FaultHangDiscovery, FaultNewFunctions, FaultBurst, FaultCrashWorker, FaultBurst,
		FaultEvacuate, FaultEvacuate, FaultSeries, FaultSeries, FaultCrowd}
	for range int(length.Seconds() * (1.5 + 2*random.Float64())) {
		plan.Faults = append(plan.Faults, randomFault(random, kinds, plan))
	}
	slices.SortFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// enlarge makes the fleet a large one.
func (p *Plan) enlarge(random *rand.Rand) {
	totals := []int{300, 1000, 1000, 2000, 3200}
	p.Dispatchers = 2 + random.IntN(3)
	p.Workers = 4 + random.IntN(4)
	p.Members = totals[random.IntN(len(totals))] / p.Workers
	p.Limits = Limits{Cores: 0.4, MemoryMB: 64, Sockets: []int{192, 384}[random.IntN(2)]}
}

// randomSteps draws steps of a wall clock, from a second to some hours, some of them at the start of the process.
func randomSteps(random *rand.Rand, length time.Duration) []wallstep.Step {
	sizes := []time.Duration{time.Second, 3 * time.Second, 20 * time.Second, 400 * time.Second, time.Hour, 5 * time.Hour}
	var steps []wallstep.Step
	for range random.IntN(5) {
		step := wallstep.Step{At: time.Duration(random.Float64() * float64(length)), By: sizes[random.IntN(len(sizes))]}
		if random.IntN(2) == 0 {
			step.By = -step.By
		}
		if random.IntN(5) == 0 {
			step.At = 0
		}
		steps = append(steps, step)
	}
	return steps
}

func randomFault(random *rand.Rand, kinds []FaultKind, plan Plan) Fault {
	fault := Fault{
		At:     time.Duration(random.Float64() * float64(plan.Length)),
		Kind:   kinds[random.IntN(len(kinds))],
		Length: time.Duration((0.2 + 2.8*random.Float64()) * float64(time.Second)),
	}
	switch fault.Kind {
	case FaultReload, FaultTerminate, FaultKill, FaultEvacuate, FaultSeries, FaultCrowd:
		fault.Target = random.IntN(plan.Dispatchers)
		fault.Steps = randomSteps(random, plan.Length)
		fault.Series = randomSeries(random)
	default:
		fault.Target = random.IntN(plan.Workers)
	}
	return fault
}

// Run plays a plan with a dispatcher's program, with records and logs in a folder.
func Run(program, folder string, plan Plan) (*History, error) {
	config := Config{Program: program, Folder: folder, Dispatchers: plan.Dispatchers, Workers: plan.Workers,
		Members: plan.Members, Limits: plan.Limits, Deadline: plan.Deadline, Spares: maxSpares, Seed: plan.Seed, Rules: DefaultRules(), Worker: DefaultWorker(), Steps: plan.Steps}
	config.Worker.ErrorRate = 0.01
	f, err := Start(config)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, steps := range plan.Steps {
		for range steps {
			f.count(FaultWallStep)
		}
	}
	f.StartClients(plan.Load)
	player := &player{fleet: f, plan: plan, busy: map[string]bool{}, nextSpare: plan.Workers}
	if err := player.play(); err != nil {
		return nil, err
	}
	return f.Finish()
}

// player injects the faults of a plan.
type player struct {
	fleet      *Fleet
	plan       Plan
	background sync.WaitGroup

	mu        sync.Mutex
	busy      map[string]bool // processes that a fault is at work on
	nextSpare int
	firstErr  error
}

// play injects each fault at its time, and returns once all have ended.
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

// take reserves a process for a fault, and reports whether no other one is at work on it.
func (p *player) take(process string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[process] {
		return false
	}
	p.busy[process] = true
	return true
}

// takeSpare returns the number of a worker to replace another by, and whether there is one left.
func (p *player) takeSpare() (number int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextSpare >= p.plan.Workers+maxSpares {
		return 0, false
	}
	p.nextSpare++
	return p.nextSpare - 1, true
}

func (p *player) release(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, process)
}

// inject carries out a fault, unless another is at work on its target.
func (p *player) inject(fault Fault) {
	f := p.fleet
	switch fault.Kind {
	case FaultReload, FaultTerminate, FaultKill, FaultEvacuate, FaultSeries:
		process := fmt.Sprint("dispatcher ", fault.Target)
		if !p.take(process) {
			return
		}
		defer p.release(process)
		p.injectDispatcher(fault)
	case FaultCrashWorker, FaultHangWorker, FaultFreezeWorker, FaultReset:
		process := fmt.Sprint("worker ", fault.Target)
		if !p.take(process) {
			return
		}
		defer p.release(process)
		p.injectWorker(fault)
	case FaultReplaceWorker:
		if !p.replaceWorker(fault) {
			return
		}
	case FaultFlush:
		f.FlushWorkers()
	case FaultHangDiscovery:
		f.HangDiscovery(fault.Length)
	case FaultCrowd:
		f.CrowdDispatcher(fault.Target, fault.Length)
	case FaultNewFunctions:
		load := p.plan.Load
		load.FirstFunction = int(fault.At / time.Millisecond)
		f.SetLoad(load)
	case FaultBurst:
		load := p.plan.Load
		load.Rate *= burstFactor
		f.SetLoad(load)
		time.Sleep(fault.Length)
		f.SetLoad(p.plan.Load)
	}
	f.count(fault.Kind)
}

func (p *player) injectDispatcher(fault Fault) {
	var err error
	switch fault.Kind {
	case FaultReload:
		err = p.fleet.Reload(fault.Target)
	case FaultTerminate:
		err = p.fleet.RestartDispatcher(fault.Target, true, fault.Steps)
	case FaultKill:
		err = p.fleet.RestartDispatcher(fault.Target, false, fault.Steps)
	case FaultEvacuate:
		p.fleet.EvacuateDispatcher(fault.Target, fault.Length/2)
	case FaultSeries:
		err = p.fleet.SeriesAtDispatcher(fault.Target, fault.Series, fault.Steps)
	}
	p.noteError(err)
}

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
		p.fleet.ResetWorker(fault.Target)
	}
	p.noteError(err)
}

// replaceWorker replaces a worker, which no later fault is at work on, and reports whether that was possible.
func (p *player) replaceWorker(fault Fault) bool {
	process := fmt.Sprint("worker ", fault.Target)
	if !p.take(process) {
		return false
	}
	spare, ok := p.takeSpare()
	if !ok {
		p.release(process)
		return false
	}
	p.noteError(p.fleet.ReplaceWorker(fault.Target, spare, replacementDrain))
	return true
}

func (p *player) noteError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && p.firstErr == nil {
		p.firstErr = err
	}
}
