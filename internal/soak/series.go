package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"kitefall/internal/wallstep"
)

// StepKind is the kind of a step: a signal or an operators' call to a dispatcher.
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

// Step is one signal or operators' call of a series.
type Step struct {
	Kind  StepKind
	Pause time.Duration // before the step
}

// randomSeries draws a series of two to six steps in random order. The last step is SIGTERM; one more SIGTERM may come before.
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

// RunSeries runs a series at a dispatcher, waits for the end of its process, and starts the dispatcher again. It applies the
// steps in clock to the wall clock of the new process. The series must contain SIGTERM.
func (f *Fleet) RunSeries(number int, series []Step, clock []wallstep.Step) error {
	for _, step := range series {
		time.Sleep(step.Pause)
		if err := f.runStep(number, step.Kind); err != nil {
			return err
		}
	}
	f.awaitExit(number)
	if err := f.startDispatcher(number, clock); err != nil {
		return err
	}
	return f.awaitDispatcher(number)
}

// runStep carries out one step. It ignores the answers to operators' calls, as the process may end during them.
func (f *Fleet) runStep(number int, kind StepKind) error {
	switch kind {
	case StepReload:
		return f.Reload(number)
	case StepTerminate:
		f.terminateDispatcher(number)
	case StepEvacuate:
		f.callOperators(number, http.MethodPut, pathEvacuate)
		f.setConnectUntilUnlessTerminated(number, Now()+readyPollInterval+connectAfterNotReady)
	case StepRejoin:
		f.callOperators(number, http.MethodPut, pathRejoin)
		f.setConnectUntilUnlessTerminated(number, 0)
	}
	return nil
}

// setConnectUntilUnlessTerminated sets when clients stop opening connections to a dispatcher; 0: never. It changes nothing once
// the dispatcher's current process has got SIGTERM.
func (f *Fleet) setConnectUntilUnlessTerminated(number int, until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	if d.runs[len(d.runs)-1].Terminated == 0 {
		d.connectUntil = until
	}
}
