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

// workerConn is a dispatcher's connection to the worker.
type workerConn struct {
	worker     *workerProcess
	conn       *net.TCPConn
	dispatcher int
	gone       chan struct{} // closed with the connection
	cancelled  sync.Map      // ids of calls that were given up
	writing    sync.Mutex
}

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

// load carries out a load order. A worker that drains answers as those of the platform's bench do: with no where it would have
// to load, from the start of the drain on, and as always where a copy stands or the order only asks.
func (c *workerConn) load(f workerFrame) {
	w := c.worker
	w.awaitResume()
	w.mu.Lock()
	loading := w.functions[f.fields["thing"]]
	isNew := loading == nil
	if isNew && (f.fields["n"] == "0" || w.drainFrom > 0) {
		w.mu.Unlock()
		code := byte(fakes.CodeRejected)
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

// runCall answers a call, unless it is given up before it runs.
func (c *workerConn) runCall(f workerFrame) {
	w := c.worker
	w.awaitResume()
	if w.drains() {
		c.answer(fakes.CodeRejected, f.id, "", "")
		return
	}
	loaded := w.use(f.fields["thing"])
	if loaded == nil {
		c.answer(fakes.CodeMiss, f.id, "", "")
		return
	}
	if !w.enterQueue() {
		c.answer(fakes.CodeRejected, f.id, "", "")
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

// answer writes an answer. Errors are ignored: the dispatcher may be gone.
func (c *workerConn) answer(code byte, id uint64, fields, body string) {
	c.worker.awaitResume()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.conn.Write(fakes.Frame(code, id, fields, body))
}
