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
	silentWorker := f.open[id].sends[0].worker
	f.advance(f.now + 700*ms)
	f.sentTo = map[WorkerID]int{}
	for range 5 {
		f.serve("unsafe", "fn")
	}
	if f.sentTo[silentWorker] > 0 {
		t.Errorf("requests of class unsafe still go to the silent worker %s (primary worker %s)", silentWorker, primary)
	}
}

// Guards against incident i2aae88: some workers never answered one class but answered the others quickly, so that they
// counted as neither silent nor slow.
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
	for range 6 { // the function is hot by now, so that its requests go to all workers in turn
		id := f.request("safe", "fn", time.Second)
		f.endLoads(OK)
		if f.open[id].sends[0].worker == primary {
			t.Fatalf("request still sent to %s, which fails its class", primary)
		}
		f.endAttempt(id, 0, OK)
	}
	if f.b.workers[primary].class("unsafe").failureScore > 0 {
		t.Error("failures of class safe count in class unsafe, which the worker answers")
	}
}

// Guards against a broken connection that counts more than once: one break ends every attempt on the connection.
// Counted for each attempt, a single break ejected a healthy worker for seconds.
func TestOneResetCountsOnce(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	primary := f.serve("unsafe", "fn")
	w := f.b.workers[primary]
	breakConnection := func() {
		f.advance(f.now + 50*ms)
		var ids []RequestID
		for range 2 {
			ids = append(ids, f.request("unsafe", "fn", time.Second))
		}
		for _, id := range ids {
			f.endAttempt(id, 0, Reset)
		}
	}
	breakConnection()
	if w.ejection.active || w.class("unsafe").failureScore > notIdempotentLimitRatio*f.b.failureScoreLimit() {
		t.Errorf("worker excluded after one broken connection: ejected %t, failure score %v",
			w.ejection.active, w.class("unsafe").failureScore)
	}
	breakConnection() // the worker has not answered in between
	if !w.ejection.active {
		t.Error("worker not ejected, though it breaks every connection")
	}
}

// Guards against ejections by clients that cancel hundreds of requests at once: no worker could have answered by then.
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
		t.Error("worker ejected after 1 ms without a sign of life")
	}
}

// Guards against ejections by early cancels before the first answer, as after the dispatcher's start: there is no mean
// answer time yet by which a worker could be overdue. A timed-out attempt still ejects the worker.
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
			t.Errorf("worker after an attempt of status %v: ejected %v", status, got)
		}
	}
}

// Guards against incident r256b92: some workers rejected every request of one class, whatever their load, and served
// the other class. The class was tried there again every few milliseconds, which cost a request an attempt each time.
func TestClassIsEjectedFromWorkerThatRejectsIt(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	f.serve("unsafe", "other")
	f.serve("safe", "fn")
	rejections := 0
	for range 40 { // 50 ms each, two seconds in all
		id := f.request("safe", "fn", time.Minute)
		f.advance(f.now + 50*ms)
		if n := len(f.open[id].sends); n > 0 && f.open[id].sends[n-1].pending {
			f.endAttempt(id, n-1, Rejected)
			rejections++
		}
		f.event(ClientGoneEvent{ID: id})
	}
	if rejections > maxConsecutiveRejections+4 {
		t.Errorf("the class was tried %d times in two seconds at a worker that rejects it", rejections)
	}
	f.serve("unsafe", "other")           // the other class is still sent to the worker
	f.advance(f.now + maxProbeBackoff/4) // a probe of the class is due
	id := f.request("safe", "fn", 3*time.Second)
	f.endLoads(OK)
	f.advance(f.now + 20*ms)
	if n := len(f.open[id].sends); n == 0 {
		t.Fatal("no probe of the ejected class")
	}
}

// Guards against late detection of workers that fail four requests in five, where each of 80 dispatchers sends a
// request a second: with few requests one failure must make an outlier. Requests that may not be repeated avoid the
// worker longest.
func TestOneFailureOfFewMakesAnOutlier(t *testing.T) {
	f := newLargeFleet(t, 40)
	name := f.functionAt(func(w *worker) bool { return w.class("safe").lastAnswerAt > 0 })
	first := f.request("safe", name, time.Second)
	failing := f.firstWorker(first)
	f.endLatestAttempt(first, OK, 5*ms)
	f.endLatestAttempt(f.request("safe", name, time.Second), Failed, 5*ms)
	f.advance(f.now + 1500*ms)
	require.NotEqual(t, failing, f.firstWorker(f.request("unsafe", f.functionAt(isWorker(failing)), time.Second)))
	require.NotEqual(t, failing, f.firstWorker(f.request("safe", f.functionAt(isWorker(failing)), time.Second)))
	f.advance(f.now + 10*time.Second)
	require.Equal(t, failing, f.firstWorker(f.request("safe", f.functionAt(isWorker(failing)), time.Second)),
		"the worker is not tried again after 10 s")
}

// Any worker may fail one request in a hundred by chance: where requests are many, one failure excludes no worker.
func TestOneFailureOfManyMakesNoOutlier(t *testing.T) {
	f := newFleet(t, testSettings(), 1)
	f.listWorkers(1)
	for range 100 {
		f.serve("safe", "fn")
	}
	f.endLatestAttempt(f.request("safe", "fn", time.Second), Failed, 5*ms)
	w := f.b.workers["w00"]
	require.Less(t, w.class("safe").failureScore, f.b.failureScoreLimit())
	require.Less(t, w.class("unsafe").failureScore, notIdempotentLimitRatio*f.b.failureScoreLimit())
}

// Guards against errors that count for no worker: in a large fleet almost every function is new to a dispatcher, so
// that its errors may be the function's fault. Once another worker answers, the error counts for the first worker.
func TestErrorsOfNewFunctionCountOnceAnotherWorkerAnswers(t *testing.T) {
	f := newLargeFleet(t, 40)
	id := f.request("safe", "fresh", time.Second)
	failing := f.b.workers[f.firstWorker(id)]
	f.endLatestAttempt(id, Failed, 5*ms)
	require.Zero(t, failing.class("safe").failureScore)
	f.endLatestAttempt(id, OK, 5*ms)
	require.Greater(t, failing.class("safe").failureScore, f.b.failureScoreLimit())
}

// Guards against requests to primary workers that other dispatchers' requests have filled: this dispatcher sends them
// few requests, but each took many times what its work estimate suggests. Other workers serve their functions meanwhile.
func TestSlowPrimaryWorkerIsPassedOver(t *testing.T) {
	f := newLargeFleet(t, 40)
	name := f.functionAt(func(w *worker) bool { return true })
	first := f.request("safe", name, time.Second)
	primary := f.firstWorker(first)
	f.endLatestAttempt(first, OK, 500*ms)
	require.NotEqual(t, primary, f.firstWorker(f.request("safe", f.functionAt(isWorker(primary)), time.Second)))
	f.advance(f.now + 15*time.Second)
	again := f.firstWorker(f.request("safe", f.functionAt(isWorker(primary)), time.Second))
	require.Equal(t, primary, again, "the primary worker is still passed over after 15 s")
}

// Before a slow primary worker has answered, an overdue attempt is enough for it to be passed over.
func TestOverdueAttemptMarksPrimaryWorkerSlow(t *testing.T) {
	f := newLargeFleet(t, 40)
	primary := f.firstWorker(f.request("unsafe", f.functionAt(func(w *worker) bool { return true }), 3*time.Second))
	f.advance(f.now + 300*ms)
	require.NotEqual(t, primary, f.firstWorker(f.request("safe", f.functionAt(isWorker(primary)), time.Second)))
}
