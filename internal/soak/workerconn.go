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
	worker     *workerProcess
	conn       *net.TCPConn
	dispatcher int
	gone       chan struct{} // closed when the connection has ended
	cancelled  sync.Map      // IDs of the calls that the dispatcher has cancelled
	writing    sync.Mutex    // held while a frame is written
}

// serve reads and handles the frames of a connection until it ends.
func (w *workerProcess) serve(c *workerConn) {
	w.mu.Lock()
	w.conns[c.conn] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c.conn)
		w.mu.Unlock()
		close(c.gone)
		c.conn.Close()
	}()
	for {
		received, err := readCommand(c.conn)
		if errors.Is(err, errBadFrame) {
			w.note(WorkerEvent{Kind: FramesBroken, Dispatcher: c.dispatcher})
		}
		if err != nil {
			return
		}
		c.handle(received)
	}
}

// handle records an arrived command where the oracle needs it, and carries it out. It does not block reading.
func (c *workerConn) handle(f workerFrame) {
	switch f.code {
	case codeCall:
		max, _ := strconv.ParseFloat(f.fields["max"], 64)
		c.worker.note(WorkerEvent{Kind: CallArrived, Dispatcher: c.dispatcher, Call: f.id, Class: f.fields["profile"],
			Function: f.fields["thing"], Max: time.Duration(max * float64(time.Millisecond))})
		go c.runCall(f)
	case codeCancel:
		c.cancelled.Store(f.id, true)
	case codePing:
		go c.answer(codePong, f.id, "", "")
	case codeLoad:
		copies, _ := strconv.Atoi(f.fields["n"])
		c.worker.note(WorkerEvent{Kind: LoadArrived, Dispatcher: c.dispatcher, Function: f.fields["thing"], Copies: copies})
		go c.load(f)
	case codeUnload:
		c.worker.unload(fmt.Sprintf("%016x", f.id))
	}
}

// load carries out a load order. From the start of its drain on, a worker rejects orders for functions that it would have to load,
// as the workers of the platform's bench do. It answers as before where the function is loaded or loading, and where the order
// asks for no copies.
func (c *workerConn) load(f workerFrame) {
	w := c.worker
	w.awaitResume()
	w.mu.Lock()
	loading := w.functions[f.fields["thing"]]
	isNew := loading == nil
	if isNew && (f.fields["n"] == "0" || w.drainFrom > 0) {
		w.mu.Unlock()
		code := byte(fakes.CodeFull)
		if f.fields["n"] == "0" {
			code = fakes.CodeOK
		}
		c.answer(code, f.id, "n=0", "")
		return
	}
	if isNew {
		loading = &loadedFunction{ready: make(chan struct{}), lastUsed: Now()}
		w.functions[f.fields["thing"]] = loading
	}
	w.mu.Unlock()
	if isNew {
		time.Sleep(w.config.LoadTime)
		close(loading.ready)
	}
	<-loading.ready
	c.answer(fakes.CodeOK, f.id, "n=1", "")
}

// runCall runs a call and answers it. It gives no answer if the connection ends while the call waits, or if the dispatcher cancels
// the call before it runs.
func (c *workerConn) runCall(f workerFrame) {
	w := c.worker
	w.awaitResume()
	if w.drains() {
		c.answer(fakes.CodeFull, f.id, "", "")
		return
	}
	loaded := w.use(f.fields["thing"])
	if loaded == nil {
		c.answer(fakes.CodeMiss, f.id, "", "")
		return
	}
	if !w.enterQueue() {
		c.answer(fakes.CodeFull, f.id, "", "")
		return
	}
	select {
	case <-loaded.ready:
	case <-c.gone:
		w.leaveQueue()
		return
	}
	select {
	case w.cores <- struct{}{}:
		w.leaveQueue()
	case <-c.gone:
		w.leaveQueue()
		return
	}
	defer func() { <-w.cores }()
	if _, cancelled := c.cancelled.Load(f.id); cancelled {
		return
	}
	w.note(WorkerEvent{Kind: CallRan, Dispatcher: c.dispatcher, Call: f.id, Class: f.fields["profile"]})
	work, fails := w.draw()
	time.Sleep(work)
	if fails {
		c.answer(codeError, f.id, "", "")
		return
	}
	c.answer(fakes.CodeOK, f.id, "remark=hot", fmt.Sprintf("%016x", f.id))
}

// answer writes an answer frame, after the end of a hang. Errors are ignored, as the dispatcher may have ended the connection.
func (c *workerConn) answer(code byte, id uint64, fields, body string) {
	c.worker.awaitResume()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.conn.Write(fakes.Frame(code, id, fields, body))
}
