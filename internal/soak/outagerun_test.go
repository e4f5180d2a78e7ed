package soak

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Times of an outage of discovery in which workers drain.
const (
	outageAfter    = 2 * time.Second        // from the start of the load until the first outage
	drainAfter     = 500 * time.Millisecond // from the start of the outage until workers drain
	outageLength   = 12 * time.Second
	outageGrace    = 500 * time.Millisecond // drain grace
	reuseTimeLimit = 2 * time.Second        // from the end of the outage until a worker that is back must be used again
	// quietFrom and quietUntil bound the time without requests, from the start of the outage, in a run with quiet clients. No worker
	// can reveal its drain by a rejection before the drain counts as known.
	quietFrom  = 200 * time.Millisecond
	quietUntil = drainAfter + notificationDeadline + outageGrace + 300*time.Millisecond
)

// outageRun describes a run with outages of discovery.
type outageRun struct {
	dispatchers       int
	workers           int // worker processes
	workersPerProcess int // 0: one
	functions         int // number of functions called; 0: 12
	limits            Limits
	drainingProcesses int     // worker processes that drain in each outage
	rate              float64 // requests per second to each dispatcher
	rateBeforeOutage  float64 // requests per second to each dispatcher before the first outage; 0: rate
	kind              OutageKind
	length            time.Duration // of each outage; 0: outageLength
	quietClients      bool          // clients send nothing from quietFrom to quietUntil
	outages           int           // number of outages, one after the other; 0: one
	restarts          int           // dispatchers restarted in each outage, alternately by SIGTERM and SIGKILL
	// oldListAfter is the time from the start of an outage until all dispatchers are restarted with the first list; 0: never.
	oldListAfter time.Duration
}

// play carries out the run and returns its history and when the last outage began and ended.
func (r outageRun) play(t *testing.T) (h *History, begin, end time.Duration) {
	t.Helper()
	rules := DefaultRules()
	rules.DrainGrace = outageGrace
	rules.LoadWindow = 10 * time.Second
	worker := DefaultWorker()
	worker.Work = 20 * time.Millisecond
	worker.KeepAlive = 10 * time.Second
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: r.dispatchers, Workers: r.workers,
		WorkersPerProcess: max(1, r.workersPerProcess), Seed: 1, Rules: rules, Worker: worker, Deadline: time.Second, Limits: r.limits})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	load := Load{Rate: r.rate, Functions: cmp.Or(r.functions, 12), MinWait: 500 * time.Millisecond, MaxWait: time.Second}
	loadBeforeOutage := load
	loadBeforeOutage.Rate = cmp.Or(r.rateBeforeOutage, r.rate)
	f.StartClients(loadBeforeOutage)
	time.Sleep(outageAfter)
	f.SetLoad(load)
	for number := range max(1, r.outages) {
		begin, end = r.playOutage(t, f, load, number)
		time.Sleep(reuseTimeLimit + time.Second)
	}
	h, err = f.Finish()
	require.NoError(t, err)
	t.Log(Counts(h))
	logMetrics(t, f)
	return h, begin, end
}

// playOutage carries out one outage and returns when it began and ended. Successive outages drain successive workers.
func (r outageRun) playOutage(t *testing.T, f *Fleet, load Load, number int) (begin, end time.Duration) {
	t.Helper()
	begin = Now()
	length := cmp.Or(r.length, outageLength)
	ended := make(chan error, 1)
	go func() { ended <- f.BreakDiscovery(r.kind, f.allDispatchers(), length) }()
	if r.quietClients {
		time.Sleep(quietFrom)
		quietLoad := load
		quietLoad.Rate = 0
		f.SetLoad(quietLoad)
	}
	time.Sleep(begin + drainAfter - Now())
	draining := make([]int, r.drainingProcesses)
	for i := range draining {
		draining[i] = (number*r.drainingProcesses + i) % r.workers
		f.DrainWorker(draining[i])
	}
	if r.quietClients {
		time.Sleep(begin + quietUntil - Now())
		f.SetLoad(load)
	}
	for dispatcher := range r.restarts {
		require.NoError(t, f.RestartDispatcher(dispatcher, dispatcher%2 == 0, nil))
	}
	if r.oldListAfter > 0 {
		time.Sleep(begin + r.oldListAfter - Now())
		for _, dispatcher := range f.allDispatchers() {
			require.NoError(t, f.RestartDispatcherWithFirstList(dispatcher))
		}
	}
	time.Sleep(begin + length - time.Second - Now())
	for _, worker := range draining {
		f.RemoveWorker(worker)
		require.NoError(t, f.ReturnWorker(worker))
	}
	assert.True(t, askReady(f.dispatcherAddr(0)), "a dispatcher stays ready during an outage that affects all dispatchers")
	require.NoError(t, <-ended)
	return begin, Now()
}

// servedShare returns the share of the requests sent from begin to end that were served.
func (h *History) servedShare(begin, end time.Duration) float64 {
	served, sent := 0, 0
	for _, r := range h.Requests {
		if r.Sent < begin || r.Sent >= end {
			continue
		}
		sent++
		if r.served() {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}
