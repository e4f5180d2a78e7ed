package worker_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/fakes"
	"kitefall/internal/worker"
)

func call(t *testing.T, l *worker.Pool, id uint64, until time.Time) (*worker.PendingRequest, chan worker.Result) {
	ended := make(chan worker.Result, 1)
	j, err := l.Call(worker.Attempt{ID: id, Class: "reserva", Function: "7f3a9c21e0b4d655", Body: []byte("x"), Deadline: until},
		func(r worker.Result) { ended <- r })
	require.NoError(t, err)
	return j, ended
}

// Word of a drain, or the end of the time, may come while a call waits for its connection.
func TestNothingIsWrittenAfterADrainOrTheDeadline(t *testing.T) {
	w := fakes.NewWorker(t)
	c := fakes.PoolConfig()
	l := worker.NewPool("s-1", w.Addr, &c)
	t.Cleanup(l.Close)
	_, late := call(t, l, 1, time.Now().Add(-time.Millisecond))
	assert.Equal(t, balancer.NotSent, (<-late).Status)
	l.MarkUnavailable(false)
	_, drained := call(t, l, 2, fakes.Deadline())
	assert.Equal(t, balancer.NotSent, (<-drained).Status)
	order := make(chan worker.Result, 1)
	_, err := l.Load("7f3a9c21e0b4d655", 1, fakes.Deadline(), fakes.Deadline(), func(r worker.Result) { order <- r })
	require.NoError(t, err)
	assert.Equal(t, balancer.Rejected, (<-order).Status)
	l.MarkReady(0)
	_, ended := call(t, l, 3, fakes.Deadline())
	k := w.Next()
	assert.Equal(t, uint64(3), k.ID) // the others never came
	k.Answer(67, "same=5", "")
	assert.Equal(t, worker.Result{Status: balancer.Rejected, QueueDepth: 5, Body: []byte{}}, <-ended)
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	c := fakes.PoolConfig()
	_, ended := call(t, worker.NewPool("s-1", ln.Addr().String(), &c), 1, fakes.Deadline())
	assert.Equal(t, balancer.ConnectFailed, (<-ended).Status)
}

// The id of a call that was given up stays off its connection: its late answer would pass for the new one's.
func TestGivenUpIDTakesAnotherConnection(t *testing.T) {
	w := fakes.NewWorker(t)
	l := link(t, w, 64)
	j, _ := call(t, l, 1, fakes.Deadline())
	first := w.Next()
	assert.True(t, l.Cancel(j), "it was written")
	assert.Equal(t, uint64(1), <-w.Cancelled)
	_, ended := call(t, l, 1, fakes.Deadline())
	second := w.Next()
	first.OK("late")
	second.OK("in time")
	assert.Equal(t, "in time", string((<-ended).Body))
}

// Guards against second connections that nobody needs: where a handshake has its price, and connections do not break,
// calls and orders share one. Once one has broken under load, what is open at a time goes apart again.
func TestJobsShareAConnectionUntilConnectionsBreak(t *testing.T) {
	w := fakes.NewWorker(t)
	c := fakes.PoolConfig()
	c.BreakRate = worker.NewBreakRate(0.08)
	l := worker.NewPool("s-1", w.Addr, &c)
	t.Cleanup(l.Close)
	both := func() (*fakes.Call, *fakes.Call, chan worker.Result, chan worker.Result) {
		_, one := call(t, l, 1, fakes.Deadline())
		_, two := call(t, l, 2, fakes.Deadline())
		return w.Next(), w.Next(), one, two
	}
	a, b, one, two := both()
	require.Equal(t, a.From(), b.From(), "a connection of its own, though none ever broke")
	a.ResetConn()
	assert.Equal(t, balancer.Reset, (<-one).Status)
	assert.Equal(t, balancer.Reset, (<-two).Status)
	a, b, _, _ = both()
	assert.NotEqual(t, a.From(), b.From(), "shared, though connections break")
}

// Giving up what has been answered must not end a later call that bears the same id.
func TestGivingUpAnAnsweredCallLeavesALaterOneOpen(t *testing.T) {
	w := fakes.NewWorker(t)
	l := link(t, w, 64)
	j, first := call(t, l, 1, fakes.Deadline())
	w.Next().OK("first")
	<-first
	_, second := call(t, l, 1, fakes.Deadline())
	l.Cancel(j)
	w.Next().OK("second")
	assert.Equal(t, "second", string((<-second).Body))
}

// A uid that left takes nothing more, though another worker may listen at its address by now.
func TestAddressOfAGoneWorkerIsNotUsed(t *testing.T) {
	w := fakes.NewWorker(t)
	c := fakes.PoolConfig()
	l := worker.NewPool("s-1", w.Addr, &c)
	l.MarkUnavailable(true)
	_, err := l.Call(worker.Attempt{ID: 1, Class: "reserva", Function: "aa", Deadline: fakes.Deadline()}, func(worker.Result) {})
	assert.Error(t, err)
	heir := worker.NewPool("s-2", w.Addr, &c)
	t.Cleanup(heir.Close)
	_, ended := call(t, heir, 2, fakes.Deadline())
	w.Next().OK("")
	assert.Equal(t, balancer.OK, (<-ended).Status)
}

func link(t *testing.T, w *fakes.Worker, room int) *worker.Pool {
	c := fakes.PoolConfig()
	c.ConnLimit = worker.NewConnLimit(room)
	l := worker.NewPool("s-1", w.Addr, &c)
	t.Cleanup(l.Close)
	return l
}

// A frame that begins and stops short must not hold its connection until the calls' own time is over.
func TestFrameThatStopsShortEndsItsConnection(t *testing.T) {
	w := fakes.NewWorker(t)
	l := link(t, w, 0)
	_, ended := call(t, l, 1, time.Now().Add(time.Hour))
	k := w.Next()
	k.WriteRaw(fakes.Frame(64, k.ID, "remark=hot", "done")[:20])
	assert.Equal(t, balancer.Reset, (<-ended).Status)
}

// A second copy of a miss must not pass for the answer to the call when it comes there again.
func TestSecondCopyOfAMissEndsNothing(t *testing.T) {
	w := fakes.NewWorker(t)
	l := link(t, w, 64)
	_, missed := call(t, l, 1, fakes.Deadline())
	first := w.Next()
	first.Answer(66, "", "")
	require.Equal(t, balancer.Miss, (<-missed).Status)
	_, ended := call(t, l, 1, fakes.Deadline())
	again := w.Next()
	first.Answer(66, "", "")
	_, other := call(t, l, 2, fakes.Deadline()) // on the first connection, behind the second copy
	w.Next().OK("")
	require.Equal(t, balancer.OK, (<-other).Status)
	again.Answer(64, "", "done")
	assert.Equal(t, "done", string((<-ended).Body))
}

// An answer to an id that is open nowhere, ahead of a good one, does no harm.
func TestUnknownIDAheadOfAGoodAnswer(t *testing.T) {
	w := fakes.NewWorker(t)
	_, ended := call(t, link(t, w, 64), 1, fakes.Deadline())
	k := w.Next()
	k.WriteRaw(append(fakes.Frame(64, 99, "remark=hot", "whose"), fakes.Frame(64, 1, "remark=hot", "done")...))
	assert.Equal(t, "done", string((<-ended).Body))
}

// Calls go to connections of their own while there is room, so that one break ends one call; without room they
// share, and a link has always its first connection.
func TestOneBreakEndsOneCall(t *testing.T) {
	for room, second := range map[int]balancer.Status{64: balancer.OK, 0: balancer.Reset} {
		w := fakes.NewWorker(t)
		l := link(t, w, room)
		_, cut := call(t, l, 1, fakes.Deadline())
		first := w.Next()
		_, other := call(t, l, 2, fakes.Deadline())
		k := w.Next()
		first.ResetConn()
		assert.Equal(t, balancer.Reset, (<-cut).Status)
		k.OK("")
		assert.Equal(t, second, (<-other).Status, "room %d", room)
	}
}
