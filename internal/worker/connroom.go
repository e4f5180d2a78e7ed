package worker

import (
	"maps"
	"slices"
	"time"
)

const (
	reusedAnswers  = 2    // answers from which on a connection counts as reused
	maxReusedShare = 0.75 // of the descriptors, beyond which reused connections make room like others
)

// connUse is how a connection is used.
type connUse struct {
	idle     bool
	reused   bool // it has served more than one request
	lastUsed time.Time
}

// makeRoom closes an idle connection, if there is one, where another waits for its descriptor. What is on its way to a
// connection keeps it from being idle, so nothing is lost.
//
// The choice is that of a segmented LRU cache: calls that pass by many workers once do not push out the connections to the
// workers that serve. Of the connections that were not reused the one that has been idle longest is closed. A reused one is
// closed only if these hold most of the descriptors, or if a connection has waited in vain for one of the others.
func (l *ConnLimit) makeRoom() {
	l.mu.Lock()
	holders := slices.Collect(maps.Keys(l.holders))
	l.mu.Unlock()
	var once, reused longestIdle
	reusedCount := 0
	for _, c := range holders {
		use := c.use()
		if use.reused {
			reusedCount++
			reused.note(c, use)
		} else {
			once.note(c, use)
		}
	}
	switch {
	case float64(reusedCount) > maxReusedShare*float64(len(holders)):
		reused.close()
	case once.conn != nil:
		once.close()
	case l.overdue():
		reused.close()
	}
}

// wants reports whether a connection that has become idle is to be closed for another at once.
func (l *ConnLimit) wants(reused bool) bool { return l.wanted() && (!reused || l.overdue()) }

// overdue reports whether a connection has waited for its descriptor for as long as others may keep theirs for being reused.
func (l *ConnLimit) overdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.waiters.Front()
	return first != nil && time.Since(first.Value.(*waiter).since) >= roomRetryInterval
}

// longestIdle finds the connection that has been idle longest.
type longestIdle struct {
	conn     *conn // nil: none is idle
	lastUsed time.Time
}

// note takes a connection into account.
func (i *longestIdle) note(c *conn, use connUse) {
	if use.idle && (i.conn == nil || use.lastUsed.Before(i.lastUsed)) {
		i.conn, i.lastUsed = c, use.lastUsed
	}
}

// close closes the connection, if there is one and it is still idle.
func (i *longestIdle) close() {
	if i.conn != nil {
		i.conn.closeForRoom()
	}
}

// reusedLocked reports whether the connection has served more than one request.
func (c *conn) reusedLocked() bool { return c.answers >= reusedAnswers }

// use returns how the connection is used.
func (c *conn) use() connUse {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return connUse{idle: c.mayMakeRoomLocked(), reused: c.reusedLocked(), lastUsed: c.lastUsed}
}

// mayMakeRoomLocked reports whether the connection may be closed to give its descriptor to another.
func (c *conn) mayMakeRoomLocked() bool {
	return c.netConn != nil && c.state != connClosed && c.idleLocked()
}

// closeForRoom closes the connection if it is still idle.
func (c *conn) closeForRoom() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.makeRoomLocked()
}

func (c *conn) makeRoomLocked() {
	if c.mayMakeRoomLocked() {
		closedForRoom.count()
		c.closeLocked()
	}
}
