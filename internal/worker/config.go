package worker

import "time"

const (
	// idleCloseFraction is the fraction of Config.IdleTimeout after which the dispatcher closes an idle connection. The
	// dispatcher closes first because a call written while the worker closes the connection may have run, and then
	// cannot be retried safely.
	idleCloseFraction = 0.8

	// idleChecksPerTimeout is the number of idle checks in the time after which an idle connection is closed.
	idleChecksPerTimeout = 8
	minIdleCheckInterval = 10 * time.Millisecond

	// writeQueuePerStream is the capacity of a connection's write queue, as a multiple of Config.MaxStreams. The queue holds
	// cancellations as well as the requests in flight.
	writeQueuePerStream = 4
)

// Config holds the settings and limits that all pools share. It must not change while a pool uses it.
type Config struct {
	DialTimeout time.Duration // longest time from the start of a dial until the connection is established
	IdleTimeout time.Duration // workers close a connection that has been idle for this long
	MaxStreams  int           // maximum number of requests in flight on one connection
	MaxConns    int           // maximum number of connections to one worker
	ConnLimit   *ConnLimit    // limit on the connections to all workers together
	BreakRate   *BreakRate    // break rate of the connections to all workers; nil: requests share a connection only at a limit
	// PeerGone is called with the uid of a worker whose process may have ended: nothing listens at its address, or its last
	// connection was closed by the worker or reset. It is called from any goroutine, without locks held. It may be nil.
	PeerGone func(uid string)
}

// idleCloseAfter returns how long a connection may be idle before the dispatcher closes it.
func (c *Config) idleCloseAfter() time.Duration {
	return time.Duration(idleCloseFraction * float64(c.IdleTimeout))
}

// idleCheckInterval returns the time between two checks for idle connections.
func (c *Config) idleCheckInterval() time.Duration {
	return max(c.idleCloseAfter()/idleChecksPerTimeout, minIdleCheckInterval)
}

// writeQueueSize returns how many frames may wait to be written to one connection.
func (c *Config) writeQueueSize() int { return writeQueuePerStream * c.MaxStreams }
