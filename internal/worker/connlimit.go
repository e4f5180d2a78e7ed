package worker

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/channel"
	"kitefall/internal/descriptors"
)

// roomRetryInterval is how often a connection that waits for its descriptor looks again for an idle one to close.
const roomRetryInterval = 20 * time.Millisecond

// ConnLimit bounds the connections of all pools together by a share of descriptors. The first connection to a worker may take
// the place of an idle one, at whatever worker, or waits until there is room; further ones are made only while there is. It is
// safe for concurrent use.
//
// Locks are taken in this order: the mutex of a pool, that of the limit.
type ConnLimit struct {
	share   *descriptors.Share
	waiting atomic.Int64 // length of waiters

	mu      sync.Mutex
	holders map[*conn]bool // the connections that hold a descriptor
	waiters *list.List     // of *waiter, first come first served
}

// waiter is a connection that waits for its descriptor.
type waiter struct {
	conn    *conn
	since   time.Time
	granted chan struct{} // closed once it has it
}

// NewConnLimit returns a limit by a share that only the pools take from.
func NewConnLimit(share *descriptors.Share) *ConnLimit {
	return &ConnLimit{share: share, holders: map[*conn]bool{}, waiters: list.New()}
}

// tryAcquire takes a descriptor for a connection and reports whether there was one left that nobody waits for.
func (l *ConnLimit) tryAcquire(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters.Len() > 0 || !l.share.TryAcquire() {
		return false
	}
	l.holders[c] = true
	return true
}

// hasRoom reports whether a descriptor is likely to be granted at once.
func (l *ConnLimit) hasRoom() bool { return !l.wanted() && l.share.HasRoom() }

// acquire takes a descriptor for a connection. It has an idle connection closed if none is left, and waits until the deadline,
// or until c is closed. It must not be called with a pool's mutex held.
func (l *ConnLimit) acquire(c *conn, deadline time.Time) error {
	if l.tryAcquire(c) {
		return nil
	}
	w := &waiter{conn: c, since: time.Now(), granted: make(chan struct{})}
	l.mu.Lock()
	place := l.waiters.PushBack(w)
	l.waiting.Add(1)
	l.mu.Unlock()
	retry := time.NewTicker(roomRetryInterval)
	defer retry.Stop()
	for time.Now().Before(deadline) {
		l.makeRoom()
		select {
		case <-w.granted:
			return nil
		case <-retry.C:
		case <-c.closed:
			l.giveUp(place)
			return errPoolClosed
		}
	}
	if l.giveUp(place) {
		return descriptors.ErrNone
	}
	return nil
}

// giveUp takes a waiter out of the queue and reports whether it was there: else it has its descriptor. One that is closed
// gives that back.
func (l *ConnLimit) giveUp(place *list.Element) bool {
	w := place.Value.(*waiter)
	l.mu.Lock()
	granted := l.holders[w.conn]
	if !granted {
		l.waiters.Remove(place)
		l.waiting.Add(-1)
	}
	l.mu.Unlock()
	if granted && channel.IsClosed(w.conn.closed) {
		l.release(w.conn)
	}
	return !granted
}

// release gives back the descriptor of a connection, which must be closed by now, or hands it to the first that waits. It has
// no effect for a connection without one.
func (l *ConnLimit) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holders[c] {
		return
	}
	delete(l.holders, c)
	first := l.waiters.Front()
	if first == nil {
		l.share.Release()
		return
	}
	w := l.waiters.Remove(first).(*waiter)
	l.waiting.Add(-1)
	l.holders[w.conn] = true
	close(w.granted)
}

// wanted reports whether a connection waits for its descriptor.
func (l *ConnLimit) wanted() bool { return l.waiting.Load() > 0 }
