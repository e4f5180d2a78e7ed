package worker_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/channel"
	"kitefall/internal/descriptors"
	"kitefall/internal/fakes"
	"kitefall/internal/worker"
)

// poolsOf returns a pool for each worker, all of which share so many descriptors.
func poolsOf(t *testing.T, share *descriptors.Share, workers ...*fakes.Worker) []*worker.Pool {
	t.Helper()
	config := fakes.PoolConfig()
	config.ConnLimit = worker.NewConnLimit(share)
	var pools []*worker.Pool
	for i, w := range workers {
		pool := worker.NewPool(fmt.Sprint("s-", i), w.Addr, &config)
		t.Cleanup(pool.Close)
		pools = append(pools, pool)
	}
	return pools
}

// serveAll has workers answer all calls.
func serveAll(t *testing.T, count int) []*fakes.Worker {
	t.Helper()
	var workers []*fakes.Worker
	for range count {
		w := fakes.NewWorker(t)
		w.Serve(func(c *fakes.Call) { c.OK("") })
		workers = append(workers, w)
	}
	return workers
}

// However many workers there are, the connections to all of them keep to their share, and each worker is reached: the one
// that was idle longest makes room.
func TestConnectionsToManyWorkersKeepToTheirShare(t *testing.T) {
	const share, workers, rounds = 3, 12, 3
	connections := descriptors.NewShare(share)
	pools := poolsOf(t, connections, serveAll(t, workers)...)
	for id := range uint64(workers * rounds) {
		_, results := call(t, pools[id%workers], id+1, fakes.Deadline())
		assert.Equal(t, balancer.OK, fakes.Receive(t, results).Status)
		assert.LessOrEqual(t, connections.InUse(), share)
	}
}

// The same with all workers called at a time: calls wait until a connection is idle.
func TestCallsWaitForADescriptor(t *testing.T) {
	const share, workers = 4, 40
	connections := descriptors.NewShare(share)
	pools := poolsOf(t, connections, serveAll(t, workers)...)
	var calls sync.WaitGroup
	for i, pool := range pools {
		calls.Go(func() {
			_, results := call(t, pool, uint64(i+1), fakes.Deadline())
			assert.Equal(t, balancer.OK, fakes.Receive(t, results).Status)
		})
	}
	calls.Wait()
	assert.LessOrEqual(t, connections.InUse(), share)
}

// Where every connection is in use for longer than a dial may take, the call was not sent, and its worker is not to blame.
func TestShortageIsNotBlamedOnTheWorker(t *testing.T) {
	busy, other := fakes.NewWorker(t), fakes.NewWorker(t)
	pools := poolsOf(t, descriptors.NewShare(1), busy, other)
	_, first := call(t, pools[0], 1, fakes.Deadline())
	received := busy.Next()
	_, short := call(t, pools[1], 2, fakes.Deadline())
	assert.Equal(t, balancer.NotSent, fakes.Receive(t, short).Status)
	_, waiting := call(t, pools[1], 3, fakes.Deadline())
	received.OK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, first).Status)
	other.Next().OK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, waiting).Status, "it has the place of the first")
}

// A pool that is closed while its connection waits for a descriptor takes none.
func TestClosedPoolTakesNoDescriptor(t *testing.T) {
	busy, other := fakes.NewWorker(t), fakes.NewWorker(t)
	connections := descriptors.NewShare(1)
	pools := poolsOf(t, connections, busy, other)
	_, first := call(t, pools[0], 1, fakes.Deadline())
	received := busy.Next()
	_, results := call(t, pools[1], 2, fakes.Deadline())
	pools[1].Close()
	fakes.Receive(t, results)
	received.OK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, first).Status)
	pools[0].Close()
	require.Eventually(t, func() bool { return connections.InUse() == 0 }, 10*time.Second, time.Millisecond)
}

// Workers that are called once do not push out the connections to those that are called again and again: only a connection
// that outlasts a silence of discovery lets calls prove that its worker is still ready (incident 3).
func TestReusedConnectionsOutlastOthers(t *testing.T) {
	const share, regular, others = 8, 5, 30
	var workers []*fakes.Worker
	for range regular + others {
		w := fakes.NewWorker(t)
		w.Serve(func(c *fakes.Call) { c.OK(c.From()) })
		workers = append(workers, w)
	}
	pools := poolsOf(t, descriptors.NewShare(share), workers...)
	id := uint64(0)
	connectionOf := func(pool *worker.Pool) string {
		id++
		_, results := call(t, pool, id, fakes.Deadline())
		return string(fakes.Receive(t, results).Body)
	}
	var first []string
	for _, pool := range pools[:regular] {
		first = append(first, connectionOf(pool))
		connectionOf(pool)
	}
	for _, pool := range pools[regular:] {
		connectionOf(pool)
	}
	for i, pool := range pools[:regular] {
		assert.Equal(t, first[i], connectionOf(pool), "worker %d", i)
	}
}

// callWithoutPause sends a call to a worker as soon as the one before has ended, until stop is called.
func callWithoutPause(t *testing.T, pool *worker.Pool) (stop func()) {
	t.Helper()
	stopped := make(chan struct{})
	var callNext func(id uint64)
	callNext = func(id uint64) {
		attempt := worker.Attempt{ID: id, Class: "reserva", Function: testFunction, Deadline: fakes.Deadline(), LeaseEnd: fakes.Deadline()}
		_, err := pool.Call(attempt, func(worker.Result) {
			if !channel.IsClosed(stopped) {
				callNext(id + 1)
			}
		})
		assert.NoError(t, err)
	}
	callNext(100)
	return func() { close(stopped) }
}

// A connection that waits is not held off by one that is reused without a pause: that one goes to the next request only after
// the first that waits, once this has waited for a while.
func TestReusedConnectionMakesRoomForOneThatWaits(t *testing.T) {
	regular, other := fakes.NewWorker(t), fakes.NewWorker(t)
	held := []*fakes.Worker{fakes.NewWorker(t), fakes.NewWorker(t)}
	pools := poolsOf(t, descriptors.NewShare(3), append(held, regular, other)...)
	for i, w := range held {
		call(t, pools[i], uint64(i+1), fakes.Deadline())
		w.Next() // not answered: the connection stays in use
	}
	other.Serve(func(c *fakes.Call) { c.OK("") })
	regular.Serve(func(c *fakes.Call) {
		time.Sleep(2 * time.Millisecond)
		c.OK("")
	})
	stop := callWithoutPause(t, pools[2])
	time.Sleep(20 * time.Millisecond)
	_, waiting := call(t, pools[3], 3, fakes.Deadline())
	assert.Equal(t, balancer.OK, fakes.Receive(t, waiting).Status)
	stop()
}
