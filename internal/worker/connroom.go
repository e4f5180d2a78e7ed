package worker

import (
	"maps"
	"slices"
	"time"
)

const (
	minReusedAnswers  = 2    // number of answers from which a connection counts as reused
	maxReusedFraction = 0.75 // fraction of the held descriptors above which reused connections are evicted first
)

// connUsage holds the facts about a connection that eviction depends on.
type connUsage struct {
	idle     bool
	reused   bool      // more than one answer has come on the connection
	lastUsed time.Time // when a write last began or an answer last came
}

// evictIdle evicts an idle connection, if there is one, so that a waiting connection gets its descriptor. A connection with
// queued requests is not idle, so no request is lost.
//
// The choice follows a segmented LRU cache, so that single calls to many workers do not evict the connections to the workers
// that are called repeatedly. Among the connections that were not reused, the one that has been idle longest is evicted. A
// reused connection is evicted only if reused ones hold more than maxReusedFraction of the held descriptors, or if no other
// connection is idle and the first waiter has waited for at least evictRetryInterval.
func (l *ConnLimit) evictIdle() {
	l.mu.Lock()
	holders := slices.Collect(maps.Keys(l.holders))
	l.mu.Unlock()
	var notReused, reused longestIdle
	reusedCount := 0
	for _, c := range holders {
		usage := c.usage()
		if usage.reused {
			reusedCount++
			reused.consider(c, usage)
		} else {
			notReused.consider(c, usage)
		}
	}
	switch {
	case float64(reusedCount) > maxReusedFraction*float64(len(holders)):
		reused.close()
	case notReused.conn != nil:
		notReused.close()
	case l.waitOverdue():
		reused.close()
	}
}

// shouldEvict reports whether a connection that becomes idle is to be evicted at once for a waiter. A reused connection is kept
// until the first waiter has waited for evictRetryInterval.
func (l *ConnLimit) shouldEvict(reused bool) bool {
	return l.hasWaiters() && (!reused || l.waitOverdue())
}

// waitOverdue reports whether the first waiter has waited for at least evictRetryInterval, after which reused connections are
// evicted too.
func (l *ConnLimit) waitOverdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.waiters.Front()
	return first != nil && time.Since(first.Value.(*waiter).since) >= evictRetryInterval
}

// longestIdle finds the connection that has been idle longest among those passed to consider.
type longestIdle struct {
	conn     *conn // nil: no idle connection was found
	lastUsed time.Time
}

// consider keeps the connection if it is idle and has been so for longer than the one kept before.
func (i *longestIdle) consider(c *conn, usage connUsage) {
	if usage.idle && (i.conn == nil || usage.lastUsed.Before(i.lastUsed)) {
		i.conn, i.lastUsed = c, usage.lastUsed
	}
}

// close evicts the connection that was found, if there is one and it is still idle.
func (i *longestIdle) close() {
	if i.conn != nil {
		i.conn.evictIfIdle()
	}
}

// reusedLocked reports whether at least minReusedAnswers answers have come on the connection.
func (c *conn) reusedLocked() bool { return c.answerCount >= minReusedAnswers }

// usage returns the current usage of the connection.
func (c *conn) usage() connUsage {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return connUsage{idle: c.evictableLocked(), reused: c.reusedLocked(), lastUsed: c.lastUsed}
}

// evictableLocked reports whether the connection is established and idle, so that it may be evicted.
func (c *conn) evictableLocked() bool {
	return c.netConn != nil && c.state != connClosed && c.idleLocked()
}

// evictIfIdle evicts the connection, if it is still idle.
func (c *conn) evictIfIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.evictIfIdleLocked()
}

func (c *conn) evictIfIdleLocked() {
	if c.evictableLocked() {
		closedEvicted.count()
		c.closeLocked()
	}
}
