package invoke

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kitefall/internal/invocation/executor"
	"kitefall/internal/tcpstate"
)

// This file notices HTTP/1.1 clients that leave while their requests wait. Package net/http reads from the connection of a request
// in the background, and cancels the request's context at the end of the stream. But it reads only as far as the first byte of a
// further request (RFC 9112, section 9.3.2, pipelining), and does not notice a client that leaves after that. HTTP/2 connections
// are read all the time.

// departureCheckInterval is the time between two checks of the connections that net/http does not read.
const departureCheckInterval = 25 * time.Millisecond

// observableListener accepts TCP connections as observableConns.
type observableListener struct{ net.Listener }

func (l observableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &observableConn{Conn: conn, socket: raw}, nil
}

// observableConn is a connection of which it can be asked whether its client has left. It can be found by the remote address of the
// connections that wrap it. Its methods are safe for concurrent use.
type observableConn struct {
	net.Conn
	socket syscall.RawConn
	reads  atomic.Int32 // reads in progress
}

// observableAddr is the remote address of an observableConn.
type observableAddr struct {
	net.Addr
	conn *observableConn
}

func (c *observableConn) RemoteAddr() net.Addr { return observableAddr{c.Conn.RemoteAddr(), c} }

func (c *observableConn) Read(buffer []byte) (int, error) {
	c.reads.Add(1)
	defer c.reads.Add(-1)
	return c.Conn.Read(buffer)
}

// clientHasLeft reports whether the client has closed or reset the connection, as far as no read in progress will tell it.
func (c *observableConn) clientHasLeft() bool {
	return c.reads.Load() == 0 && tcpstate.PeerHasClosed(c.socket)
}

// observableConnOf returns the observableConn that conn wraps, or nil.
func observableConnOf(conn net.Conn) *observableConn {
	addr, _ := conn.RemoteAddr().(observableAddr)
	return addr.conn
}

// departureWatch cancels the contexts of waiting requests whose clients have left. Its zero value is ready for use, by several
// goroutines.
type departureWatch struct {
	mu      sync.Mutex
	waiting map[*waitingRequest]struct{} // not empty while run is running
}

// waitingRequest is a request of HTTP/1.1 that waits. Its fields are never changed.
type waitingRequest struct {
	conn   *observableConn
	cancel context.CancelCauseFunc
}

// add cancels the context of a request with executor.ErrClientLeft once its client has left, at once if it has left already. The
// caller must call remove when the request no longer waits.
func (w *departureWatch) add(r *http.Request, cancel context.CancelCauseFunc) (remove func()) {
	tracked, _ := r.Context().Value(trackedConnKey{}).(*trackedConn)
	if r.ProtoMajor != 1 || tracked == nil || tracked.observable == nil {
		return func() {}
	}
	request := &waitingRequest{tracked.observable, cancel}
	request.check()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 {
		w.waiting = map[*waitingRequest]struct{}{}
		go w.run(w.waiting)
	}
	w.waiting[request] = struct{}{}
	return func() { w.remove(request) }
}

func (w *departureWatch) remove(request *waitingRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, request)
}

// run checks the waiting requests until there are none.
func (w *departureWatch) run(waiting map[*waitingRequest]struct{}) {
	for w.check(waiting) {
		time.Sleep(departureCheckInterval)
	}
}

// check checks the waiting requests and reports whether there are any.
func (w *departureWatch) check(waiting map[*waitingRequest]struct{}) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range waiting {
		request.check()
	}
	return len(waiting) > 0
}

// check cancels the context of the request if its client has left.
func (r *waitingRequest) check() {
	if r.conn.clientHasLeft() {
		r.cancel(executor.ErrClientLeft)
	}
}
