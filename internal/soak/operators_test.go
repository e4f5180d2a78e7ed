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

// operatorsLengthEnv sets how long TestOperatorsUnderLoad makes operators' calls, as a duration.
const operatorsLengthEnv = "KITEFALL_OPERATORS_LENGTH"

// silentConnCount is how many connections to the operators' address stay open and send nothing.
const silentConnCount = 200

// Guards against operators' calls that take a second or more under full load while many connections to their address stay open and
// send nothing.
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
	go func() { // ends when stop is closed
		defer close(done)
		holdSilentConns(f.adminAddr(0), stop)
	}()
	var slowest time.Duration
	calls := 0
	for begin := Now(); Now()-begin < length; time.Sleep(50 * time.Millisecond) {
		callStart := Now()
		ok, err := f.callOperators(0, http.MethodGet, pathReady)
		assert.NoError(t, err)
		assert.True(t, ok)
		slowest = max(slowest, Now()-callStart)
		calls++
	}
	close(stop)
	<-done
	assert.Less(t, slowest, operatorTimeout)
	history, err := f.Finish()
	require.NoError(t, err)
	t.Log(fmt.Sprintf("%d calls, slowest %s;", calls, slowest), Counts(history), history.Dispatchers)
	assert.Empty(t, Check(history))
}

// holdSilentConns keeps connections open that send nothing. It replaces them one after the other, every millisecond, until stop is
// closed.
func holdSilentConns(addr string, stop <-chan struct{}) {
	conns := make([]net.Conn, silentConnCount)
	for i := 0; !waitOrDone(stop, time.Millisecond); i = (i + 1) % silentConnCount {
		if conns[i] != nil {
			conns[i].Close()
		}
		conns[i], _ = net.DialTimeout("tcp", addr, dialTimeout)
	}
	for _, conn := range conns {
		if conn != nil {
			conn.Close()
		}
	}
}
