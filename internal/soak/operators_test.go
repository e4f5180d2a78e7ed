package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// operatorsLengthEnv sets for how long TestOperatorsUnderLoad asks, as a duration.
const operatorsLengthEnv = "KITEFALL_OPERATORS_LENGTH"

// silentCallers is how many callers of the operators' address send nothing and stay.
const silentCallers = 200

// Operators are answered within a second under full load, while many callers send nothing and stay.
func TestOperatorsUnderLoad(t *testing.T) {
	length := 3 * time.Second
	if text := os.Getenv(operatorsLengthEnv); text != "" {
		var err error
		length, err = time.ParseDuration(text)
		require.NoError(t, err)
	}
	f, err := Start(Config{Program: dispatcherProgram(t), Folder: t.TempDir(), Dispatchers: 1, Workers: 8, Seed: 1,
		Rules: DefaultRules(), Worker: DefaultWorker(), Limits: Limits{Cores: 0.4, MemoryMB: 64, Sockets: 192}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	f.StartClients(Load{Rate: 800, Functions: 40, MinWait: time.Second, MaxWait: 2 * time.Second, FreshShare: 0.2})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // ended by stop
		defer close(done)
		holdOperators(f.adminAddr(0), stop)
	}()
	var worst time.Duration
	asked := 0
	for begin := Now(); Now()-begin < length; time.Sleep(50 * time.Millisecond) {
		asking := Now()
		yes, err := f.callOperators(0, http.MethodGet, pathReady)
		assert.NoError(t, err)
		assert.True(t, yes)
		worst = max(worst, Now()-asking)
		asked++
	}
	close(stop)
	<-done
	assert.Less(t, worst, operatorTimeout)
	history, err := f.Finish()
	require.NoError(t, err)
	t.Log(fmt.Sprintf("%d calls, worst %s;", asked, worst), Counts(history), history.Dispatchers)
	assert.Empty(t, Check(history))
}

// holdOperators keeps silent callers connected, and makes new ones in the place of those that are closed.
func holdOperators(addr string, stop <-chan struct{}) {
	callers := make([]net.Conn, silentCallers)
	for i := 0; !waitOr(stop, time.Millisecond); i = (i + 1) % silentCallers {
		if callers[i] != nil {
			callers[i].Close()
		}
		callers[i], _ = net.DialTimeout("tcp", addr, dialTimeout)
	}
	for _, caller := range callers {
		if caller != nil {
			caller.Close()
		}
	}
}
