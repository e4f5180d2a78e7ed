package admin

import (
	"container/list"
	"net"
	"sync"

	"kitefall/internal/descriptors"
	"kitefall/internal/gatedconn"
)

// boundedListener accepts connections without end, but holds only as many as there are descriptors in its share: the newest
// takes the place of the oldest on which nothing is under way. Callers that send nothing and stay so keep nobody out, and
// have no call reset that another has made.
type boundedListener struct {
	net.Listener
	share *descriptors.Share

	mu    sync.Mutex
	conns *list.List // of *boundedConn, oldest first
}

func newBoundedListener(ln net.Listener, share *descriptors.Share) *boundedListener {
	return &boundedListener{Listener: ln, share: share, conns: list.New()}
}

// Accept returns the next connection, in the place of another if need be.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.share.TryAcquire() {
		l.closeOne()
	}
	bounded := &boundedConn{listener: l}
	bounded.Conn = gatedconn.New(conn, bounded.call.observe)
	l.mu.Lock()
	defer l.mu.Unlock()
	bounded.element = l.conns.PushBack(bounded)
	return bounded, nil
}

// closeOne closes the oldest connection of those that matter least, if there is one.
func (l *boundedListener) closeOne() {
	conns := l.open()
	for use := useNone; use <= useAnswered; use++ {
		for _, conn := range conns {
			if conn.closeIfAtMost(use) {
				return
			}
		}
	}
}

// open returns the connections that are open, oldest first.
func (l *boundedListener) open() []*boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*boundedConn, 0, l.conns.Len())
	for element := l.conns.Front(); element != nil; element = element.Next() {
		conns = append(conns, element.Value.(*boundedConn))
	}
	return conns
}

// connUse is what a connection is in use for: lower ones make room first.
type connUse int

const (
	useNone     connUse = iota // it has sent nothing, or half a call, and all was read
	useUnread                  // bytes have come that were not read yet
	useAnswered                // its call was read whole, and its answer comes by itself
)

// boundedConn is a connection that has a place with its listener until it is closed.
type boundedConn struct {
	*gatedconn.Conn
	listener *boundedListener
	call     callReader
	element  *list.Element
	closing  sync.Once
}

// closeIfAtMost closes the connection unless it is in use for more, and reports whether it did.
func (c *boundedConn) closeIfAtMost(most connUse) bool {
	closing := c.StopReadingIf(func(unread bool) bool { return c.use(unread) <= most })
	if closing {
		c.Close()
	}
	return closing
}

// use returns what the connection is in use for. It is called while nothing is read.
func (c *boundedConn) use(unread bool) connUse {
	switch {
	case c.call.complete:
		return useAnswered
	case unread:
		return useUnread
	default:
		return useNone
	}
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

// headerEnd ends the header of a call, which has no body (source: RFC 9112).
const headerEnd = "\r\n\r\n"

// callReader finds the end of a connection's call. It is told of the bytes as they are read.
type callReader struct {
	matched  int // how much of headerEnd the last bytes were
	complete bool
}

func (r *callReader) observe(data []byte) error {
	for _, b := range data {
		r.match(b)
	}
	return nil
}

func (r *callReader) match(b byte) {
	switch {
	case b == headerEnd[r.matched]:
		r.matched++
	case b == headerEnd[0]:
		r.matched = 1
	default:
		r.matched = 0
	}
	if r.matched == len(headerEnd) {
		r.complete = true
		r.matched = 0
	}
}
