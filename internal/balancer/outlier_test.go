package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilentWorkerIsEjected(t *testing.T) {
	s := testSettings()
	f := newFleet(t, s, 1)
	f.listWorkers(4)
	for range 10 {
		f.serve("safe", "fn")
	}
	primary := f.sent[0].Worker
	id := f.request("unsafe", "fn", 2*time.Second)
	silent := f.open[id].sends[0].worker
	f.advance(f.now + 700*ms)
	f.sentTo = map[WorkerID]int{}
	for range 5 {
		f.serve("unsafe", "fn")
	}
	if f.sentTo[silent] > 0 {
		t.Errorf("unsafe work still goes to %s, which is silent (primary %s)", silent, primary)
	}
}

// Guards against incident i2aae88: some workers never answered one class but were quick with the others, so that they
// were neither silent nor slow.
func TestWorkerFailingOneClassGetsNoneOfIt(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(3)
	primary := f.serve("safe", "fn")
	other := "other"
	for f.serve("unsafe", other) != primary {
		other += "!"
	}
	for range 6 {
		id := f.request("safe", "fn", time.Second)
		f.endLoads(OK)
		n := len(f.open[id].sends) - 1
		if f.open[id].sends[n].worker == primary {
			f.endAttempt(id, n, Failed)
		} else {
			f.endAttempt(id, n, OK)
		}
		f.serve("unsafe", other)
	}
	for range 6 { // hot by now, so each worker would have its turn
		id := f.request("safe", "fn", time.Second)
		f.endLoads(OK)
		if f.open[id].sends[0].worker == primary {
			t.Fatalf("still sent to %s", primary)
		}
		f.endAttempt(id, 0, OK)
	}
	if f.b.workers[primary].class("unsafe").failureScore > 0 {
		t.Error("another class is blamed too")
	}
}

// Guards against peers that break connections: one break ends every attempt on its connection. Counted for each
// request, one such break ejected a healthy worker for seconds.
func TestOneResetCountsOnce(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	primary := f.serve("unsafe", "fn")
	w := f.b.workers[primary]
	breaks := func() {
		f.advance(f.now + 50*ms)
		var open []RequestID
		for range 2 {
			open = append(open, f.request("unsafe", "fn", time.Second))
		}
		for _, id := range open {
			f.endAttempt(id, 0, Reset)
		}
	}
	breaks()
	if w.ejection.active || w.class("unsafe").failureScore > notIdempotentLimit*f.b.failureScoreLimit() {
		t.Errorf("excluded for one break: ejected %t, failure score %v", w.ejection.active, w.class("unsafe").failureScore)
	}
	breaks() // and it has not answered in between
	if !w.ejection.active {
		t.Error("not ejected, though it breaks every connection")
	}
}

// Guards against clients that cancel requests at once, by hundreds: no worker could have answered by then.
func TestEarlyCancelDoesNotEject(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(2)
	primary := f.serve("safe", "fn")
	f.advance(f.now + 50*ms)
	id := f.request("safe", "fn", time.Second)
	f.advance(f.now + ms)
	f.event(ClientGoneEvent{ID: id})
	f.endAttempt(id, 0, Cancelled)
	if f.b.workers[primary].ejection.active {
		t.Error("ejected after 1 ms of silence")
	}
}

// The same before any answer, as after a start: there is no mean answer time yet that the worker could be late against.
func TestCancelBeforeAnyAnswerDoesNotEject(t *testing.T) {
	for status, ejected := range map[Status]bool{Cancelled: false, TimedOut: true} {
		s := testSettings()
		s.LoadOrders = false
		f := newFleet(t, s, 1)
		f.now = time.Second
		f.listWorkers(1)
		id := f.request("unsafe", "fn", time.Second)
		f.advance(f.now + 20*ms)
		f.endAttempt(id, 0, status)
		if got := f.b.workers["w00"].ejection.active; got != ejected {
			t.Errorf("status %v: ejected %v", status, got)
		}
	}
}

// Guards against incident r256b92: some workers rejected every request of one class, whatever their load, and served
// the other. They were tried again every few milliseconds, and each time cost a request an attempt.
func TestClassIsEjectedFromWorkerThatRejectsIt(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	f.serve("unsafe", "other")
	f.serve("safe", "fn")
	rejections := 0
	for range 40 { // in two seconds
		id := f.request("safe", "fn", time.Minute)
		f.advance(f.now + 50*ms)
		if n := len(f.open[id].sends); n > 0 && f.open[id].sends[n-1].pending {
			f.endAttempt(id, n-1, Rejected)
			rejections++
		}
		f.event(ClientGoneEvent{ID: id})
	}
	if rejections > maxRejectedInARow+4 {
		t.Errorf("tried %d times in two seconds", rejections)
	}
	f.serve("unsafe", "other")           // the other class still goes there
	f.advance(f.now + maxProbeBackoff/4) // a probe comes
	id := f.request("safe", "fn", 3*time.Second)
	f.endLoads(OK)
	f.advance(f.now + 20*ms)
	if n := len(f.open[id].sends); n == 0 {
		t.Fatal("no probe")
	}
}

// Guards against workers that fail four requests in five, found out by each of 80 dispatchers from a request a second:
// one failure must do where requests are few, and a request that may not be repeated waits longest.
func TestOneFailureOfFewMakesAnOutlier(t *testing.T) {
	f := newLargeFleet(t, 40)
	name := f.functionAt(func(w *worker) bool { return w.class("safe").lastOK > 0 })
	first := f.request("safe", name, time.Second)
	bad := f.firstWorker(first)
	f.endLatestAttempt(first, OK, 5*ms)
	f.endLatestAttempt(f.request("safe", name, time.Second), Failed, 5*ms)
	f.advance(f.now + 1500*ms)
	require.NotEqual(t, bad, f.firstWorker(f.request("unsafe", f.functionAt(isWorker(bad)), time.Second)))
	require.NotEqual(t, bad, f.firstWorker(f.request("safe", f.functionAt(isWorker(bad)), time.Second)))
	f.advance(f.now + 10*time.Second)
	require.Equal(t, bad, f.firstWorker(f.request("safe", f.functionAt(isWorker(bad)), time.Second)), "no second chance")
}

// Chance brings one failure in a hundred requests to any worker: where requests are many, that ejects none.
func TestOneFailureOfManyMakesNoOutlier(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for range 100 {
		f.serve("safe", "fn")
	}
	f.endLatestAttempt(f.request("safe", "fn", time.Second), Failed, 5*ms)
	w := f.b.workers["w00"]
	require.Less(t, w.class("safe").failureScore, f.b.failureScoreLimit())
	require.Less(t, w.class("unsafe").failureScore, notIdempotentLimit*f.b.failureScoreLimit())
}

// Guards against errors that count against nobody: in a large fleet nearly each function is new to a dispatcher. Once
// another worker answers for it, the error is the first one's.
func TestErrorsOfNewFunctionCountOnceAnotherWorkerAnswers(t *testing.T) {
	f := newLargeFleet(t, 40)
	id := f.request("safe", "fresh", time.Second)
	bad := f.b.workers[f.firstWorker(id)]
	f.endLatestAttempt(id, Failed, 5*ms)
	require.Zero(t, bad.class("safe").failureScore)
	f.endLatestAttempt(id, OK, 5*ms)
	require.Greater(t, bad.class("safe").failureScore, f.b.failureScoreLimit())
}

// Guards against primary workers that other dispatchers' requests have filled: own requests to them are few, but each
// took many times what its work tells. Their functions go onward meanwhile.
func TestSlowPrimaryWorkerIsPassedOver(t *testing.T) {
	f := newLargeFleet(t, 40)
	name := f.functionAt(func(w *worker) bool { return true })
	first := f.request("safe", name, time.Second)
	primary := f.firstWorker(first)
	f.endLatestAttempt(first, OK, 500*ms)
	require.NotEqual(t, primary, f.firstWorker(f.request("safe", f.functionAt(isWorker(primary)), time.Second)))
	f.advance(f.now + 15*time.Second)
	again := f.firstWorker(f.request("safe", f.functionAt(isWorker(primary)), time.Second))
	require.Equal(t, primary, again, "it is passed over for good")
}

// The same before any answer: an overdue attempt tells as much.
func TestOverdueAttemptMarksPrimaryWorkerSlow(t *testing.T) {
	f := newLargeFleet(t, 40)
	primary := f.firstWorker(f.request("unsafe", f.functionAt(func(w *worker) bool { return true }), 3*time.Second))
	f.advance(f.now + 300*ms)
	require.NotEqual(t, primary, f.firstWorker(f.request("safe", f.functionAt(isWorker(primary)), time.Second)))
}
