package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"kitefall/internal/wallstep"
)

// StepKind is a signal or an operators' call.
type StepKind string

// The kinds of steps.
const (
	StepReload    StepKind = "SIGHUP"
	StepTerminate StepKind = "SIGTERM"
	StepEvacuate  StepKind = "evacuate"
	StepRejoin    StepKind = "rejoin"
)

// maxStepPause is the longest time between two steps of a series.
const maxStepPause = 300 * time.Millisecond

// Step is one of a series of signals and calls.
type Step struct {
	Kind  StepKind
	Pause time.Duration // before it
}

// randomSeries draws steps in any order. SIGTERM is among them, perhaps twice, and once more at the end.
func randomSeries(random *rand.Rand) []Step {
	kinds := []StepKind{StepReload, StepTerminate, StepEvacuate, StepRejoin, StepEvacuate}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = append(kinds[:1+random.IntN(len(kinds))], StepTerminate)
	var series []Step
	for _, kind := range kinds {
		series = append(series, Step{Kind: kind, Pause: time.Duration(random.Float64() * float64(maxStepPause))})
	}
	return series
}

// SeriesAtDispatcher plays a series, which has to end the process, and starts the dispatcher again.
func (f *Fleet) SeriesAtDispatcher(number int, series []Step, clock []wallstep.Step) error {
	for _, step := range series {
		time.Sleep(step.Pause)
		if err := f.takeStep(number, step.Kind); err != nil {
			return err
		}
	}
	f.awaitExit(number)
	if err := f.startDispatcher(number, clock); err != nil {
		return err
	}
	return f.awaitDispatcher(number)
}

// takeStep carries out a step. What the process answers to operators is not looked at, as it may end meanwhile.
func (f *Fleet) takeStep(number int, kind StepKind) error {
	switch kind {
	case StepReload:
		return f.Reload(number)
	case StepTerminate:
		f.terminateDispatcher(number)
	case StepEvacuate:
		f.callOperators(number, http.MethodPut, pathEvacuate)
		f.limitAccepting(number, Now()+readyAskInterval+acceptAfterNo)
	case StepRejoin:
		f.callOperators(number, http.MethodPut, pathRejoin)
		f.limitAccepting(number, 0)
	}
	return nil
}

// limitAccepting sets until when clients make new connections, 0: for ever, to a process that was not told to end.
func (f *Fleet) limitAccepting(number int, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	if d.runs[len(d.runs)-1].Terminated == 0 {
		d.acceptUntil = until
	}
}
