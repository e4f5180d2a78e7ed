package worker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/descriptors"
	"kitefall/internal/fakes"
	"kitefall/internal/permit"
	"kitefall/internal/tcptest"
	"kitefall/internal/worker"
)

const testFunction = "7f3a9c21e0b4d655"

// Codes of answers (source: worker protocol).
const (
	codeOK       = 64
	codeMiss     = 66
	codeRejected = 67
)

// newPool returns a pool for the worker, with the configuration fakes.PoolConfig as changed by configure.
func newPool(t *testing.T, w *fakes.Worker, configure func(*worker.Config)) *worker.Pool {
	t.Helper()
	config := fakes.PoolConfig()
	configure(&config)
	pool := worker.NewPool("s-1", w.Addr, &config)
	t.Cleanup(pool.Close)
	return pool
}

func unchanged(*worker.Config) {}

func withConnLimit(connections int) func(*worker.Config) {
	return func(c *worker.Config) { c.ConnLimit = worker.NewConnLimit(descriptors.NewShare(connections)) }
}

// call queues an attempt and returns its request and the channel that receives the result.
func call(t *testing.T, pool *worker.Pool, id uint64, deadline time.Time) (*worker.PendingRequest, chan worker.Result) {
	t.Helper()
	results := make(chan worker.Result, 1)
	attempt := worker.Attempt{ID: id, Class: "reserva", Function: testFunction, Body: []byte("x"), Deadline: deadline, LeaseEnd: fakes.Deadline()}
	request, err := pool.Call(attempt, func(r worker.Result) { results <- r })
	require.NoError(t, err)
	return request, results
}

// While a request is queued, its deadline may pass or an update may report that its worker is draining. The request must not
// be written then: a call ends as NotSent, a load order as Rejected.
func TestNothingIsWrittenAfterADrainOrTheDeadline(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, unchanged)
	_, late := call(t, pool, 1, time.Now().Add(-time.Millisecond))
	assert.Equal(t, balancer.NotSent, fakes.Receive(t, late).Status)
	pool.MarkUnavailable(permit.WorkerStateDraining)
	_, drained := call(t, pool, 2, fakes.Deadline())
	assert.Equal(t, balancer.NotSent, fakes.Receive(t, drained).Status)
	loaded := make(chan worker.Result, 1)
	_, err := pool.Load(fakes.NewLoadOrder(testFunction), func(r worker.Result) { loaded <- r })
	require.NoError(t, err)
	assert.Equal(t, balancer.Rejected, fakes.Receive(t, loaded).Status)
	pool.MarkReady(time.Time{})
	begin := time.Now()
	_, rejected := call(t, pool, 3, fakes.Deadline())
	received := w.NextCall()
	assert.Equal(t, uint64(3), received.ID, "a call that must not be written was written")
	written := time.Now()
	received.Answer(codeRejected, "same=5", "")
	result := fakes.Receive(t, rejected)
	assert.WithinRange(t, result.WrittenAt, begin, written)
	result.WrittenAt, result.ConnectedSince = time.Time{}, time.Time{}
	assert.Equal(t, worker.Result{Status: balancer.Rejected, QueueDepth: 5, Body: []byte{}}, result)
}

func TestRefusedConnectionEndsCallAsConnectFailed(t *testing.T) {
	_, accepted := tcptest.Pair(t) // no listener has its address, and no other test gets the address while the pair is open
	config := fakes.PoolConfig()
	_, results := call(t, worker.NewPool("s-1", accepted.LocalAddr().String(), &config), 1, fakes.Deadline())
	assert.Equal(t, balancer.ConnectFailed, fakes.Receive(t, results).Status)
}

// Connections that overlap in time lead to one process, so their answers must have the same ConnectedSince. After a time
// without a connection, another process may listen at the same address, so ConnectedSince must be later.
func TestOverlappingConnectionsHaveTheSameConnectedSince(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, withConnLimit(64))
	answerNext := func(results chan worker.Result) worker.Result {
		w.NextCall().AnswerOK("done")
		return fakes.Receive(t, results)
	}
	begin := time.Now()
	_, first := call(t, pool, 1, fakes.Deadline())
	received := w.NextCall()
	connected := time.Now()
	_, second := call(t, pool, 2, fakes.Deadline())
	overlapping := answerNext(second)
	received.AnswerOK("done")
	assert.Equal(t, overlapping.ConnectedSince, fakes.Receive(t, first).ConnectedSince)
	assert.WithinRange(t, overlapping.ConnectedSince, begin, connected, "when the first connection was established")
	pool.Close()
	_, third := call(t, pool, 3, fakes.Deadline())
	assert.Greater(t, answerNext(third).ConnectedSince.Sub(overlapping.ConnectedSince), time.Duration(0))
}

// PeerGone must be called when a worker's process may have ended: its last connection was closed by the peer, or nothing
// listens at its address.
func TestEndOfAWorkersProcessIsReported(t *testing.T) {
	w := fakes.NewWorker(t)
	gone := make(chan string, 4)
	pool := newPool(t, w, func(c *worker.Config) { c.PeerGone = func(uid string) { gone <- uid } })
	_, results := call(t, pool, 1, fakes.Deadline())
	received := w.NextCall() // wait until the call is written: an incomplete one would move to another connection
	assert.Empty(t, gone)
	received.CloseConn()
	assert.Equal(t, balancer.Reset, fakes.Receive(t, results).Status)
	assert.Equal(t, "s-1", fakes.Receive(t, gone))
	w.StopListening()
	_, results = call(t, pool, 2, fakes.Deadline())
	assert.Equal(t, balancer.ConnectFailed, fakes.Receive(t, results).Status)
	assert.Equal(t, "s-1", fakes.Receive(t, gone))
	pool.Close()
	assert.Empty(t, gone, "the pool itself was closed")
}

// The id of a cancelled call must not be used again on the same connection: a late answer to the cancelled call would be taken
// for the answer to the new one.
func TestCancelledIDUsesAnotherConnection(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, withConnLimit(64))
	request, _ := call(t, pool, 1, fakes.Deadline())
	first := w.NextCall()
	assert.True(t, pool.Cancel(request), "the call was written")
	assert.Equal(t, uint64(1), fakes.Receive(t, w.Cancelled))
	_, results := call(t, pool, 1, fakes.Deadline())
	second := w.NextCall()
	first.AnswerOK("late")
	second.AnswerOK("in time")
	assert.Equal(t, "in time", string(fakes.Receive(t, results).Body))
}

// If handshakes have a cost and connections do not break, concurrent requests must share a connection, since a second one is
// not worth its handshake. Once a connection has broken under load, concurrent requests must get separate connections.
func TestRequestsShareAConnectionUntilConnectionsBreak(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, func(c *worker.Config) { c.BreakRate = worker.NewBreakRate(0.08) })
	callTwice := func() (received [2]*fakes.Call, results [2]chan worker.Result) {
		_, results[0] = call(t, pool, 1, fakes.Deadline())
		_, results[1] = call(t, pool, 2, fakes.Deadline())
		received[0] = w.NextCall()
		received[1] = w.NextCall()
		return received, results
	}
	received, results := callTwice()
	require.Equal(t, received[0].RemoteAddr(), received[1].RemoteAddr(), "separate connections, although none has broken")
	received[0].ResetConn()
	assert.Equal(t, balancer.Reset, fakes.Receive(t, results[0]).Status)
	assert.Equal(t, balancer.Reset, fakes.Receive(t, results[1]).Status)
	received, _ = callTwice()
	assert.NotEqual(t, received[0].RemoteAddr(), received[1].RemoteAddr(), "a shared connection, although one has broken")
}

// Cancelling a call that was already answered must not end a later call with the same id.
func TestCancellingAnAnsweredCallLeavesALaterOneInFlight(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, withConnLimit(64))
	answered, first := call(t, pool, 1, fakes.Deadline())
	w.NextCall().AnswerOK("first")
	fakes.Receive(t, first)
	_, second := call(t, pool, 1, fakes.Deadline())
	pool.Cancel(answered)
	w.NextCall().AnswerOK("second")
	assert.Equal(t, "second", string(fakes.Receive(t, second).Body))
}

// A pool must send nothing to a removed worker, because another worker may listen at the address by then.
func TestAddressOfARemovedWorkerIsNotUsed(t *testing.T) {
	w := fakes.NewWorker(t)
	config := fakes.PoolConfig()
	removed := worker.NewPool("s-1", w.Addr, &config)
	removed.MarkUnavailable(permit.WorkerStateRemoved)
	attempt := worker.Attempt{ID: 1, Class: "reserva", Function: "aa", Deadline: fakes.Deadline(), LeaseEnd: fakes.Deadline()}
	_, err := removed.Call(attempt, func(worker.Result) {})
	assert.Error(t, err)
	successor := worker.NewPool("s-2", w.Addr, &config)
	t.Cleanup(successor.Close)
	_, results := call(t, successor, 2, fakes.Deadline())
	w.NextCall().AnswerOK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, results).Status)
}

// An incomplete frame must end its connection, rather than block it until the deadlines of the calls.
func TestIncompleteFrameEndsItsConnection(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, withConnLimit(1))
	_, results := call(t, pool, 1, time.Now().Add(time.Hour))
	received := w.NextCall()
	received.WriteRaw(fakes.Frame(codeOK, received.ID, "remark=hot", "done")[:20])
	assert.Equal(t, balancer.Reset, fakes.Receive(t, results).Status)
}

// A duplicate miss must not be taken for the answer to a retry of the call at the same worker.
func TestDuplicateMissDoesNotEndALaterCall(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w, withConnLimit(64))
	_, missed := call(t, pool, 1, fakes.Deadline())
	first := w.NextCall()
	first.Answer(codeMiss, "", "")
	require.Equal(t, balancer.Miss, fakes.Receive(t, missed).Status)
	_, retried := call(t, pool, 1, fakes.Deadline())
	retry := w.NextCall()
	first.Answer(codeMiss, "", "")
	_, other := call(t, pool, 2, fakes.Deadline()) // answered on the first connection, after the duplicate
	w.NextCall().AnswerOK("")
	require.Equal(t, balancer.OK, fakes.Receive(t, other).Status)
	retry.Answer(codeOK, "", "done")
	assert.Equal(t, "done", string(fakes.Receive(t, retried).Body))
}

// An answer whose id is not in flight must be ignored, and the valid answer after it must be handled.
func TestAnswerWithUnknownIDIsIgnored(t *testing.T) {
	w := fakes.NewWorker(t)
	_, results := call(t, newPool(t, w, withConnLimit(64)), 1, fakes.Deadline())
	unknown := fakes.Frame(codeOK, 99, "remark=hot", "whose")
	good := fakes.Frame(codeOK, 1, "remark=hot", "done")
	w.NextCall().WriteRaw(append(unknown, good...))
	assert.Equal(t, "done", string(fakes.Receive(t, results).Body))
}

// Concurrent calls must use separate connections while the connection limit allows, so that a broken connection ends only one
// call. At the limit they share the first connection.
func TestOneBreakEndsOneCallWithinTheConnectionLimit(t *testing.T) {
	for connLimit, statusOfOther := range map[int]balancer.Status{64: balancer.OK, 1: balancer.Reset} {
		t.Run(fmt.Sprint("connection limit ", connLimit), func(t *testing.T) {
			w := fakes.NewWorker(t)
			pool := newPool(t, w, withConnLimit(connLimit))
			_, broken := call(t, pool, 1, fakes.Deadline())
			first := w.NextCall()
			_, other := call(t, pool, 2, fakes.Deadline())
			second := w.NextCall()
			first.ResetConn()
			assert.Equal(t, balancer.Reset, fakes.Receive(t, broken).Status)
			second.AnswerOK("")
			assert.Equal(t, statusOfOther, fakes.Receive(t, other).Status)
		})
	}
}
