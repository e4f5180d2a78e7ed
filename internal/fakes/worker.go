// Package fakes holds scripted peers for tests over loopback: workers, a core that knows them, and an authority that
// issues identities. The test says, call by call, what a worker does with it; nothing waits for a clock.
package fakes

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// waitLimit is how long a test waits for something before it fails.
const waitLimit = 10 * time.Second

// channelSize is how many calls or cancellations a worker holds that the test has not taken yet.
const channelSize = 64

// Deadline returns the time at which a test that waits for something from now on gives up.
func Deadline() time.Time { return time.Now().Add(waitLimit) }

// Receive returns what arrives at a channel. If nothing does in time, the test fails and the
// zero value is returned.
func Receive[T any](t testing.TB, from <-chan T) (received T) {
	t.Helper()
	select {
	case received = <-from:
	case <-time.After(waitLimit):
		assert.Fail(t, "nothing was received in time")
	}
	return received
}

// Worker listens like a worker. It answers load orders at once; calls wait for the test. Its methods are safe for
// concurrent use.
type Worker struct {
	Addr      string
	Calls     chan *Call  // calls that have arrived completely
	Cancelled chan uint64 // ids of calls that the dispatcher has cancelled

	t        testing.TB
	listener net.Listener

	mu             sync.Mutex
	callCounts     map[string]int  // by body
	loaded         map[string]bool // functions; nil: every function is loaded
	loadOrderTimes []time.Time
}

// NewWorker starts a worker, which accepts connections until the test ends.
func NewWorker(t testing.TB) *Worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &Worker{
		Addr:       listener.Addr().String(),
		Calls:      make(chan *Call, channelSize),
		Cancelled:  make(chan uint64, channelSize),
		t:          t,
		listener:   listener,
		callCounts: map[string]int{},
	}
	t.Cleanup(w.StopListening)
	go w.accept()
	return w
}

// accept serves connections until the listener is closed.
func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

// serveConn reads frames until the peer closes the connection or a call resets it.
func (w *Worker) serveConn(conn net.Conn) {
	defer conn.Close()
	for {
		code, received, err := readFrame(conn)
		if err != nil {
			return
		}
		switch code {
		case codeCall:
			w.onCall(received)
		case codeCancel:
			w.Cancelled <- received.ID
		case codeLoad:
			w.onLoad(received)
		}
	}
}

// onCall counts a call and passes it to the test, or answers with a miss where its function is not loaded.
func (w *Worker) onCall(received *Call) {
	if !w.countIfLoaded(received) {
		received.Answer(CodeMiss, "", "")
		return
	}
	w.Calls <- received
}

// countIfLoaded counts a call and reports true if its function is loaded.
func (w *Worker) countIfLoaded(received *Call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded != nil && !w.loaded[received.field(fieldFunction)] {
		return false
	}
	w.callCounts[received.Body]++
	return true
}

// onLoad carries out a load order and answers it.
func (w *Worker) onLoad(received *Call) {
	w.mu.Lock()
	w.loadOrderTimes = append(w.loadOrderTimes, time.Now())
	if w.loaded != nil {
		w.loaded[received.field(fieldFunction)] = true
	}
	w.mu.Unlock()
	received.Answer(CodeOK, fieldCopies+"=1", "")
}

// UnloadAll unloads all functions: from now on the worker answers calls with a miss until a load order has come.
func (w *Worker) UnloadAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = map[string]bool{}
}

// LoadOrderTimes returns the times at which load orders have come.
func (w *Worker) LoadOrderTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loadOrderTimes)
}

// CallCount returns how many calls with the body have arrived for a loaded function.
func (w *Worker) CallCount(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callCounts[body]
}

// Serve passes each call to answer, one at a time, until the test binary ends.
func (w *Worker) Serve(answer func(*Call)) {
	go func() {
		for received := range w.Calls {
			answer(received)
		}
	}()
}

// Next returns the next call to arrive. The test fails if none does.
func (w *Worker) Next() *Call {
	w.t.Helper()
	select {
	case received := <-w.Calls:
		return received
	case <-time.After(waitLimit):
		require.FailNow(w.t, "no call came to the worker")
		return nil
	}
}

// StopListening has further connections refused. Those that were accepted stay open.
func (w *Worker) StopListening() { w.listener.Close() }

// FirstCallAtEither returns the next call to arrive at one of two workers, and the other worker. The test fails if none
// does.
func FirstCallAtEither(a, b *Worker) (*Call, *Worker) {
	a.t.Helper()
	select {
	case received := <-a.Calls:
		return received, b
	case received := <-b.Calls:
		return received, a
	case <-time.After(waitLimit):
		require.FailNow(a.t, "no call came to either worker")
		return nil, nil
	}
}

// Call is a call that has arrived at a Worker.
type Call struct {
	ID     uint64
	Fields string // as the frame has them: "name=value,name=value"
	Body   string
	conn   net.Conn
}

// Answer writes an answer.
func (c *Call) Answer(code byte, fields, body string) { c.WriteRaw(Frame(code, c.ID, fields, body)) }

// OK answers that the call was served by a loaded copy.
func (c *Call) OK(body string) { c.Answer(CodeOK, "remark=hot", body) }

// WriteRaw writes bytes to the connection as they are. Errors are ignored: the peer may have closed it.
func (c *Call) WriteRaw(data []byte) { c.conn.Write(data) }

// From returns the address that the call came from, which differs between connections.
func (c *Call) From() string { return c.conn.RemoteAddr().String() }

// CloseConn closes the connection, as a worker does that ends in good order.
func (c *Call) CloseConn() { c.conn.Close() }

// ResetConn resets the connection, as the kernel does for a process that dies.
func (c *Call) ResetConn() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}
