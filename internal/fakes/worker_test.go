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

// startCall starts an attempt of a call and returns the channel that receives its result.
func startCall(t *testing.T, pool *worker.Pool, id uint64, body string) <-chan worker.Result {
	t.Helper()
	results := make(chan worker.Result, 1)
	attempt := worker.Attempt{ID: id, Class: "consulta", Function: testFunction, Body: []byte(body), Deadline: fakes.Deadline(), LeaseEnd: fakes.Deadline()}
	_, err := pool.Call(attempt, func(r worker.Result) { results <- r })
	require.NoError(t, err)
	return results
}

func TestWorkerAnswersMissUntilFunctionIsLoaded(t *testing.T) {
	w := fakes.NewWorker(t)
	pool := newPool(t, w)
	w.UnloadAll()
	assert.Equal(t, balancer.Miss, fakes.Receive(t, startCall(t, pool, 1, "x")).Status)
	assert.Zero(t, w.CallCount("x"))

	loadResults := make(chan worker.Result, 1)
	_, err := pool.Load(fakes.NewLoadOrder(testFunction), func(r worker.Result) { loadResults <- r })
	require.NoError(t, err)
	loadResult := fakes.Receive(t, loadResults)
	assert.Equal(t, balancer.OK, loadResult.Status)
	assert.Equal(t, 1, loadResult.Copies)
	require.Len(t, w.LoadOrderTimes(), 1)
	assert.WithinDuration(t, time.Now(), w.LoadOrderTimes()[0], time.Until(fakes.Deadline()))

	callResults := startCall(t, pool, 2, "x")
	call := w.NextCall()
	assert.Equal(t, uint64(2), call.ID)
	assert.Equal(t, "x", call.Body)
	call.AnswerOK("done")
	callResult := fakes.Receive(t, callResults)
	assert.Equal(t, balancer.OK, callResult.Status)
	assert.Equal(t, "done", string(callResult.Body))
	assert.Equal(t, 1, w.CallCount("x"))
}

func TestWorkerRejectsCallAndResetsConnection(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	pool := newPool(t, w)
	firstResults := startCall(t, pool, 1, "x")
	call, idle := fakes.FirstCallAtEither(other, w)
	assert.Same(t, other, idle)
	call.Answer(fakes.CodeRejected, "", "")
	assert.Equal(t, balancer.Rejected, fakes.Receive(t, firstResults).Status)

	secondResults := startCall(t, pool, 2, "x")
	w.NextCall().ResetConn()
	assert.Equal(t, balancer.Reset, fakes.Receive(t, secondResults).Status)
}
