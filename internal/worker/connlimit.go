package worker

import "sync/atomic"

// ConnLimit bounds the connections of all pools together. The first connection of each pool is always allowed: without
// it a worker could not be reached at all. It is safe for concurrent use.
type ConnLimit struct{ available atomic.Int64 }

// NewConnLimit returns a limit of so many connections.
func NewConnLimit(connections int) *ConnLimit {
	limit := &ConnLimit{}
	limit.available.Store(int64(connections))
	return limit
}

// acquire takes one connection and reports whether it may be opened. The first one of a pool always may, which can make
// the number of available ones negative.
func (l *ConnLimit) acquire(first bool) bool {
	if l.available.Add(-1) >= 0 || first {
		return true
	}
	l.available.Add(1)
	return false
}

// release gives back a connection that was acquired.
func (l *ConnLimit) release() { l.available.Add(1) }
