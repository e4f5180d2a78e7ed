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

// newPools returns a pool for each worker. All pools take their descriptors from share.
func newPools(t *testing.T, share *descriptors.Share, workers ...*fakes.Worker) []*worker.Pool {
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

// newServingWorkers starts count workers that answer all calls.
func newServingWorkers(t *testing.T, count int) []*fakes.Worker {
	t.Helper()
	var workers []*fakes.Worker
	for range count {
		w := fakes.NewWorker(t)
		w.Serve(func(c *fakes.Call) { c.AnswerOK("") })
		workers = append(workers, w)
	}
	return workers
}

// With more workers than descriptors, the connections must stay within their share and each worker must be reached: the
// connection that has been idle longest is evicted.
func TestConnectionsToManyWorkersStayWithinTheirShare(t *testing.T) {
	const limit, workers, rounds = 3, 12, 3
	share := descriptors.NewShare(limit)
	pools := newPools(t, share, newServingWorkers(t, workers)...)
	for id := range uint64(workers * rounds) {
		_, results := call(t, pools[id%workers], id+1, fakes.Deadline())
		assert.Equal(t, balancer.OK, fakes.Receive(t, results).Status)
		assert.LessOrEqual(t, share.InUse(), limit)
	}
}

// With more workers than descriptors and all workers called at the same time, calls must wait until a connection is idle.
func TestCallsWaitForADescriptor(t *testing.T) {
	const limit, workers = 4, 40
	share := descriptors.NewShare(limit)
	pools := newPools(t, share, newServingWorkers(t, workers)...)
	var calls sync.WaitGroup
	for i, pool := range pools {
		calls.Go(func() {
			_, results := call(t, pool, uint64(i+1), fakes.Deadline())
			assert.Equal(t, balancer.OK, fakes.Receive(t, results).Status)
		})
	}
	calls.Wait()
	assert.LessOrEqual(t, share.InUse(), limit)
}

// If all descriptors are in use for longer than DialTimeout, a waiting call must end as NotSent, which does not count against
// its worker.
func TestShortageDoesNotCountAgainstTheWorker(t *testing.T) {
	busy, other := fakes.NewWorker(t), fakes.NewWorker(t)
	pools := newPools(t, descriptors.NewShare(1), busy, other)
	_, first := call(t, pools[0], 1, fakes.Deadline())
	received := busy.NextCall()
	_, notSent := call(t, pools[1], 2, fakes.Deadline())
	assert.Equal(t, balancer.NotSent, fakes.Receive(t, notSent).Status)
	_, waiting := call(t, pools[1], 3, fakes.Deadline())
	received.AnswerOK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, first).Status)
	other.NextCall().AnswerOK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, waiting).Status, "the descriptor of the first connection is reused")
}

// A pool that is closed while its connection waits for a descriptor must not hold one afterwards.
func TestClosedPoolTakesNoDescriptor(t *testing.T) {
	busy, other := fakes.NewWorker(t), fakes.NewWorker(t)
	share := descriptors.NewShare(1)
	pools := newPools(t, share, busy, other)
	_, first := call(t, pools[0], 1, fakes.Deadline())
	received := busy.NextCall()
	_, results := call(t, pools[1], 2, fakes.Deadline())
	pools[1].Close()
	fakes.Receive(t, results)
	received.AnswerOK("")
	assert.Equal(t, balancer.OK, fakes.Receive(t, first).Status)
	pools[0].Close()
	require.Eventually(t, func() bool { return share.InUse() == 0 }, 10*time.Second, time.Millisecond)
}

// Single calls to many workers must not evict the connections to workers that are called repeatedly. While discovery is
// silent, calls can prove that a worker is still ready only over a connection that was kept throughout (incident 3).
func TestReusedConnectionsAreNotEvictedBySingleCalls(t *testing.T) {
	const limit, regular, others = 8, 5, 30
	var workers []*fakes.Worker
	for range regular + others {
		w := fakes.NewWorker(t)
		w.Serve(func(c *fakes.Call) { c.AnswerOK(c.RemoteAddr()) })
		workers = append(workers, w)
	}
	pools := newPools(t, descriptors.NewShare(limit), workers...)
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

// callContinuously sends calls through a pool, each as soon as the previous one has ended, until stop is called.
func callContinuously(t *testing.T, pool *worker.Pool) (stop func()) {
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

// A reused connection that is never idle for long must not starve a waiting connection. Once the first waiter has waited for
// evictRetryInterval, the reused connection must be evicted between two of its requests.
func TestContinuouslyUsedConnectionIsEvictedForAWaiter(t *testing.T) {
	regular, other := fakes.NewWorker(t), fakes.NewWorker(t)
	held := []*fakes.Worker{fakes.NewWorker(t), fakes.NewWorker(t)}
	pools := newPools(t, descriptors.NewShare(3), append(held, regular, other)...)
	for i, w := range held {
		call(t, pools[i], uint64(i+1), fakes.Deadline())
		w.NextCall() // left unanswered, so that the connection stays in use
	}
	other.Serve(func(c *fakes.Call) { c.AnswerOK("") })
	regular.Serve(func(c *fakes.Call) {
		time.Sleep(2 * time.Millisecond)
		c.AnswerOK("")
	})
	stop := callContinuously(t, pools[2])
	time.Sleep(20 * time.Millisecond)
	_, waiting := call(t, pools[3], 3, fakes.Deadline())
	assert.Equal(t, balancer.OK, fakes.Receive(t, waiting).Status)
	stop()
}
