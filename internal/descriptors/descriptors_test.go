package descriptors

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/metrics"
)

// The shares plus the descriptors of the process itself must not exceed the limit, and no share may be empty.
func TestSharesStayWithinTheLimit(t *testing.T) {
	for _, limit := range []int{48, 64, 96, 192, 256, 384, 576, 1024, 4096} {
		for _, invokeConns := range []int{0, 128} {
			if invokeConns > 0 && limit < 192 {
				continue // too few descriptors for the invoke API
			}
			s := Divide(limit, invokeConns)
			assert.LessOrEqual(t, s.Total()+ownDescriptors(invokeConns), limit, "%d: %+v", limit, s)
			for _, share := range []int{s.Clients, s.Workers, s.Discovery, s.Operators} {
				assert.Positive(t, share, "%d: %+v", limit, s)
			}
		}
	}
	assert.Equal(t, Shares{Clients: 1, Workers: 1, Discovery: 4, Operators: 2}, Divide(1, 0))
}

func TestShareGrantsAtMostItsLimit(t *testing.T) {
	s := NewShare(10)
	var acquirers sync.WaitGroup
	granted := make(chan bool, 40)
	for range cap(granted) {
		acquirers.Go(func() { granted <- s.TryAcquire() })
	}
	acquirers.Wait()
	close(granted)
	count := 0
	for ok := range granted {
		if ok {
			count++
		}
	}
	assert.Equal(t, 10, count)
	assert.Equal(t, 10, s.InUse())
	s.Release()
	assert.True(t, s.TryAcquire())
}

func TestReleasingTwiceIsCounted(t *testing.T) {
	before := metrics.Violations.Get(violationDoubleRelease)
	NewShare(1).Release()
	assert.Equal(t, before+1, metrics.Violations.Get(violationDoubleRelease))
}

func TestDialHoldsADescriptorUntilClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := NewShare(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := s.DialContext(ctx, "tcp", ln.Addr().String())
	require.NoError(t, err)
	_, err = s.DialContext(ctx, "tcp", ln.Addr().String())
	assert.ErrorIs(t, err, ErrExhausted)
	conn.Close()
	conn.Close()
	assert.Zero(t, s.InUse())
	ln.Close()
	_, err = s.DialContext(ctx, "tcp", ln.Addr().String())
	assert.Error(t, err)
	assert.Zero(t, s.InUse(), "a failed dial releases its descriptor")
}

func TestListenerHoldsADescriptorForEachConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewShare(1)
	limited := s.Listener(ln)
	defer limited.Close()
	accepted := make(chan net.Conn)
	go func() {
		for conn, err := limited.Accept(); err == nil; conn, err = limited.Accept() {
			accepted <- conn
		}
	}()
	for range 3 {
		client, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer client.Close()
	}
	for range 3 {
		conn := <-accepted
		assert.Equal(t, 1, s.InUse())
		conn.Close()
	}
}

func TestDescriptorsBeyondTheBudgetAreCounted(t *testing.T) {
	b := NewBudget(Shares{Clients: 5, Workers: 5})
	require.True(t, b.Clients.TryAcquire())
	before := metrics.Violations.Get(violationUnaccounted)
	b.compare(1 + runtimeDescriptors)
	assert.Equal(t, before, metrics.Violations.Get(violationUnaccounted))
	b.compare(1 + runtimeDescriptors + 1)
	assert.Equal(t, before+1, metrics.Violations.Get(violationUnaccounted))
	assert.Contains(t, b.String(), "clients=1/5 workers=0/5")
}
