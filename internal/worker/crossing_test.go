package worker

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
)

// held is a connection whose writes the test carries out: each waits for how it is to end.
type held struct {
	net.Conn
	began chan []byte
	ends  chan error // nil: the frame was written whole
	once  sync.Once
	shut  chan struct{}
}

func newHeld() *held {
	return &held{began: make(chan []byte, 8), ends: make(chan error, 8), shut: make(chan struct{})}
}

func (h *held) Write(p []byte) (int, error) {
	h.began <- p
	if err := <-h.ends; err != nil {
		return len(p) / 2, err
	}
	return len(p), nil
}
func (h *held) SetWriteDeadline(time.Time) error { return nil }
func (h *held) Close() error                     { h.once.Do(func() { close(h.shut) }); return nil }

// crossing is a link with one connection that the test writes to by itself, step by step.
type crossing struct {
	t    *testing.T
	link *Pool
	net  *held
	conn *conn
	next net.Listener // where further connections go
}

func newCrossing(t *testing.T, c Config) *crossing {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(time.Now().Add(10*time.Second)))
	c.DialTimeout, c.MaxStreams, c.MaxConns, c.ConnLimit = 5*time.Second, 32, 4, NewConnLimit(8)
	if c.IdleTimeout == 0 {
		c.IdleTimeout = time.Minute
	}
	x := &crossing{t: t, link: NewPool("s-1", ln.Addr().String(), &c), net: newHeld(), next: ln}
	t.Cleanup(x.link.Close)
	now := time.Now()
	x.conn = &conn{link: x.link, net: x.net, out: make(chan *PendingRequest, 8), closed: make(chan struct{}), open: map[uint64]*PendingRequest{},
		spent: map[uint64]time.Time{}, made: now, since: now}
	x.link.conns = append(x.link.conns, x.conn)
	return x
}

func (x *crossing) call(a Attempt) (*PendingRequest, chan Result) {
	ended := make(chan Result, 2)
	a.Class, a.Function = "reserva", "7f3a9c21e0b4d655"
	if a.Deadline.IsZero() {
		a.Deadline = time.Now().Add(time.Hour)
	}
	j, err := x.link.Call(a, func(r Result) { ended <- r })
	require.NoError(x.t, err)
	return j, ended
}

// turn has the writer take the next job from its queue. Nothing may reach the wire of it.
func (x *crossing) turn() {
	x.net.ends <- nil
	x.conn.write(<-x.conn.out)
	select {
	case p := <-x.net.began:
		assert.Fail(x.t, "written", "%q", p)
	default:
	}
}

// A call waits in the queue of a connection. What comes before its first byte keeps it from the wire, and it is known
// that it never ran.
func TestWhatComesBeforeTheFirstByteStopsIt(t *testing.T) {
	over := false
	for name, c := range map[string]struct {
		Attempt
		comes func(*Pool)
	}{
		"its client leaves":            {Attempt{Abandoned: func() bool { return over }}, func(*Pool) { over = true }},
		"its worker drains":            {Attempt{}, func(l *Pool) { l.MarkUnavailable(false) }},
		"its worker is gone":           {Attempt{}, func(l *Pool) { l.MarkUnavailable(true) }},
		"its key's window is over":     {Attempt{StartBy: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
		"nobody waits for it any more": {Attempt{Deadline: time.Now().Add(-time.Millisecond)}, func(*Pool) {}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCrossing(t, Config{})
			c.ID = 1
			_, ended := x.call(c.Attempt)
			c.comes(x.link)
			x.turn()
			require.Len(t, ended, 1)
			assert.Equal(t, balancer.NotSent, (<-ended).Status)
		})
	}
}

// An order that has waited too long for its connection would count in a window of the ration that has no room for it.
func TestOrderThatBeginsTooLateDoesNotBegin(t *testing.T) {
	x := newCrossing(t, Config{})
	ended := make(chan Result, 1)
	_, err := x.link.Load("7f3a9c21e0b4d655", 1, time.Now().Add(-time.Millisecond), time.Now().Add(time.Hour),
		func(r Result) { ended <- r })
	require.NoError(t, err)
	x.turn()
	require.Len(t, ended, 1)
	assert.Equal(t, balancer.Rejected, (<-ended).Status)
}

// cut has the reader meet the end of the connection while the writer is in the middle of a call's frame, which ends then.
func (x *crossing) cut(between func(*PendingRequest), ends error) chan Result {
	j, ended := x.call(Attempt{ID: 7})
	written := make(chan bool)
	go func() { x.conn.write(<-x.conn.out); close(written) }()
	<-x.net.began
	x.conn.end(io.EOF, nil)
	between(j)
	x.net.ends <- ends
	<-written
	return ended
}

// The reader meets the end of a connection while the writer is in the middle of a frame. How far that came only the
// writer knows: in part, and the call goes elsewhere; whole, and it may have run. A reserva was lost by the guess.
func TestEndThatCrossesAFrameLeavesItToItsWriter(t *testing.T) {
	t.Run("written in part", func(t *testing.T) {
		x := newCrossing(t, Config{})
		assert.Empty(t, x.cut(func(*PendingRequest) {}, io.ErrClosedPipe))
		c, err := x.next.Accept()
		require.NoError(t, err)
		defer c.Close()
		f, err := readFrame(c, markCommand)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), f.id)
	})
	t.Run("written whole", func(t *testing.T) {
		ended := newCrossing(t, Config{}).cut(func(*PendingRequest) {}, nil)
		require.Len(t, ended, 1)
		assert.Equal(t, balancer.Reset, (<-ended).Status)
	})
}

// The same while its client gives it up: it ends once, by whoever came first, and goes nowhere else.
func TestGivenUpWhileItsFrameIsCutIsNotMoved(t *testing.T) {
	x := newCrossing(t, Config{})
	ended := x.cut(func(j *PendingRequest) { assert.True(t, x.link.Cancel(j), "some of it was written") }, io.ErrClosedPipe)
	assert.Empty(t, ended)
	assert.Empty(t, x.link.conns)
}

// Where calls are given up after 150 ms, none of them is out for half a second: connections to a machine that was cut off
// stayed in use, and its trials went there for ever.
func TestShortCallsInARowTellOfASilentConnection(t *testing.T) {
	x := newCrossing(t, Config{})
	lose := func(id uint64) {
		j, _ := x.call(Attempt{ID: id})
		x.net.ends <- nil
		x.conn.write(<-x.conn.out)
		x.link.Cancel(j)
		if len(x.conn.out) > 0 { // the word to the worker that it is given up
			x.net.ends <- nil
			x.conn.write(<-x.conn.out)
		}
	}
	lose(1)
	assert.False(t, x.conn.stale, "one short call says little")
	x.conn.owes = x.conn.owes.Add(-silence) // half a second later
	lose(2)
	assert.True(t, x.conn.stale)
	_, _ = x.call(Attempt{ID: 3})
	c, err := x.next.Accept()
	require.NoError(t, err, "the next call goes by the silent connection")
	c.Close()
}

// A worker that was lost with its machine never closed its connections. Word of its new start ends their use.
func TestConnectionsToAnEarlierRunAreNotUsed(t *testing.T) {
	x := newCrossing(t, Config{})
	x.link.MarkReady(time.Duration(x.conn.made.Add(-time.Second).UnixNano()))
	assert.Len(t, x.link.conns, 1, "it was made after that start")
	x.link.MarkReady(time.Duration(x.conn.made.Add(time.Second).UnixNano()))
	require.Empty(t, x.link.conns)
	<-x.net.shut
	x.call(Attempt{ID: 1})
	c, err := x.next.Accept()
	require.NoError(t, err)
	c.Close()
}

// The tick that closes idle connections may be late. The worker then closes just as a call is written, which may have run.
func TestConnectionIdleForTooLongIsNotChosen(t *testing.T) {
	x := newCrossing(t, Config{IdleTimeout: time.Second})
	x.conn.since = time.Now().Add(-900 * time.Millisecond)
	x.call(Attempt{ID: 1})
	c, err := x.next.Accept()
	require.NoError(t, err)
	c.Close()
	assert.Empty(t, x.conn.out)
}
