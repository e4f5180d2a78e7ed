package fakes_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/fakes"
	"kitefall/internal/worker"
)

const testFunction = "7f3a9c21e0b4d655"

// newPool returns a pool of connections to a worker.
func newPool(t *testing.T, w *fakes.Worker) *worker.Pool {
	t.Helper()
	config := fakes.PoolConfig()
	pool := worker.NewPool("s-1", w.Addr, &config)
	t.Cleanup(pool.Close)
	return pool
}

// startCall sends a call and returns the channel for its result.
func startCall(t *testing.T, pool *worker.Pool, id uint64, body string) <-chan worker.Result {
	t.Helper()
	results := make(chan worker.Result, 1)
	attempt := worker.Attempt{ID: id, Class: "consulta", Function: testFunction, Body: []byte(body), Deadline: fakes.Deadline(), LeaseEnd: fakes.Deadline()}
	_, err := pool.Call(attempt, func(r worker.Result) { results <- r })
	require.NoError(t, err)
	return results
}

func TestWorkerMissesUntilTheFunctionIsLoaded(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w)
	w.UnloadAll()
	assert.Equal(t, balancer.Miss, fakes.Receive(t, startCall(t, pool, 1, "x")).Status)
	assert.Zero(t, w.CallCount("x"))

	loads := make(chan worker.Result, 1)
	_, err := pool.Load(fakes.LoadOrder(testFunction), func(r worker.Result) { loads <- r })
	require.NoError(t, err)
	loaded := fakes.Receive(t, loads)
	assert.Equal(t, balancer.OK, loaded.Status)
	assert.Equal(t, 1, loaded.Copies)
	require.Len(t, w.LoadOrderTimes(), 1)
	assert.WithinDuration(t, time.Now(), w.LoadOrderTimes()[0], time.Until(fakes.Deadline()))

	result := startCall(t, pool, 2, "x")
	received := w.Next()
	assert.Equal(t, uint64(2), received.ID)
	assert.Equal(t, "x", received.Body)
	received.OK("done")
	served := fakes.Receive(t, result)
	assert.Equal(t, balancer.OK, served.Status)
	assert.Equal(t, "done", string(served.Body))
	assert.Equal(t, 1, w.CallCount("x"))
}

func TestWorkerAnswersAndResetsAsTheTestSays(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	pool := newPool(t, w)
	rejected := startCall(t, pool, 1, "x")
	received, idle := fakes.FirstCallAtEither(other, w)
	assert.Same(t, other, idle)
	received.Answer(fakes.CodeFull, "", "")
	assert.Equal(t, balancer.Rejected, fakes.Receive(t, rejected).Status)

	broken := startCall(t, pool, 2, "x")
	w.Next().ResetConn()
	assert.Equal(t, balancer.Reset, fakes.Receive(t, broken).Status)
}
