package soak

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against the incident of floods, where a cold worker was sent more than its budget: three workers at a time drain, go and
// return cold under the same name and address, until few warm ones are left; one of the dispatchers is killed meanwhile.
func TestRollingRestartsOverloadNoColdWorker(t *testing.T) {
	t.Parallel()
	const workers, batch, batches = 13, 3, 4
	const drain, interval = 6800 * time.Millisecond, 4800 * time.Millisecond
	rules := DefaultRules()
	rules.WarmUpTime = 16 * time.Second
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: 3, Workers: workers, Seed: 1,
		Rules: rules, Worker: DefaultWorker(), Deadline: time.Second})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	f.StartClients(Load{Rate: 170, Functions: 40, MinWait: 300 * time.Millisecond, MaxWait: time.Second})
	time.Sleep(5 * time.Second)
	var restarts sync.WaitGroup
	for first := 0; first < batch*batches; first += batch {
		for number := first; number < first+batch; number++ {
			restarts.Go(func() { assert.NoError(t, f.DrainAndRestartWorker(number, drain)) })
		}
		if first == 0 {
			require.NoError(t, f.RestartDispatcher(0, false, nil))
		}
		time.Sleep(interval)
	}
	restarts.Wait()
	time.Sleep(4 * time.Second)
	h, err := f.Finish()
	require.NoError(t, err)
	t.Log(Counts(h))
	assert.Empty(t, Check(h))
}
