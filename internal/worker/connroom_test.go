package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
)

// evictionFixture is a limit whose descriptors are all held by conns, with one more connection that waits for a descriptor.
type evictionFixture struct {
	limit *ConnLimit
	pool  *Pool
	conns []*conn
}

// holder describes a connection that holds a descriptor. It is idle unless busy is set.
type holder struct {
	reused bool
	busy   bool
}

func newEvictionFixture(t *testing.T, waited time.Duration, holders ...holder) *evictionFixture {
	t.Helper()
	limit := NewConnLimit(descriptors.NewShare(len(holders)))
	f := &evictionFixture{limit: limit, pool: NewPool("s-1", "127.0.0.1:1", &Config{ConnLimit: limit, IdleTimeout: time.Minute, MaxStreams: 4})}
	begin := time.Now().Add(-time.Second)
	for i, h := range holders {
		c := newConn(f.pool, begin.Add(time.Duration(i)*time.Millisecond)) // the first connection has been idle longest
		c.netConn = newScriptedConn()
		c.answerCount = 1
		if h.reused {
			c.answerCount = minReusedAnswers
		}
		if h.busy {
			c.inFlight[1] = &PendingRequest{id: 1, conn: c}
		}
		require.True(t, limit.tryAcquire(c))
		f.pool.conns = append(f.pool.conns, c)
		f.conns = append(f.conns, c)
	}
	limit.waiters.PushBack(&waiter{conn: newConn(f.pool, begin), since: time.Now().Add(-waited), granted: make(chan struct{})})
	limit.waiting.Add(1)
	return f
}

// closed returns the indexes in conns of the closed connections.
func (f *evictionFixture) closed() (indexes []int) {
	for i, c := range f.conns {
		if c.state == connClosed {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func TestEvictIdle(t *testing.T) {
	notReused, reused := holder{}, holder{reused: true}
	busyNotReused, busyReused := holder{busy: true}, holder{reused: true, busy: true}
	const justNow, long = 0, evictRetryInterval
	for name, test := range map[string]struct {
		holders []holder
		waited  time.Duration
		closed  []int
	}{
		"longest idle of those not reused":                {[]holder{reused, busyNotReused, notReused, notReused}, justNow, []int{2}},
		"only reused ones are idle":                       {[]holder{reused, busyNotReused, busyNotReused}, justNow, nil},
		"only reused ones are idle, after a long wait":    {[]holder{reused, busyNotReused, reused, busyNotReused}, long, []int{0}},
		"not reused, also after a long wait":              {[]holder{reused, notReused}, long, []int{1}},
		"reused ones hold more than maxReusedFraction":    {[]holder{busyReused, reused, reused, reused, notReused}, justNow, []int{1}},
		"reused ones hold no more than maxReusedFraction": {[]holder{busyReused, reused, reused, notReused}, justNow, []int{3}},
		"none is idle": {[]holder{busyReused, busyNotReused}, long, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEvictionFixture(t, test.waited, test.holders...)
			f.limit.evictIdle()
			assert.Equal(t, test.closed, f.closed())
		})
	}
}

// A connection that becomes idle must be evicted at once if another connection waits for a descriptor. A reused connection must
// be kept until the other has waited for evictRetryInterval.
func TestConnectionThatBecomesIdleIsEvicted(t *testing.T) {
	for name, test := range map[string]struct {
		holder holder
		waited time.Duration
		closed []int
	}{
		"not reused":                {holder{busy: true}, 0, []int{0}},
		"reused":                    {holder{reused: true, busy: true}, 0, nil},
		"reused, after a long wait": {holder{reused: true, busy: true}, evictRetryInterval, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEvictionFixture(t, test.waited, test.holder)
			f.conns[0].finish(f.conns[0].inFlight[1], Result{})
			assert.Equal(t, test.closed, f.closed())
		})
	}
}
