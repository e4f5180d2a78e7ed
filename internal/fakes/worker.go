// Package fakes provides peers for tests over loopback: workers, a core that sends calls to them, and an authority that
// issues identities. A test decides for each call when and how the worker answers. The workers use no timers.
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

// waitTimeout is how long a test waits for a call or another event before the test fails.
const waitTimeout = 10 * time.Second

// channelCapacity is the number of calls, and also of cancellations, that a Worker buffers until the test receives them.
const channelCapacity = 64

// Deadline returns the time at which a test that starts to wait now must stop waiting and fail: now plus waitTimeout.
func Deadline() time.Time { return time.Now().Add(waitTimeout) }

// Receive returns the next value from the channel. If none arrives within waitTimeout, it marks the test as failed and
// returns the zero value.
func Receive[T any](t testing.TB, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(waitTimeout):
		assert.Fail(t, "no value was received before the timeout")
	}
	return value
}

// Worker is a fake worker that listens on loopback. It answers load orders immediately. Calls of loaded functions are
// answered by the test. The methods are safe for concurrent use.
type Worker struct {
	Addr      string
	Calls     chan *Call  // calls of loaded functions, received completely
	Cancelled chan uint64 // IDs of the calls for which a cancel command was received

	t        testing.TB
	listener net.Listener

	mu             sync.Mutex
	callCounts     map[string]int  // number of calls of loaded functions, by body
	loaded         map[string]bool // by function; nil: every function is loaded
	loadOrderTimes []time.Time     // when each load order was received
	heldLoads      chan *Call      // load orders that the test answers; nil: they are answered immediately
}

// NewWorker starts a worker that accepts connections until StopListening is called or the test ends.
func NewWorker(t testing.TB) *Worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &Worker{
		Addr:       listener.Addr().String(),
		Calls:      make(chan *Call, channelCapacity),
		Cancelled:  make(chan uint64, channelCapacity),
		t:          t,
		listener:   listener,
		callCounts: map[string]int{},
	}
	t.Cleanup(w.StopListening)
	go w.acceptConns()
	return w
}

// acceptConns accepts and serves connections until the listener is closed.
func (w *Worker) acceptConns() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

// serveConn handles the frames of a connection until the peer or the test closes or resets it.
func (w *Worker) serveConn(conn net.Conn) {
	defer conn.Close()
	for {
		code, call, err := readFrame(conn)
		if err != nil {
			return
		}
		switch code {
		case codeCall:
			w.handleCall(call)
		case codeCancel:
			w.Cancelled <- call.ID
		case codeLoad:
			w.handleLoadOrder(call)
		}
	}
}

// handleCall counts a call and passes it to the test if its function is loaded. Otherwise it answers with a miss.
func (w *Worker) handleCall(call *Call) {
	if !w.countIfLoaded(call) {
		call.Answer(CodeMiss, "", "")
		return
	}
	w.Calls <- call
}

// countIfLoaded reports whether the function of a call is loaded, and if so counts the call.
func (w *Worker) countIfLoaded(call *Call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded != nil && !w.loaded[call.field(fieldFunction)] {
		return false
	}
	w.callCounts[call.Body]++
	return true
}

// handleLoadOrder passes a load order to the test if load orders are held. Otherwise it finishes the load.
func (w *Worker) handleLoadOrder(order *Call) {
	w.mu.Lock()
	w.loadOrderTimes = append(w.loadOrderTimes, time.Now())
	held := w.heldLoads
	w.mu.Unlock()
	if held != nil {
		held <- order
		return
	}
	w.FinishLoad(order)
}

// FinishLoad loads the function of a load order and answers that one copy is loaded.
func (w *Worker) FinishLoad(order *Call) {
	w.mu.Lock()
	if w.loaded != nil {
		w.loaded[order.field(fieldFunction)] = true
	}
	w.mu.Unlock()
	order.Answer(CodeOK, fieldCopies+"=1", "")
}

// HoldLoadOrders makes the worker pass load orders to the returned channel. The test answers them with FinishLoad.
func (w *Worker) HoldLoadOrders() <-chan *Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heldLoads = make(chan *Call, channelCapacity)
	return w.heldLoads
}

// UnloadAll unloads all functions. Until a load order loads a function again, its calls are answered with a miss.
func (w *Worker) UnloadAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = map[string]bool{}
}

// LoadOrderTimes returns the times at which load orders were received.
func (w *Worker) LoadOrderTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loadOrderTimes)
}

// CallCount returns the number of calls with the given body that were received while their function was loaded.
func (w *Worker) CallCount(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callCounts[body]
}

// Serve starts a goroutine that passes the calls to answer, one at a time. The goroutine runs until the
// test binary exits.
func (w *Worker) Serve(answer func(*Call)) {
	go func() {
		for call := range w.Calls {
			answer(call)
		}
	}()
}

// NextCall returns the next call that the worker receives. The test fails if none arrives within waitTimeout.
func (w *Worker) NextCall() *Call {
	w.t.Helper()
	select {
	case call := <-w.Calls:
		return call
	case <-time.After(waitTimeout):
		require.FailNow(w.t, "the worker received no call before the timeout")
		return nil
	}
}

// StopListening closes the listener: new connections are refused, accepted ones stay open.
func (w *Worker) StopListening() { w.listener.Close() }

// FirstCallAtEither returns the next call that one of two workers receives, and the worker that did not receive it. The
// test fails if no call arrives within waitTimeout.
func FirstCallAtEither(a, b *Worker) (*Call, *Worker) {
	a.t.Helper()
	select {
	case call := <-a.Calls:
		return call, b
	case call := <-b.Calls:
		return call, a
	case <-time.After(waitTimeout):
		require.FailNow(a.t, "neither worker received a call before the timeout")
		return nil, nil
	}
}

// Call is a call that a Worker has received.
type Call struct {
	ID     uint64
	Fields string // as encoded in the frame: "name=value,name=value"
	Body   string
	conn   net.Conn
}

// Answer writes an answer to the call.
func (c *Call) Answer(code byte, fields, body string) { c.WriteRaw(Frame(code, c.ID, fields, body)) }

// AnswerOK answers that a copy that was already loaded has served the call.
func (c *Call) AnswerOK(body string) { c.Answer(CodeOK, "remark=hot", body) }

// WriteRaw writes data to the connection without encoding it. It ignores errors because the peer may have closed the
// connection.
func (c *Call) WriteRaw(data []byte) { c.conn.Write(data) }

// RemoteAddr returns the peer address of the call's connection. It tells apart the connections of one dispatcher.
func (c *Call) RemoteAddr() string { return c.conn.RemoteAddr().String() }

// CloseConn closes the connection, as a worker does when it shuts down in an orderly way.
func (c *Call) CloseConn() { c.conn.Close() }

// ResetConn resets the connection, as the kernel does for a worker process that crashes.
func (c *Call) ResetConn() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}
