package admin

import (
	"container/list"
	"net"
	"sync"
)

// boundedListener accepts connections without end, but holds so many at most: the oldest makes room for the newest. Callers
// that send nothing and stay so keep nobody out.
type boundedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns *list.List // of *boundedConn, oldest first
}

func newBoundedListener(ln net.Listener, maxConns int) *boundedListener {
	return &boundedListener{Listener: ln, maxConns: maxConns, conns: list.New()}
}

// Accept returns the next connection, once there is a place for it.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if oldest := l.oldestBeyond(l.maxConns - 1); oldest != nil {
		oldest.Close()
	}
	bounded := &boundedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	bounded.element = l.conns.PushBack(bounded)
	return bounded, nil
}

// oldestBeyond returns the oldest connection if there are more than so many, else nil.
func (l *boundedListener) oldestBeyond(limit int) *boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns.Len() <= limit {
		return nil
	}
	return l.conns.Front().Value.(*boundedConn)
}

// boundedConn is a connection that has a place with its listener until it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element
}

// Close closes the connection and gives its place back. It may be called more than once.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.conns.Remove(c.element) // no effect the second time
	return err
}
