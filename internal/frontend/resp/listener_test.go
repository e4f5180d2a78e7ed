package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
	"kitefall/internal/drain"
)

const checkRequest = "*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n"

// fakeListener is a listener whose Accept returns the values that the test sends to results.
type fakeListener struct {
	results     chan any // each value is a net.Conn or an error
	acceptCalls atomic.Int64
	closed      chan struct{}
	closeOnce   sync.Once
}

func newFakeListener() *fakeListener {
	return &fakeListener{results: make(chan any, 8), closed: make(chan struct{})}
}

func (l *fakeListener) Accept() (net.Conn, error) {
	l.acceptCalls.Add(1)
	select {
	case result := <-l.results:
		if conn, ok := result.(net.Conn); ok {
			return conn, nil
		}
		return nil, result.(error)
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect makes Accept return a new connection and returns the client's end of that connection.
func (l *fakeListener) connect() net.Conn {
	client, server := net.Pipe()
	l.results <- server
	return client
}

// serveOn starts a server without a dispatcher, for tests that send no CALL. The channel receives the result of Serve.
func serveOn(ln net.Listener) (*Server, <-chan error) {
	server := &Server{
		Ready:      func() bool { return true },
		DrainState: drain.New(drain.Schedule{}, drain.Schedule{AnswerBy: time.Hour, CloseBy: time.Hour}),
		Timeouts:   Timeouts{FirstRequest: time.Hour, Request: time.Hour, Idle: time.Hour},
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ln, descriptors.NewShare(8)) }()
	synctest.Wait()
	return server, serveErr
}

// A planned restart must not lose first requests. The end of the listener does not close the connections that it has accepted.
// That includes connections that have not sent their first request yet, or whose first request is being passed to the handler.
// These requests must be accepted and answered.
func TestRequestIsAnsweredAfterTheListenerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newFakeListener()
		server, serveErr := serveOn(ln)
		client := ln.connect()
		synctest.Wait()
		ln.Close()
		synctest.Wait()
		require.Equal(t, 1, server.OpenConns(), "the connection must stay open after the listener is closed")
		go client.Write([]byte(checkRequest))
		answer := make([]byte, 64)
		n, err := client.Read(answer)
		require.NoError(t, err)
		assert.Contains(t, string(answer[:n]), wordReady)
		server.DrainState.Terminate(time.Now())
		synctest.Wait()
		require.Len(t, serveErr, 1, "Serve must have returned after the last connection")
		assert.NoError(t, <-serveErr)
	})
}

// When the process is out of descriptors, every accept fails at once. Redcon retried without a pause, so that nothing else in the
// process could run. The listener must pause and evict the connection that is idle longest, so that the next client is accepted.
func TestAcceptErrorClosesIdleConnectionAndPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newFakeListener()
		server, serveErr := serveOn(ln)
		idle := ln.connect()
		synctest.Wait()
		acceptCalls, startedAt := ln.acceptCalls.Load(), time.Now()
		for range 3 {
			ln.results <- syscall.EMFILE
		}
		next := ln.connect()
		_, err := idle.Read(make([]byte, 1))
		assert.Error(t, err, "the idle connection must be closed")
		go next.Write([]byte(checkRequest))
		_, err = next.Read(make([]byte, 64))
		assert.NoError(t, err)
		assert.LessOrEqual(t, ln.acceptCalls.Load()-acceptCalls, int64(5))
		assert.GreaterOrEqual(t, time.Since(startedAt), 3*acceptRetryDelay)
		ln.Close()
		server.DrainState.Terminate(time.Now())
		synctest.Wait()
		assert.NoError(t, <-serveErr)
	})
}
