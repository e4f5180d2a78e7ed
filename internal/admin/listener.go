package admin

import (
	"container/list"
	"net"
	"sync"

	"kitefall/internal/descriptors"
)

// boundedListener accepts connections without end, but holds only as many as there are descriptors in its share: the oldest
// makes room for the newest. Callers that send nothing and stay so keep nobody out.
type boundedListener struct {
	net.Listener
	share *descriptors.Share

	mu    sync.Mutex
	conns *list.List // of *boundedConn, oldest first
}

func newBoundedListener(ln net.Listener, share *descriptors.Share) *boundedListener {
	return &boundedListener{Listener: ln, share: share, conns: list.New()}
}

// Accept returns the next connection, in the place of the oldest if need be.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.share.TryAcquire() {
		l.closeOldest()
	}
	bounded := &boundedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	bounded.element = l.conns.PushBack(bounded)
	return bounded, nil
}

// closeOldest closes the oldest connection, if there is one.
func (l *boundedListener) closeOldest() {
	l.mu.Lock()
	oldest := l.conns.Front()
	l.mu.Unlock()
	if oldest != nil {
		oldest.Value.(*boundedConn).Close()
	}
}

// boundedConn is a connection that has a place with its listener until it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element
	closing  sync.Once
}

// Close closes the connection and gives its place back. It may be called more than once.
func (c *boundedConn) Close() error {
	var err error
	c.closing.Do(func() {
		err = c.Conn.Close() // which waits until the descriptor is closed
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.conns.Remove(c.element)
		c.listener.share.Release()
	})
	return err
}
