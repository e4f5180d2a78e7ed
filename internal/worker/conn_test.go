package worker

import (
	"encoding/binary"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/permit"
)

// A queued call must not be written if it may no longer start. Its status NotSent says that it never ran.
func TestQueuedCallIsNotWrittenOnceItMustNotStart(t *testing.T) {
	abandoned := false
	for name, test := range map[string]struct {
		attempt Attempt
		event   func(*Pool)
	}{
		"its client leaves":         {Attempt{Abandoned: func() bool { return abandoned }}, func(*Pool) { abandoned = true }},
		"its worker drains":         {Attempt{}, func(p *Pool) { p.MarkUnavailable(permit.WorkerStateDraining) }},
		"its worker is removed":     {Attempt{}, func(p *Pool) { p.MarkUnavailable(permit.WorkerStateRemoved) }},
		"its start time has passed": {Attempt{StartBy: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
		"its deadline has passed":   {Attempt{Deadline: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
		"its lease has ended":       {Attempt{LeaseEnd: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
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

// A load order that is written too late counts against a later window of the load budget, or reaches a worker that may be
// draining by then.
func TestLoadOrderIsRejectedAfterItsStartByOrLease(t *testing.T) {
	past, later := time.Now().Add(-time.Millisecond), time.Now().Add(time.Hour)
	for _, order := range []LoadOrder{{StartBy: past, LeaseEnd: later}, {StartBy: later, LeaseEnd: past}} {
		f := newPoolFixture(t, time.Minute)
		results := make(chan Result, 1)
		order.Function, order.Copies, order.Deadline = testFunction, 1, later
		_, err := f.pool.Load(order, func(r Result) { results <- r })
		require.NoError(t, err)
		assert.Equal(t, balancer.Rejected, f.requireNextNotWritten(results).Status)
	}
}

// A call that was written only in part never ran. It must move to another connection, so that no attempt is lost.
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

// The reader detects the end of the connection while the writer is writing a frame. Only the writer knows how much was
// written: a call written in part moves to another connection, a call written completely may have run and ends as Reset.
func TestConnectionEndLeavesRequestBeingWrittenToItsWriter(t *testing.T) {
	t.Run("written in part", func(t *testing.T) {
		f := newPoolFixture(t, time.Minute)
		assert.Empty(t, f.endDuringWrite(func(*PendingRequest) {}, io.ErrClosedPipe))
		moved, err := readFrame(f.accept("the call moves"), markCommand)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), moved.id)
	})
	t.Run("written completely", func(t *testing.T) {
		results := newPoolFixture(t, time.Minute).endDuringWrite(func(*PendingRequest) {}, nil)
		require.Len(t, results, 1)
		assert.Equal(t, balancer.Reset, (<-results).Status)
	})
}

// A call is cancelled while its frame is being written, after the reader has detected the end of the connection. The call
// must have no result and must not move to another connection.
func TestRequestCancelledDuringPartialWriteIsNotMoved(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	results := f.endDuringWrite(func(request *PendingRequest) {
		assert.True(t, f.pool.Cancel(request), "part of the call was written")
	}, io.ErrClosedPipe)
	assert.Empty(t, results)
	assert.Empty(t, f.pool.conns)
}

// If each call is cancelled after 150 ms, none is in flight for as long as silenceLimit. Connections to a machine that was
// cut off must become stale all the same.
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
	assert.Equal(t, connReady, f.conn.state, "one short call is not enough to mark the connection as stale")
	f.conn.unansweredSince = f.conn.unansweredSince.Add(-silenceLimit)
	callAndCancel(2)
	assert.Equal(t, connStale, f.conn.state)
	f.call(Attempt{ID: 3})
	f.accept("the next call avoids the silent connection")
}

// A worker that was lost with its machine never closed its connections. Once an update reports the restart of the worker,
// the connections from before it must not be used.
func TestConnectionsFromBeforeARestartAreNotUsed(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	f.pool.MarkReady(f.conn.createdAt.Add(-time.Second))
	assert.Len(t, f.pool.conns, 1, "the connection was created after the worker started")
	f.pool.MarkReady(f.conn.createdAt.Add(time.Second))
	require.Empty(t, f.pool.conns)
	<-f.netConn.closed
	f.call(Attempt{ID: 1})
	f.accept("the call needs a new connection")
}

// The periodic check that closes idle connections may be late. The worker may then close its end while a call is being
// written, and that call may have run.
func TestConnectionIdleTooLongIsNotPicked(t *testing.T) {
	f := newPoolFixture(t, time.Second)
	f.conn.lastUsed = time.Now().Add(-900 * time.Millisecond)
	f.call(Attempt{ID: 1})
	f.accept("the call needs a new connection")
	assert.Empty(t, f.conn.writeQueue)
}

// Two calls with the same id must not be in flight on one connection, since their answers could not be told apart.
func TestDuplicateIDInFlightUsesAnotherConnection(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	f.pool.config.BreakRate = NewBreakRate(1) // requests share connections
	f.call(Attempt{ID: 1})
	f.call(Attempt{ID: 2})
	assert.Len(t, f.conn.inFlight, 2)
	f.call(Attempt{ID: 1})
	f.accept("the second call with the id needs a new connection")
}

// The answer to a call may come just after the call was cancelled, and must be ignored.
func TestCancelledRequestHasNoResult(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	request, results := f.call(Attempt{ID: 1})
	assert.False(t, f.pool.Cancel(request), "nothing was written")
	f.conn.finish(request, Result{Status: balancer.OK})
	assert.Empty(t, results)
}

func TestCallMovesOnlyOnce(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	request, results := f.call(Attempt{ID: 1})
	request.moved = true
	f.writeNext(io.ErrClosedPipe)
	require.Len(t, results, 1)
	assert.Equal(t, balancer.ConnectFailed, (<-results).Status)
}

// If the worker answers on another connection, only the silent connection becomes stale.
func TestSilenceOfOneConnectionLeavesOthersInUse(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	request, _ := f.call(Attempt{ID: 1})
	f.writeNext(nil)
	other := newConn(f.pool, time.Now())
	other.netConn = newScriptedConn()
	f.pool.conns = append(f.pool.conns, other)

	request.writtenAt = time.Now().Add(-2 * silenceLimit)
	f.conn.unansweredSince = request.writtenAt
	other.recordAnswer(2, &Result{Status: balancer.OK}, time.Now())
	f.pool.Cancel(request)
	assert.Equal(t, connStale, f.conn.state)
	assert.NotEqual(t, connStale, other.state)
}

func TestClosedConnectionReleasesItsDescriptorOnce(t *testing.T) {
	f := newPoolFixture(t, time.Minute)
	share := f.pool.config.ConnLimit.share
	require.Equal(t, 1, share.InUse())
	f.conn.end(io.EOF, nil)
	f.conn.end(io.EOF, nil) // both the writer and the reader may end the connection
	assert.Zero(t, share.InUse())
}
