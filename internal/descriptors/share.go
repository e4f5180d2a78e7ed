package descriptors

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/net/netutil"

	"kitefall/internal/metrics"
)

// ErrExhausted means that a share has no free descriptor. The shortage is in this process, not at the peer.
var ErrExhausted = errors.New("no file descriptor is left in the share")

// Share limits and counts the file descriptors of one holder. It is safe for concurrent use. None of its
// methods waits for a free descriptor, but the listener that Listener returns does.
type Share struct {
	limit int
	used  atomic.Int64
}

// NewShare returns a share of limit descriptors, all unused.
func NewShare(limit int) *Share { return &Share{limit: limit} }

// Limit returns the number of descriptors in the share.
func (s *Share) Limit() int { return s.limit }

// InUse returns the number of descriptors in use.
func (s *Share) InUse() int { return int(s.used.Load()) }

// HasFree reports whether a descriptor is free. Another goroutine may take it at any moment.
func (s *Share) HasFree() bool { return s.used.Load() < int64(s.limit) }

// TryAcquire takes one descriptor if one is free, and reports whether it did.
func (s *Share) TryAcquire() bool {
	for {
		used := s.used.Load()
		if used >= int64(s.limit) {
			return false
		}
		if s.used.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

// Release returns an acquired descriptor to the share. It must not be called before the descriptor is closed.
func (s *Share) Release() {
	if s.used.Add(-1) < 0 {
		metrics.Violations.Add(violationDoubleRelease)
	}
}

// violationDoubleRelease is the metrics label for descriptors that were released twice.
const violationDoubleRelease = "descriptor_released_twice"

// DialContext connects like net.Dialer, with a descriptor of the share that is released when the connection
// is closed. If no descriptor is free, it fails at once with ErrExhausted, and counts a shortage for
// discovery, because only discovery calls it.
func (s *Share) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if !s.TryAcquire() {
		metrics.Shortages.Add("discovery")
		return nil, ErrExhausted
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		s.Release()
		return nil, err
	}
	return &countedConn{Conn: conn, share: s}, nil
}

// Listener returns a listener that accepts connections of ln, and waits while all descriptors of the share
// are in use. Nothing else may take descriptors from the share.
func (s *Share) Listener(ln net.Listener) net.Listener {
	return &limitedListener{Listener: netutil.LimitListener(ln, s.limit), share: s}
}

// limitedListener accepts connections that each hold a descriptor of a share, and at most as many as the
// share has.
type limitedListener struct {
	net.Listener
	share *Share
}

// Accept waits for a free descriptor and the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.share.TryAcquire() {
		conn.Close()
		return nil, ErrExhausted
	}
	return &countedConn{Conn: conn, share: l.share}, nil
}

// countedConn is a connection that holds a descriptor of a share.
type countedConn struct {
	net.Conn
	share   *Share
	release sync.Once
}

// Close closes the connection and releases its descriptor. It may be called more than once.
func (c *countedConn) Close() error {
	err := c.Conn.Close() // returns after the descriptor is closed
	c.release.Do(c.share.Release)
	return err
}
