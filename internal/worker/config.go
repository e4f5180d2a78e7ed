package worker

import "time"

const (
	// idleCloseFraction is the part of Config.IdleTimeout after which the dispatcher closes an idle connection. It does
	// so sooner than the worker, since a call that crosses the worker's close may have run and could not be repeated.
	idleCloseFraction = 0.8

	// idleChecksPerTimeout is how often an idle connection is looked at before it is closed.
	idleChecksPerTimeout = 8
	minIdleCheckInterval = 10 * time.Millisecond

	// writeQueuePerStream is the length of a connection's write queue, in parts of Config.MaxStreams: beside the requests
	// in flight it holds cancellations.
	writeQueuePerStream = 4
)

// Config is what all pools share. It must not change while a pool uses it.
type Config struct {
	DialTimeout time.Duration // a connection not established by then has failed
	IdleTimeout time.Duration // workers close idle connections after this
	MaxStreams  int           // requests in flight on one connection
	MaxConns    int           // connections to one worker
	ConnLimit   *ConnLimit    // on connections to all workers
	BreakRate   *BreakRate    // of connections to all workers; nil: requests never share a connection needlessly
	// PeerGone is told the uid of a worker at whose address nothing listens, or whose last connection was closed there: its
	// process may have ended. It is called from any goroutine, without locks held; nil: nobody is told.
	PeerGone func(uid string)
}

// idleCloseAfter is how long a connection may be idle before the dispatcher closes it.
func (c *Config) idleCloseAfter() time.Duration {
	return time.Duration(idleCloseFraction * float64(c.IdleTimeout))
}

// idleCheckInterval is the time between two looks at the idle connections.
func (c *Config) idleCheckInterval() time.Duration {
	return max(c.idleCloseAfter()/idleChecksPerTimeout, minIdleCheckInterval)
}

// writeQueueSize is how many frames may wait for a connection.
func (c *Config) writeQueueSize() int { return writeQueuePerStream * c.MaxStreams }
