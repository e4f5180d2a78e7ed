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
	FaultFlush         FaultKind = "flush"
	FaultReset         FaultKind = "reset"
	FaultOutage        FaultKind = "outage"        // discovery tells some dispatchers nothing
	FaultDrainWorker   FaultKind = "drain-worker"  // a worker drains, is gone, and returns cold
	FaultReuseAddress  FaultKind = "reuse-address" // a worker drains, is gone, and another one listens at its address
	FaultQuiet         FaultKind = "quiet"         // clients send nothing
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
	Share  float64         // of the dispatchers that a FaultOutage hits
	Length time.Duration   // how long it lasts
	Series []Step          // of a FaultSeries
	Outage OutageKind      // of a FaultOutage
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
	Grace       time.Duration // that a worker takes calls for once it drains
	WarmAfter   time.Duration
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

// One of three seeds has an outage of discovery that is longer than its news counts as told.
const (
	longSeedPeriod  = 3
	afterLongOutage = 3 * time.Second // the plan goes on for so long after it
)

// RandomPlan draws a plan from a seed. Faults overlap: each lasts up to seconds, and there are several in each second.
func RandomPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	deadlines := []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second,
		2500 * time.Millisecond, 5 * time.Second}
	graces := []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}
	warmths := []time.Duration{4 * time.Second, 16 * time.Second}
	plan := Plan{
		Seed:        seed,
		Dispatchers: minDispatchers + random.IntN(maxDispatchers-minDispatchers+1),
		Workers:     minWorkers + random.IntN(maxWorkers-minWorkers+1),
		Members:     1,
		Limits:      DefaultLimits(),
		Deadline:    deadlines[random.IntN(len(deadlines))],
		Grace:       graces[random.IntN(len(graces))],
		WarmAfter:   warmths[random.IntN(len(warmths))],
		Length:      length,
	}
	totalRate := min(loadOfCapacity*float64(plan.Workers)*DefaultRules().WorkerRate, maxTotalRate)
	if seed%largeSeedPeriod < largeSeeds {
		plan.enlarge(random)
		totalRate = largeRate * float64(plan.Dispatchers)
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
		PieceShare:  0.3,
	}
	for range plan.Dispatchers {
		plan.Steps = append(plan.Steps, randomSteps(random, plan.Length))
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

// addLongOutage lengthens the plan and has discovery tell nothing for longer than its news counts as told. Workers drain just
// after the outage has begun.
func (p *Plan) addLongOutage(random *rand.Rand) {
	outage := Fault{
		At:     time.Duration((1 + 2*random.Float64()) * float64(time.Second)),
		Kind:   FaultOutage,
		Outage: outageKinds[random.IntN(len(outageKinds))],
		Share:  outageShares[random.IntN(len(outageShares))],
		Length: drawLength(random, longestSpans[len(longestSpans)-1]),
	}
	p.Length = outage.At + outage.Length + afterLongOutage
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

// quietSpan is how long clients are quiet within a long outage.
var quietSpan = span{200 * time.Millisecond, 12 * time.Second}

// AddQuietTimes has clients be quiet for a time in each long outage of discovery. The times are drawn apart from the rest of the
// plan, which stays as its seed has it.
func (p *Plan) AddQuietTimes() {
	random := rand.New(rand.NewPCG(p.Seed, 2))
	for _, fault := range slices.Clone(p.Faults) {
		if fault.Kind != FaultOutage || fault.Length < longestSpans[len(longestSpans)-1].least {
			continue
		}
		begin := time.Duration(random.Float64() * float64(fault.Length) / 2)
		p.Faults = append(p.Faults, Fault{At: fault.At + begin, Kind: FaultQuiet, Length: drawLength(random, quietSpan)})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// span bounds a time that is drawn.
type span struct{ least, most time.Duration }

// longestSpans are how long outages last: shorter than what the pages count by (a poll, a grace, the 7 s after which a change
// counts as told), about as long, and longer.
var longestSpans = []span{
	{200 * time.Millisecond, 3 * time.Second},
	{3 * time.Second, 8 * time.Second},
	{9 * time.Second, 25 * time.Second},
}

// outageShares are the parts of the dispatchers that an outage hits; with 0 it is one.
var outageShares = []float64{0, 0.5, 1, 1}

func drawLength(random *rand.Rand, s span) time.Duration {
	return s.least + time.Duration(random.Float64()*float64(s.most-s.least))
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
	case FaultOutage:
		fault.Outage = outageKinds[random.IntN(len(outageKinds))]
		fault.Share = outageShares[random.IntN(len(outageShares))]
		fault.Length = drawLength(random, longestSpans[random.IntN(2)])
	case FaultDrainWorker, FaultReuseAddress:
		fault.Target = random.IntN(plan.Workers)
		fault.Length = drawLength(random, span{500 * time.Millisecond, 6 * time.Second})
	case FaultReload, FaultTerminate, FaultKill, FaultEvacuate, FaultSeries, FaultCrowd:
		fault.Target = random.IntN(plan.Dispatchers)
		fault.Steps = randomSteps(random, plan.Length)
		fault.Series = randomSeries(random)
	default:
		fault.Target = random.IntN(plan.Workers)
	}
	return fault
}
