package soak

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"kitefall/internal/fakes"
)

// workerConn is a worker's side of a connection from a dispatcher.
type workerConn struct {
	worker     *fakeWorker
	conn       *net.TCPConn
	dispatcher int
	ended      chan struct{} // closed when the connection has ended
	cancelled  sync.Map      // IDs of the calls that the dispatcher has cancelled
	writeMu    sync.Mutex    // held while a frame is written
}

// serve reads and handles the frames of a connection until it ends.
func (w *fakeWorker) serve(c *workerConn) {
	w.mu.Lock()
	w.conns[c.conn] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c.conn)
		w.mu.Unlock()
		close(c.ended)
		c.conn.Close()
	}()
	for {
		received, err := readFrame(c.conn)
		if errors.Is(err, errBadFrame) {
			w.recordEvent(WorkerEvent{Kind: FrameUnreadable, Dispatcher: c.dispatcher})
		}
		if err != nil {
			return
		}
		c.handle(received)
	}
}

// handle carries out a command. It records the arrival of calls and load orders for the oracle, and does not block reading.
func (c *workerConn) handle(f commandFrame) {
	switch f.code {
	case codeCall:
		max, _ := strconv.ParseFloat(f.fields["max"], 64)
		c.worker.recordEvent(WorkerEvent{Kind: CallArrived, Dispatcher: c.dispatcher, Call: f.id, Class: f.fields["profile"],
			Function: f.fields["thing"], Timeout: time.Duration(max * float64(time.Millisecond))})
		go c.runCall(f)
	case codeCancel:
		c.cancelled.Store(f.id, true)
	case codePing:
		go c.answer(codePong, f.id, "", "")
	case codeLoad:
		copies, _ := strconv.Atoi(f.fields["n"])
		c.worker.recordEvent(WorkerEvent{Kind: LoadArrived, Dispatcher: c.dispatcher, Function: f.fields["thing"], Copies: copies})
		go c.load(f)
	case codeUnload:
		c.worker.unload(fmt.Sprintf("%016x", f.id))
	}
}

// load carries out a load order. From the start of its drain on, a worker rejects orders for functions that it would have to load,
// as the workers of the platform's bench do. It answers as before where the function is loaded or loading, and where the order
// asks for no copies.
func (c *workerConn) load(f commandFrame) {
	w := c.worker
	w.awaitResume()
	w.mu.Lock()
	function := w.functions[f.fields["thing"]]
	isNew := function == nil
	if isNew && (f.fields["n"] == "0" || w.rejectFrom > 0) {
		w.mu.Unlock()
		code := byte(fakes.CodeRejected)
		if f.fields["n"] == "0" {
			code = fakes.CodeOK
		}
		c.answer(code, f.id, "n=0", "")
		return
	}
	if isNew {
		function = &loadedFunction{ready: make(chan struct{}), lastUsed: Now()}
		w.functions[f.fields["thing"]] = function
	}
	w.mu.Unlock()
	if isNew {
		time.Sleep(w.config.LoadTime)
		close(function.ready)
	}
	<-function.ready
	c.answer(fakes.CodeOK, f.id, "n=1", "")
}

// runCall runs a call and answers it. It gives no answer if the connection ends while the call waits, or if the dispatcher cancels
// the call before it runs.
func (c *workerConn) runCall(f commandFrame) {
	w := c.worker
	w.awaitResume()
	if w.rejectsCalls() {
		c.answer(fakes.CodeRejected, f.id, "", "")
		return
	}
	loaded := w.useFunction(f.fields["thing"])
	if loaded == nil {
		c.answer(fakes.CodeMiss, f.id, "", "")
		return
	}
	if !w.joinQueue() {
		c.answer(fakes.CodeRejected, f.id, "", "")
		return
	}
	select {
	case <-loaded.ready:
	case <-c.ended:
		w.leaveQueue()
		return
	}
	select {
	case w.cores <- struct{}{}:
		w.leaveQueue()
	case <-c.ended:
		w.leaveQueue()
		return
	}
	defer func() { <-w.cores }()
	if _, cancelled := c.cancelled.Load(f.id); cancelled {
		return
	}
	w.recordEvent(WorkerEvent{Kind: CallStarted, Dispatcher: c.dispatcher, Call: f.id, Class: f.fields["profile"]})
	work, fails := w.drawCall()
	time.Sleep(work)
	if fails {
		c.answer(codeError, f.id, "", "")
		return
	}
	c.answer(fakes.CodeOK, f.id, "remark=hot", fmt.Sprintf("%016x", f.id))
}

// answer writes an answer frame. While the worker hangs, it waits. Errors are ignored, as the dispatcher may have ended the
// connection.
func (c *workerConn) answer(code byte, id uint64, fields, body string) {
	c.worker.awaitResume()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.Write(fakes.Frame(code, id, fields, body))
}
