package worker

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
)

const testFunction = "7f3a9c21e0b4d655"

// scriptedConn is a network connection whose writes are controlled by the test: each blocks until the test sends its result.
type scriptedConn struct {
	net.Conn
	writes    chan []byte // receives the data of each write when the write begins
	results   chan error  // result of each write; nil: all data is written, else half of it and the error returned
	closeOnce sync.Once
	closed    chan struct{}
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{writes: make(chan []byte, 8), results: make(chan error, 8), closed: make(chan struct{})}
}

func (s *scriptedConn) Write(data []byte) (int, error) {
	s.writes <- data
	if err := <-s.results; err != nil {
		return len(data) / 2, err
	}
	return len(data), nil
}

func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func (s *scriptedConn) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// poolFixture is a pool with one scripted connection that has no goroutines, so that the test runs its writer step by step.
// Further connections that the pool opens lead to listener.
type poolFixture struct {
	t        *testing.T
	pool     *Pool
	netConn  *scriptedConn
	conn     *conn
	listener net.Listener
}

func newPoolFixture(t *testing.T, idleTimeout time.Duration) *poolFixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	require.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
	pool := NewPool("s-1", listener.Addr().String(), &Config{DialTimeout: 5 * time.Second, IdleTimeout: idleTimeout,
		MaxStreams: 32, MaxConns: 4, ConnLimit: NewConnLimit(descriptors.NewShare(8))})
	t.Cleanup(pool.Close)

	netConn := newScriptedConn()
	c := newConn(pool, time.Now())
	c.netConn = netConn
	c.advanceLocked(connReady)
	require.True(t, pool.config.ConnLimit.tryAcquire(c))
	pool.conns = append(pool.conns, c)
	return &poolFixture{t: t, pool: pool, netConn: netConn, conn: c, listener: listener}
}

// call queues an attempt and returns its request and the channel that receives the result.
func (f *poolFixture) call(attempt Attempt) (*PendingRequest, chan Result) {
	f.t.Helper()
	results := make(chan Result, 2)
	attempt.Class, attempt.Function = "reserva", testFunction
	if attempt.Deadline.IsZero() {
		attempt.Deadline = time.Now().Add(time.Hour)
	}
	if attempt.LeaseEnd.IsZero() {
		attempt.LeaseEnd = time.Now().Add(time.Hour)
	}
	request, err := f.pool.Call(attempt, func(r Result) { results <- r })
	require.NoError(f.t, err)
	return request, results
}

// writeNext runs the writer for the next request in its queue. If the request is written, the write ends with err.
func (f *poolFixture) writeNext(err error) {
	f.netConn.results <- err
	f.conn.write(<-f.conn.writeQueue)
}

// requireNextNotWritten runs the writer for the next request in its queue, checks that nothing is written, and returns the
// request's result.
func (f *poolFixture) requireNextNotWritten(results chan Result) Result {
	f.t.Helper()
	f.writeNext(nil)
	select {
	case data := <-f.netConn.writes:
		assert.Fail(f.t, "the request was written", "%q", data)
	default:
	}
	require.Len(f.t, results, 1)
	return <-results
}

// accept returns the next connection that the pool opens. The message says why the pool must open one.
func (f *poolFixture) accept(message string) net.Conn {
	f.t.Helper()
	accepted, err := f.listener.Accept()
	require.NoError(f.t, err, message)
	f.t.Cleanup(func() { accepted.Close() })
	return accepted
}

// endDuringWrite ends the connection, as its reader would, while the frame of a call is being written. It then calls
// beforeWriteEnds and lets the write end with writeErr. It returns the channel of the call's result.
func (f *poolFixture) endDuringWrite(beforeWriteEnds func(*PendingRequest), writeErr error) chan Result {
	f.t.Helper()
	request, results := f.call(Attempt{ID: 7})
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		f.conn.write(<-f.conn.writeQueue)
	}()
	<-f.netConn.writes
	f.conn.end(io.EOF, nil)
	beforeWriteEnds(request)
	f.netConn.results <- writeErr
	<-writerDone
	return results
}
