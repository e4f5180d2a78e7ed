package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	FaultFlush         FaultKind = "flush"         // all workers unload all functions
	FaultReset         FaultKind = "reset"         // all connections to a worker are reset
	FaultOutage        FaultKind = "outage"        // some dispatchers have an outage of discovery
	FaultDrainWorker   FaultKind = "drain-worker"  // a worker drains, ends, and starts again cold
	FaultReuseAddress  FaultKind = "reuse-address" // a worker drains and ends, and another one starts at its address
	FaultQuiet         FaultKind = "quiet"         // clients send nothing
	FaultNewFunctions  FaultKind = "new-functions" // clients call another range of functions
	FaultBurst         FaultKind = "burst"         // clients send burstFactor times as much
	FaultEvacuate      FaultKind = "evacuate"      // operators make a dispatcher drain its connections, then take clients again
	FaultSeries        FaultKind = "series"        // signals and operators' calls in quick succession, with SIGTERM as the last
	FaultFlood         FaultKind = "flood"         // clients that send too much, see FloodKind
	FaultCrowd         FaultKind = "crowd"         // connections that never complete a request
)

// Fault is one fault of a plan.
type Fault struct {
	At             time.Duration // from the start of the load
	Kind           FaultKind
	Target         int             // number of the dispatcher or worker
	OutageShare    float64         // share of the dispatchers that a FaultOutage affects
	Length         time.Duration   // how long the fault lasts
	Series         []Step          // steps of a FaultSeries
	Outage         OutageKind      // kind of a FaultOutage
	Flood          FloodKind       // kind of a FaultFlood
	WallClockSteps []wallstep.Step // steps of the wall clock of a restarted dispatcher
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1f %s%s %d %s", f.At.Seconds(), f.Kind, f.Flood, f.Target, f.Length)
}

// Plan holds the fleet, the load and the faults of a run.
type Plan struct {
	Seed              uint64
	Dispatchers       int
	Workers           int // worker processes
	WorkersPerProcess int // workers in each process
	Limits            Limits
	Deadline          time.Duration
	DrainGrace        time.Duration // drain grace, see Rules
	WarmUpTime        time.Duration // from a worker's start until it is warm
	Length            time.Duration // from the start of the load until the end of the plan
	Load              Load
	WallClockSteps    [][]wallstep.Step // steps of the dispatchers' wall clocks
	Faults            []Fault           // by time
}

// Sizes of a random fleet, and its load.
const (
	minDispatchers = 3
	maxDispatchers = 12
	minWorkers     = 7
	maxWorkers     = 20
	maxSpares      = 4
	capacityShare  = 0.5   // request rate as a share of the workers' capacity
	maxTotalRate   = 400.0 // upper bound of the request rate, per second over all dispatchers
	largeFleetRate = 40.0  // requests per second to each dispatcher in a large fleet
	burstFactor    = 3     // load during a FaultBurst, as a multiple of the plan's load
	// replacementDrain is how long a worker drains in a FaultReplaceWorker.
	replacementDrain = 2 * time.Second
)

// Two of five seeds have a large fleet: few dispatchers with tight limits, and hundreds or thousands of workers.
const (
	largeSeedPeriod = 5
	largeSeeds      = 2
)

// One of three seeds has a long outage of discovery, one that lasts longer than notificationDeadline.
const (
	longSeedPeriod      = 3
	timeAfterLongOutage = 3 * time.Second // time that the plan continues after a long outage
)

// RandomPlan draws a plan from a seed. Faults overlap: 1.5 to 3.5 of them begin per second, and most last 0.2 to 3 s.
func RandomPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	deadlines := []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second,
		2500 * time.Millisecond, 5 * time.Second}
	drainGraces := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}
	warmUpTimes := []time.Duration{4 * time.Second, 16 * time.Second}
	plan := Plan{
		Seed:              seed,
		Dispatchers:       minDispatchers + random.IntN(maxDispatchers-minDispatchers+1),
		Workers:           minWorkers + random.IntN(maxWorkers-minWorkers+1),
		WorkersPerProcess: 1,
		Limits:            DefaultLimits(),
		Deadline:          deadlines[random.IntN(len(deadlines))],
		DrainGrace:        drainGraces[random.IntN(len(drainGraces))],
		WarmUpTime:        warmUpTimes[random.IntN(len(warmUpTimes))],
		Length:            length,
	}
	totalRate := min(capacityShare*float64(plan.Workers)*DefaultRules().WorkerRate, maxTotalRate)
	if seed%largeSeedPeriod < largeSeeds {
		plan.makeLarge(random)
		totalRate = largeFleetRate * float64(plan.Dispatchers)
	}
	if seed%longSeedPeriod == 0 {
		plan.addLongOutage(random)
	}
	plan.Load = Load{
		Rate:        totalRate / float64(plan.Dispatchers),
		Functions:   20 + random.IntN(60),
		MinWait:     plan.Deadline / 5,
		MaxWait:     plan.Deadline,
		CancelShare: 0.05,
		CloseShare:  0.02,
		FreshShare:  []float64{0, 0.1, 1}[random.IntN(3)],
		SplitShare:  0.3,
	}
	for range plan.Dispatchers {
		plan.WallClockSteps = append(plan.WallClockSteps, randomSteps(random, plan.Length))
	}
	kinds := []FaultKind{FaultReload, FaultReload, FaultTerminate, FaultKill, FaultCrashWorker, FaultReplaceWorker,
		FaultHangWorker, FaultFreezeWorker, FaultFlush, FaultReset, FaultReset, FaultOutage, FaultNewFunctions,
		FaultBurst, FaultCrashWorker, FaultBurst,
		FaultEvacuate, FaultEvacuate, FaultSeries, FaultSeries, FaultCrowd, FaultOutage, FaultDrainWorker, FaultDrainWorker,
		FaultReuseAddress, FaultQuiet}
	for range int(plan.Length.Seconds() * (1.5 + 2*random.Float64())) {
		plan.Faults = append(plan.Faults, randomFault(random, kinds, plan))
	}
	slices.SortFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// addLongOutage adds an outage of discovery that lasts longer than notificationDeadline, and sets the plan's length to fit it.
// Some workers begin to drain within 1.5 s of its start.
func (p *Plan) addLongOutage(random *rand.Rand) {
	outage := Fault{
		At:          time.Duration((1 + 2*random.Float64()) * float64(time.Second)),
		Kind:        FaultOutage,
		Outage:      outageKinds[random.IntN(len(outageKinds))],
		OutageShare: outageShares[random.IntN(len(outageShares))],
		Length:      randomLength(random, outageLengths[len(outageLengths)-1]),
	}
	p.Length = outage.At + outage.Length + timeAfterLongOutage
	p.Faults = append(p.Faults, outage)
	for range 1 + random.IntN(max(1, p.Workers/4)) {
		p.Faults = append(p.Faults, Fault{
			At:     outage.At + time.Duration(random.Float64()*float64(1500*time.Millisecond)),
			Kind:   FaultDrainWorker,
			Target: random.IntN(p.Workers),
			Length: outage.Length - time.Second,
		})
	}
}

// quietLengths bounds how long clients send nothing in a long outage.
var quietLengths = durationRange{200 * time.Millisecond, 12 * time.Second}

// AddQuietTimes adds to each long outage of discovery a time in which clients send nothing. It draws the times from a separate
// random stream, so that the rest of the plan does not change.
func (p *Plan) AddQuietTimes() {
	random := rand.New(rand.NewPCG(p.Seed, 2))
	for _, fault := range slices.Clone(p.Faults) {
		if fault.Kind != FaultOutage || fault.Length < outageLengths[len(outageLengths)-1].shortest {
			continue
		}
		begin := time.Duration(random.Float64() * float64(fault.Length) / 2)
		p.Faults = append(p.Faults, Fault{At: fault.At + begin, Kind: FaultQuiet, Length: randomLength(random, quietLengths)})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// durationRange bounds a random duration.
type durationRange struct{ shortest, longest time.Duration }

// outageLengths bounds how long outages last: shorter than the times that the protocol pages set (a poll, a grace, the 7 s after
// which a change counts as known), about as long as these times, and longer.
var outageLengths = []durationRange{
	{200 * time.Millisecond, 3 * time.Second},
	{3 * time.Second, 8 * time.Second},
	{9 * time.Second, 25 * time.Second},
}

// outageShares holds the shares of the dispatchers that an outage affects; a share of 0 affects one dispatcher.
var outageShares = []float64{0, 0.5, 1, 1}

func randomLength(random *rand.Rand, r durationRange) time.Duration {
	return r.shortest + time.Duration(random.Float64()*float64(r.longest-r.shortest))
}

// makeLarge replaces the sizes and limits of the plan's fleet by those of a large one.
func (p *Plan) makeLarge(random *rand.Rand) {
	workerTotals := []int{300, 1000, 1000, 2000, 3200}
	p.Dispatchers = 2 + random.IntN(3)
	p.Workers = 4 + random.IntN(4)
	p.WorkersPerProcess = workerTotals[random.IntN(len(workerTotals))] / p.Workers
	p.Limits = Limits{Cores: 0.4, MemoryMB: 64, Sockets: []int{192, 384}[random.IntN(2)]}
}

// randomSteps draws up to four steps of a wall clock, of 1 s to 5 h back or forward. About one in five is at the
// start of the process.
func randomSteps(random *rand.Rand, length time.Duration) []wallstep.Step {
	stepSizes := []time.Duration{time.Second, 3 * time.Second, 20 * time.Second, 400 * time.Second, time.Hour, 5 * time.Hour}
	var steps []wallstep.Step
	for range random.IntN(5) {
		step := wallstep.Step{At: time.Duration(random.Float64() * float64(length)), By: stepSizes[random.IntN(len(stepSizes))]}
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
	case FaultOutage:
		fault.Outage = outageKinds[random.IntN(len(outageKinds))]
		fault.OutageShare = outageShares[random.IntN(len(outageShares))]
		fault.Length = randomLength(random, outageLengths[random.IntN(2)])
	case FaultDrainWorker, FaultReuseAddress:
		fault.Target = random.IntN(plan.Workers)
		fault.Length = randomLength(random, durationRange{500 * time.Millisecond, 6 * time.Second})
	case FaultReload, FaultTerminate, FaultKill, FaultEvacuate, FaultSeries, FaultCrowd:
		fault.Target = random.IntN(plan.Dispatchers)
		fault.WallClockSteps = randomSteps(random, plan.Length)
		fault.Series = randomSeries(random)
	default:
		fault.Target = random.IntN(plan.Workers)
	}
	return fault
}
