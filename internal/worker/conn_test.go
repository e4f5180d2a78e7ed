package worker

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
)

const testFunction = "7f3a9c21e0b4d655"

// scriptedConn is a network connection whose writes the test carries out: each waits until the test tells how it ends.
type scriptedConn struct {
	net.Conn
	writes    chan []byte // the data of each write that has begun
	results   chan error  // how each write ends; nil: all was written, else half of it
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

// poolFixture is a pool with one scripted connection, which has no goroutines: the test runs its writer step by step.
// Further connections of the pool go to listener.
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
		MaxStreams: 32, MaxConns: 4, ConnLimit: NewConnLimit(8)})
	t.Cleanup(pool.Close)

	netConn := newScriptedConn()
	c := newConn(pool, time.Now())
	c.netConn = netConn
	c.advanceLocked(connReady)
	pool.conns = append(pool.conns, c)
	return &poolFixture{t: t, pool: pool, netConn: netConn, conn: c, listener: listener}
}

// call queues an attempt and returns it with the channel of its result.
func (f *poolFixture) call(attempt Attempt) (*PendingRequest, chan Result) {
	f.t.Helper()
	results := make(chan Result, 2)
	attempt.Class, attempt.Function = "reserva", testFunction
	if attempt.Deadline.IsZero() {
		attempt.Deadline = time.Now().Add(time.Hour)
	}
	request, err := f.pool.Call(attempt, func(r Result) { results <- r })
	require.NoError(f.t, err)
	return request, results
}

// writeNext has the writer take the next request from its queue, and has the write, if there is one, end with err.
func (f *poolFixture) writeNext(err error) {
	f.netConn.results <- err
	f.conn.write(<-f.conn.writeQueue)
}

// requireNextNotWritten has the writer take the next request from its queue, nothing of which may be written, and returns
// its result.
func (f *poolFixture) requireNextNotWritten(results chan Result) Result {
	f.t.Helper()
	f.writeNext(nil)
	select {
	case data := <-f.netConn.writes:
		assert.Fail(f.t, "written", "%q", data)
	default:
	}
	require.Len(f.t, results, 1)
	return <-results
}

// accept returns the next connection that the pool opens.
func (f *poolFixture) accept(message string) net.Conn {
	f.t.Helper()
	accepted, err := f.listener.Accept()
	require.NoError(f.t, err, message)
	f.t.Cleanup(func() { accepted.Close() })
	return accepted
}

// endDuringWrite has the reader meet the end of the connection while a call's frame is being written, calls beforeWriteEnds
// and has the write end with writeErr. It returns the channel of the call's result.
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

// What happens while a call is queued keeps it from being written, and it is known that it never ran.
func TestQueuedCallIsNotWrittenOnceItMustNotBegin(t *testing.T) {
	abandoned := false
	for name, test := range map[string]struct {
		attempt Attempt
		event   func(*Pool)
	}{
		"its client leaves":         {Attempt{Abandoned: func() bool { return abandoned }}, func(*Pool) { abandoned = true }},
		"its worker drains":         {Attempt{}, func(p *Pool) { p.MarkUnavailable(false) }},
		"its worker is removed":     {Attempt{}, func(p *Pool) { p.MarkUnavailable(true) }},
		"its start time has passed": {Attempt{StartBy: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
		"its deadline has passed":   {Attempt{Deadline: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPoolFixture(t, time.Minute)
			test.attempt.ID = 1
			_, results := f.call(test.attempt)
			test.event(f.pool)
			assert.Equal(t, balancer.NotSent, f.requireNextNotWritten(results).Status)
		})
	}
}

// A load order that has waited too long for its connection would count against a later window of the load budget.
func TestLoadOrderIsRejectedAfterItsStartBy(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	results := make(chan Result, 1)
	_, err := f.pool.Load(testFunction, 1, time.Now().Add(-time.Millisecond), time.Now().Add(time.Hour),
		func(r Result) { results <- r })
	require.NoError(t, err)
	assert.Equal(t, balancer.Rejected, f.requireNextNotWritten(results).Status)
}

// A call of which not all was written never ran: it goes to another connection, and no attempt is lost.
func TestPartiallyWrittenCallMovesToAnotherConnection(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	_, results := f.call(Attempt{ID: 7})
	f.writeNext(io.ErrClosedPipe)
	accepted := f.accept("the call moves")
	require.NoError(t, accepted.SetDeadline(time.Now().Add(10*time.Second)))
	var header [headerSize]byte
	_, err := io.ReadFull(accepted, header[:])
	require.NoError(t, err)
	assert.Equal(t, uint64(7), binary.BigEndian.Uint64(header[8:]))
	assert.Empty(t, results)
}

// The reader meets the end of a connection while the writer is in the middle of a frame. Only the writer can tell how far
// it came: if in part, the call goes elsewhere; if whole, it may have run.
func TestConnectionEndLeavesRequestBeingWrittenToItsWriter(t *testing.T) {
	t.Run("written in part", func(t *testing.T) {
		f := newPoolFixture(t, time.Minute)
		assert.Empty(t, f.endDuringWrite(func(*PendingRequest) {}, io.ErrClosedPipe))
		moved, err := readFrame(f.accept("the call moves"), markCommand)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), moved.id)
	})
	t.Run("written whole", func(t *testing.T) {
		results := newPoolFixture(t, time.Minute).endDuringWrite(func(*PendingRequest) {}, nil)
		require.Len(t, results, 1)
		assert.Equal(t, balancer.Reset, (<-results).Status)
	})
}

// The same while the call is cancelled: it ends once and goes nowhere else.
func TestRequestCancelledDuringPartialWriteIsNotMoved(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	results := f.endDuringWrite(func(request *PendingRequest) {
		assert.True(t, f.pool.Cancel(request), "some of it was written")
	}, io.ErrClosedPipe)
	assert.Empty(t, results)
	assert.Empty(t, f.pool.conns)
}

// Where calls are cancelled after 150 ms, none of them is in flight for as long as silenceLimit. Still, connections to a
// machine that was cut off must not stay in use.
func TestConsecutiveShortCallsMarkSilentConnectionStale(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	callAndCancel := func(id uint64) {
		request, _ := f.call(Attempt{ID: id})
		f.writeNext(nil)
		f.pool.Cancel(request)
		if len(f.conn.writeQueue) > 0 { // the cancellation
			f.writeNext(nil)
		}
	}
	callAndCancel(1)
	assert.Equal(t, connReady, f.conn.state, "one short call says little")
	f.conn.unansweredSince = f.conn.unansweredSince.Add(-silenceLimit)
	callAndCancel(2)
	assert.Equal(t, connStale, f.conn.state)
	f.call(Attempt{ID: 3})
	f.accept("the next call avoids the silent connection")
}

// A worker that was lost with its machine never closed its connections. An update that tells of its restart ends their use.
func TestConnectionsFromBeforeARestartAreNotUsed(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	f.pool.MarkReady(time.Duration(f.conn.createdAt.Add(-time.Second).UnixNano()))
	assert.Len(t, f.pool.conns, 1, "it was created after that start")
	f.pool.MarkReady(time.Duration(f.conn.createdAt.Add(time.Second).UnixNano()))
	require.Empty(t, f.pool.conns)
	<-f.netConn.closed
	f.call(Attempt{ID: 1})
	f.accept("the call needs a new connection")
}

// The periodic check that closes idle connections may be late. The worker then closes its end just as a call is written,
// which may have run.
func TestConnectionIdleTooLongIsNotPicked(t *testing.T) {
	f := newPoolFixture(t, time.Second)
	f.conn.lastUsed = time.Now().Add(-900 * time.Millisecond)
	f.call(Attempt{ID: 1})
	f.accept("the call needs a new connection")
	assert.Empty(t, f.conn.writeQueue)
}
