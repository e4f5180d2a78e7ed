package worker

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/channel"
	"kitefall/internal/descriptors"
)

// evictRetryInterval is the time between two attempts of a waiting connection to evict an idle one. Reused connections are kept
// until the first waiter has waited for this long, unless they hold most of the descriptors (see evictIdle).
const evictRetryInterval = 20 * time.Millisecond

// ConnLimit limits the connections of all pools together to a share of descriptors. If no descriptor is free, the first
// connection to a worker waits for one, and an idle connection to any worker is evicted: closed to free its descriptor.
// Further connections to the same worker are opened only while descriptors are free. A ConnLimit is safe for concurrent use.
//
// Lock order: the mutex of a pool is locked before that of the limit.
type ConnLimit struct {
	share   *descriptors.Share
	waiting atomic.Int64 // length of waiters, readable without the mutex

	mu      sync.Mutex
	holders map[*conn]bool // connections that hold a descriptor
	waiters *list.List     // of *waiter, in the order in which they are served
}

// waiter is a connection that waits for a descriptor.
type waiter struct {
	conn    *conn
	since   time.Time     // when the wait began
	granted chan struct{} // closed once the connection holds a descriptor
}

// NewConnLimit returns a limit backed by share. Only the pools that use the limit may take descriptors from share.
func NewConnLimit(share *descriptors.Share) *ConnLimit {
	return &ConnLimit{share: share, holders: map[*conn]bool{}, waiters: list.New()}
}

// tryAcquire acquires a descriptor for a connection without waiting. It returns false if none is free or if other connections
// already wait for one.
func (l *ConnLimit) tryAcquire(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters.Len() > 0 || !l.share.TryAcquire() {
		return false
	}
	l.holders[c] = true
	return true
}

// hasCapacity reports whether tryAcquire would currently succeed. Another pool may take the descriptor at any moment.
func (l *ConnLimit) hasCapacity() bool { return !l.hasWaiters() && l.share.HasFree() }

// acquire acquires a descriptor for c. If none is free, it evicts an idle connection, if there is one, and waits until a
// descriptor is granted, the deadline passes or c is closed. It must not be called with a pool's mutex held.
func (l *ConnLimit) acquire(c *conn, deadline time.Time) error {
	if l.tryAcquire(c) {
		return nil
	}
	w := &waiter{conn: c, since: time.Now(), granted: make(chan struct{})}
	l.mu.Lock()
	element := l.waiters.PushBack(w)
	l.waiting.Add(1)
	l.mu.Unlock()
	retry := time.NewTicker(evictRetryInterval)
	defer retry.Stop()
	for time.Now().Before(deadline) {
		l.evictIdle()
		select {
		case <-w.granted:
			return nil
		case <-retry.C:
		case <-c.closed:
			l.removeWaiter(element)
			return errPoolClosed
		}
	}
	if l.removeWaiter(element) {
		return descriptors.ErrExhausted
	}
	return nil
}

// removeWaiter removes a waiter from the queue. It returns false if the waiter was no longer in the queue because it had been
// granted a descriptor. If the waiter's connection is closed, that descriptor is released.
func (l *ConnLimit) removeWaiter(element *list.Element) bool {
	w := element.Value.(*waiter)
	l.mu.Lock()
	granted := l.holders[w.conn]
	if !granted {
		l.waiters.Remove(element)
		l.waiting.Add(-1)
	}
	l.mu.Unlock()
	if granted && channel.IsClosed(w.conn.closed) {
		l.release(w.conn)
	}
	return !granted
}

// release releases the descriptor of a connection whose socket is closed or was never opened. The descriptor goes to the first
// waiter, if there is one, else back to the share. For a connection that holds no descriptor, release has no effect.
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

// hasWaiters reports whether any connection waits for a descriptor.
func (l *ConnLimit) hasWaiters() bool { return l.waiting.Load() > 0 }
