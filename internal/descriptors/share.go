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

// ErrNone means that no descriptor was left of a share. Nobody else is to blame for it.
var ErrNone = errors.New("no descriptor is left")

// Share is the descriptors of one holder. It is safe for concurrent use, and none of its methods waits.
type Share struct {
	limit int
	used  atomic.Int64
}

// NewShare returns a share of so many descriptors, none of them in use.
func NewShare(limit int) *Share { return &Share{limit: limit} }

// Limit returns how many descriptors the share has.
func (s *Share) Limit() int { return s.limit }

// InUse returns how many are in use.
func (s *Share) InUse() int { return int(s.used.Load()) }

// HasRoom reports whether a descriptor is left, which another may take at any moment.
func (s *Share) HasRoom() bool { return s.used.Load() < int64(s.limit) }

// TryAcquire takes one descriptor and reports whether there was one left.
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

// Release gives a descriptor back that was taken. It must be called once the descriptor is closed, not before.
func (s *Share) Release() {
	if s.used.Add(-1) < 0 {
		metrics.Violations.Add(violationReleased)
	}
}

// violationReleased names descriptors that were given back twice, in metrics.
const violationReleased = "descriptor_released_twice"

// DialContext connects as net.Dialer does, with a descriptor of the share, which the connection gives back when it is closed.
// With none left it fails with ErrNone at once.
func (s *Share) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if !s.TryAcquire() {
		metrics.Shortages.Add("discovery")
		return nil, ErrNone
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		s.Release()
		return nil, err
	}
	return &sharedConn{Conn: conn, share: s}, nil
}

// Listener returns a listener that accepts as ln does, but waits until a descriptor of the share is left. It must be the only
// one who takes of the share.
func (s *Share) Listener(ln net.Listener) net.Listener {
	return &sharedListener{Listener: netutil.LimitListener(ln, s.limit), share: s}
}

// sharedListener accepts connections that each hold a descriptor of a share, and no more than the share has.
type sharedListener struct {
	net.Listener
	share *Share
}

// Accept waits for the next connection and a descriptor for it.
func (l *sharedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.share.TryAcquire() {
		conn.Close()
		return nil, ErrNone
	}
	return &sharedConn{Conn: conn, share: l.share}, nil
}

// sharedConn is a connection that holds a descriptor of a share.
type sharedConn struct {
	net.Conn
	share   *Share
	release sync.Once
}

// Close closes the connection and gives its descriptor back. It may be called more than once.
func (c *sharedConn) Close() error {
	err := c.Conn.Close() // which waits until the descriptor is closed
	c.release.Do(c.share.Release)
	return err
}
