package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
)

// roomFixture is connections that hold all descriptors, and one that waits.
type roomFixture struct {
	limit *ConnLimit
	pool  *Pool
	conns []*conn
}

// holder describes a connection that holds a descriptor.
type holder struct {
	reused bool
	busy   bool
}

func newRoomFixture(t *testing.T, waitsSince time.Duration, holders ...holder) *roomFixture {
	t.Helper()
	limit := NewConnLimit(descriptors.NewShare(len(holders)))
	f := &roomFixture{limit: limit, pool: NewPool("s-1", "127.0.0.1:1", &Config{ConnLimit: limit, IdleTimeout: time.Minute, MaxStreams: 4})}
	begin := time.Now().Add(-time.Second)
	for i, h := range holders {
		c := newConn(f.pool, begin.Add(time.Duration(i)*time.Millisecond)) // the first is the one that has been idle longest
		c.netConn = newScriptedConn()
		c.answers = 1
		if h.reused {
			c.answers = reusedAnswers
		}
		if h.busy {
			c.inFlight[1] = &PendingRequest{id: 1, conn: c}
		}
		require.True(t, limit.tryAcquire(c))
		f.pool.conns = append(f.pool.conns, c)
		f.conns = append(f.conns, c)
	}
	limit.waiters.PushBack(&waiter{conn: newConn(f.pool, begin), since: time.Now().Add(-waitsSince), granted: make(chan struct{})})
	limit.waiting.Add(1)
	return f
}

// closed returns the numbers of the connections that are closed.
func (f *roomFixture) closed() (numbers []int) {
	for i, c := range f.conns {
		if c.state == connClosed {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

func TestConnectionThatMakesRoom(t *testing.T) {
	once, reused := holder{}, holder{reused: true}
	busyOnce, busyReused := holder{busy: true}, holder{reused: true, busy: true}
	const justNow, long = 0, roomRetryInterval
	for name, test := range map[string]struct {
		holders []holder
		waits   time.Duration
		closed  []int
	}{
		"idle longest of those not reused":       {[]holder{reused, busyOnce, once, once}, justNow, []int{2}},
		"none but reused ones are idle":          {[]holder{reused, busyOnce, busyOnce}, justNow, nil},
		"the same after a wait":                  {[]holder{reused, busyOnce, reused, busyOnce}, long, []int{0}},
		"not reused, also after a wait":          {[]holder{reused, once}, long, []int{1}},
		"reused ones hold most":                  {[]holder{busyReused, reused, reused, reused, once}, justNow, []int{1}},
		"reused ones hold no more than they may": {[]holder{busyReused, reused, reused, once}, justNow, []int{3}},
		"none is idle":                           {[]holder{busyReused, busyOnce}, long, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRoomFixture(t, test.waits, test.holders...)
			f.limit.makeRoom()
			assert.Equal(t, test.closed, f.closed())
		})
	}
}

// A connection that has become idle makes room at once, but for one that is reused: that stays until somebody waits for long.
func TestConnectionThatBecomesIdleMakesRoom(t *testing.T) {
	for name, test := range map[string]struct {
		holder holder
		waits  time.Duration
		closed []int
	}{
		"not reused":              {holder{busy: true}, 0, []int{0}},
		"reused":                  {holder{reused: true, busy: true}, 0, nil},
		"reused, after long wait": {holder{reused: true, busy: true}, roomRetryInterval, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRoomFixture(t, test.waits, test.holder)
			f.conns[0].finish(f.conns[0].inFlight[1], Result{})
			assert.Equal(t, test.closed, f.closed())
		})
	}
}
