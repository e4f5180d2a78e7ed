package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// calm has a dispatcher of a large fleet see calls answered by all its workers, a few each, and returns the fleet.
func newLargeFleet(t *testing.T, workers int) *testFleet {
	s := testSettings()
	s.Dispatchers, s.Zones = 80, []string{"z0", "z1", "z2"}
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	f := newFleet(t, s, 1)
	var list []Worker
	for i := range workers {
		list = append(list, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: fmt.Sprintf("z%d", i%3), Weight: 1})
	}
	f.update(ScopeFull, list...)
	for i := range 3 * workers {
		f.advance(f.now + 50*ms)
		f.endAttempt(f.request("safe", fmt.Sprintf("fn%d", i), time.Second), OK, 50*ms)
	}
	return f
}

// answer ends the latest attempt of a request after a time.
func (f *testFleet) endAttempt(id RequestID, s Status, after time.Duration) {
	f.advance(f.now + after)
	f.endAttemptNow(id, len(f.open[id].sends)-1, s)
}

func (f *testFleet) firstWorker(id RequestID) WorkerID {
	require.NotEmpty(f.t, f.open[id].sends, "request %d is held", id)
	return f.open[id].sends[0].worker
}

// homeOf finds a function that no call has named yet, at home with a worker that suits.
func (f *testFleet) functionAt(suits func(*worker) bool) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("new%d", i)
		home := f.b.rendezvousOrder(&function{id: FunctionID(name), rendezvousEpoch: -1, groupSize: 1})
		if suits(home[0]) && f.b.functions[FunctionID(name)] == nil {
			return name
		}
	}
}

func isWorker(id WorkerID) func(*worker) bool { return func(w *worker) bool { return w.ID == id } }

// Guards against workers that fail four calls in five, found out by each of 80 dispatchers from a call a second: a mean
// over ten calls never told. One failure must do where calls are few, and a call that may not be repeated waits longest.
func TestOneFailureInFewCallsIsEnough(t *testing.T) {
	f := newLargeFleet(t, 40)
	name := f.functionAt(func(w *worker) bool { return w.class("safe").lastOK > 0 })
	first := f.request("safe", name, time.Second)
	bad := f.firstWorker(first)
	f.endAttempt(first, OK, 5*ms)
	f.endAttempt(f.request("safe", name, time.Second), Failed, 5*ms)
	f.advance(f.now + 1500*ms)
	require.NotEqual(t, bad, f.firstWorker(f.request("unsafe", f.functionAt(isWorker(bad)), time.Second)))
	require.NotEqual(t, bad, f.firstWorker(f.request("safe", f.functionAt(isWorker(bad)), time.Second)))
	f.advance(f.now + 10*time.Second)
	require.Equal(t, bad, f.firstWorker(f.request("safe", f.functionAt(isWorker(bad)), time.Second)), "no second chance")
}

// Chance brings one failure in a hundred calls to any worker: where calls are many, that leaves none out.
func TestOneFailureInManyCallsIsChance(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for range 100 {
		f.serve("safe", "fn")
	}
	f.endAttempt(f.request("safe", "fn", time.Second), Failed, 5*ms)
	w := f.b.workers["w00"]
	require.Less(t, w.class("safe").failureScore, f.b.failureScoreLimit())
	require.Less(t, w.class("unsafe").failureScore, notIdempotentLimit*f.b.failureScoreLimit())
}

// Guards against errors that count against nobody: in a large fleet nearly each function is new to a dispatcher. Once
// another worker answers for it, the first one is to blame.
func TestErrorsForANewFunctionAreTheWorkersOnceAnotherAnswers(t *testing.T) {
	f := newLargeFleet(t, 40)
	id := f.request("safe", "fresh", time.Second)
	bad := f.b.workers[f.firstWorker(id)]
	f.endAttempt(id, Failed, 5*ms)
	require.Zero(t, bad.class("safe").failureScore)
	f.endAttempt(id, OK, 5*ms)
	require.Greater(t, bad.class("safe").failureScore, f.b.failureScoreLimit())
}

// Guards against a lost room, found out worker by worker: each of 80 dispatchers lost a call at each of 14 workers. Three
// calls to three workers of one zone without any word from it are enough.
func TestAZoneThatKeepsSilentIsLeftAsAWhole(t *testing.T) {
	f := newLargeFleet(t, 40)
	inZone := func(w *worker) bool { return w.Zone == "z1" }
	lost := map[WorkerID]bool{}
	for len(lost) < 3 {
		f.advance(f.now + 20*ms)
		name := f.functionAt(func(w *worker) bool { return inZone(w) && !lost[w.ID] })
		lost[f.firstWorker(f.request("unsafe", name, time.Second))] = true
	}
	f.advance(f.now + 200*ms)
	for range 5 {
		w := f.b.workers[f.firstWorker(f.request("unsafe", f.functionAt(inZone), time.Second))]
		require.NotEqual(t, "z1", w.Zone, "sent to %s, which nobody has heard from", w.ID)
	}
	for id := range lost { // one word from any of them, and the zone is back
		f.b.markHealthy(f.b.workers[id])
		break
	}
	w := f.b.workers[f.firstWorker(f.request("unsafe", f.functionAt(func(w *worker) bool { return inZone(w) && !lost[w.ID] }), time.Second))]
	require.Equal(t, "z1", w.Zone)
}

// Guards against homes that other dispatchers' calls have filled: own calls to them are few, but each took many times
// what its work tells. What is at home there goes onward meanwhile.
func TestASlowHomeIsPassedOver(t *testing.T) {
	f := newLargeFleet(t, 40)
	name := f.functionAt(func(w *worker) bool { return true })
	first := f.request("safe", name, time.Second)
	home := f.firstWorker(first)
	f.endAttempt(first, OK, 500*ms)
	require.NotEqual(t, home, f.firstWorker(f.request("safe", f.functionAt(isWorker(home)), time.Second)))
	f.advance(f.now + 15*time.Second)
	require.Equal(t, home, f.firstWorker(f.request("safe", f.functionAt(isWorker(home)), time.Second)), "it is left out for good")
}

// The same before any answer: a call that is overdue tells as much.
func TestAnOverdueCallTellsOfASlowHome(t *testing.T) {
	f := newLargeFleet(t, 40)
	home := f.firstWorker(f.request("unsafe", f.functionAt(func(w *worker) bool { return true }), 3*time.Second))
	f.advance(f.now + 300*ms)
	require.NotEqual(t, home, f.firstWorker(f.request("safe", f.functionAt(isWorker(home)), time.Second)))
}
