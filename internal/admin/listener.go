package admin

import (
	"container/list"
	"net"
	"sync"

	"kitefall/internal/descriptors"
	"kitefall/internal/gatedconn"
)

// boundedListener accepts every incoming connection, but keeps at most as many open as its share has descriptors. When none is
// free, it evicts the oldest of the connections with the lowest activity: it closes that connection to free its descriptor. HTTP
// clients that send nothing, or only part of a request, and stay connected therefore cannot block new clients, nor cause the
// request of another client to be reset.
type boundedListener struct {
	net.Listener
	share *descriptors.Share

	mu    sync.Mutex
	conns *list.List // of *boundedConn, oldest first
}

func newBoundedListener(ln net.Listener, share *descriptors.Share) *boundedListener {
	return &boundedListener{Listener: ln, share: share, conns: list.New()}
}

// Accept returns the next connection. While no descriptor of the share is free, it evicts open connections.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.share.TryAcquire() {
		l.evictOne()
	}
	bounded := &boundedConn{listener: l}
	bounded.Conn = gatedconn.New(conn, bounded.request.observe)
	l.mu.Lock()
	defer l.mu.Unlock()
	bounded.element = l.conns.PushBack(bounded)
	return bounded, nil
}

// evictOne evicts the oldest of the connections with the lowest activity. It does nothing if no connection is open.
func (l *boundedListener) evictOne() {
	conns := l.openConns()
	for activity := activityNone; activity <= activityRequestRead; activity++ {
		for _, conn := range conns {
			if conn.closeIfAtMost(activity) {
				return
			}
		}
	}
}

// openConns returns the open connections, oldest first.
func (l *boundedListener) openConns() []*boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*boundedConn, 0, l.conns.Len())
	for element := l.conns.Front(); element != nil; element = element.Next() {
		conns = append(conns, element.Value.(*boundedConn))
	}
	return conns
}

// connActivity ranks the open connections for eviction: connections with a lower value are evicted first.
type connActivity int

const (
	activityNone        connActivity = iota // all received data was read, and it holds no complete request
	activityUnread                          // received data was not read yet
	activityRequestRead                     // a complete request was read; its answer needs nothing more from the client
)

// boundedConn is a connection that holds a descriptor of its listener's share until it is closed.
type boundedConn struct {
	*gatedconn.Conn
	listener *boundedListener
	request  requestEndDetector
	element  *list.Element
	closing  sync.Once
}

// closeIfAtMost closes the connection unless its activity is above the limit, and reports whether it closed the connection.
func (c *boundedConn) closeIfAtMost(limit connActivity) bool {
	closing := c.StopReadingIf(func(unread bool) bool { return c.activity(unread) <= limit })
	if closing {
		c.Close()
	}
	return closing
}

// activity returns the activity of the connection. It must not be called while data is being read; StopReadingIf ensures that.
func (c *boundedConn) activity(unread bool) connActivity {
	switch {
	case c.request.complete:
		return activityRequestRead
	case unread:
		return activityUnread
	default:
		return activityNone
	}
}

// Close closes the connection and releases its descriptor. It may be called more than once.
func (c *boundedConn) Close() error {
	var err error
	c.closing.Do(func() {
		err = c.Conn.Close() // returns only after the descriptor is closed
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.conns.Remove(c.element)
		c.listener.share.Release()
	})
	return err
}

// headerEnd ends the header of a request. The requests have no body (source: RFC 9112).
const headerEnd = "\r\n\r\n"

// requestEndDetector finds the end of the request on a connection. Its method observe gets all bytes in the order in which they
// are read.
type requestEndDetector struct {
	matched  int  // how many bytes of headerEnd the data ends with
	complete bool // the data holds a complete request
}

func (r *requestEndDetector) observe(data []byte) error {
	for _, b := range data {
		r.match(b)
	}
	return nil
}

func (r *requestEndDetector) match(b byte) {
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
