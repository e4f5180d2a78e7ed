package resp

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
	"kitefall/internal/drain"
	"kitefall/internal/tcptest"
)

// On a busy machine a request may wait unread in the socket. A connection with an unread or unhandled request must not be closed
// as idle, for any reason: the request would be lost.
func TestConnectionWithUnreadRequestIsNotClosedAsIdle(t *testing.T) {
	for _, reason := range []closeReason{closedWhenDraining, closedForNewConn, closedOnAcceptError, closedTimedOut} {
		client, accepted := tcptest.Pair(t)
		s := &Server{DrainState: drain.New(drain.Schedule{}, drain.Schedule{}), descriptors: descriptors.NewShare(4)}
		s.init()
		require.True(t, s.descriptors.TryAcquire())
		conn := s.track(accepted)
		_, err := client.Write([]byte(checkRequest))
		require.NoError(t, err)
		require.Eventually(t, conn.HasUnread, 10*time.Second, time.Millisecond)
		assert.False(t, conn.closeIfIdle(reason), reason)
		_, err = conn.Read(make([]byte, 4096))
		require.NoError(t, err)
		assert.False(t, conn.closeIfIdle(reason), "the request was read but not handled yet")
		conn.unhandled.Add(-1)
		assert.True(t, conn.closeIfIdle(reason))
		assert.Zero(t, s.OpenConns())
		assert.Zero(t, s.descriptors.InUse(), "the descriptor must be released on close")
	}
}

// A connection is not stalled just because the acknowledgement of its first answer takes longer than the time between two sweeps, as
// over a slow network.
func TestConnectionIsNotStalledBeforeItsFirstAcknowledgement(t *testing.T) {
	_, accepted := tcptest.Pair(t)
	s := &Server{DrainState: drain.New(drain.Schedule{}, drain.Schedule{}), descriptors: descriptors.NewShare(4)}
	s.init()
	conn := s.track(accepted)
	assert.Less(t, conn.stalledFor(time.Now()), time.Second)
	now := conn.acceptedAt.Add(time.Minute)
	conn.lingeringSince = now.Add(-time.Millisecond)
	assert.Equal(t, time.Millisecond, conn.stalledFor(now))
	conn.lastProgress = now
	assert.Zero(t, conn.stalledFor(now))
}

// Connections without a request are evicted first, then those that have been idle longest. Connections without a request that
// were accepted less than NewConnGrace ago are evicted last, because their first request may be on its way.
func TestIdleConnectionCloseOrder(t *testing.T) {
	now, timeouts := time.Now(), DefaultTimeouts
	ago := func(age time.Duration) time.Time { return now.Add(-age) }
	newConn := timeouts.newIdleConn(nil, true, ago(timeouts.NewConnGrace/2), now)
	newestConn := timeouts.newIdleConn(nil, true, now, now)
	noRequest := timeouts.newIdleConn(nil, true, ago(2*timeouts.NewConnGrace), now)
	longNoRequest := timeouts.newIdleConn(nil, true, ago(time.Minute), now)
	idle := timeouts.newIdleConn(nil, false, ago(timeouts.NewConnGrace), now)
	longIdle := timeouts.newIdleConn(nil, false, ago(time.Second), now)
	conns := []idleConn{newestConn, idle, noRequest, newConn, longIdle, longNoRequest}
	slices.SortFunc(conns, idleConn.compare)
	assert.Equal(t, []idleConn{longNoRequest, noRequest, longIdle, idle, newConn, newestConn}, conns)
}
