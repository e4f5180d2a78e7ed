package standin

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// Run is one execution of a call's function at a worker.
type Run struct {
	Worker   string
	ID       string // of the call, 16 hex digits
	Class    string
	Function string
	Key      string // the idempotency key that came with the call; empty: none
	Body     string
	Begin    time.Time
}

// Pod is a group of workers that share the idempotency keys that they have seen: they drop a repeat for a while.
type Pod struct {
	Group  int
	Window time.Duration // how long a repeat is dropped; 0: this deployment has no keys

	mu   sync.Mutex
	seen map[string]time.Time
}

// drops reports whether the pod has seen the key within its window. It records the key.
func (p *Pod) drops(key string) bool {
	if p.Window == 0 || key == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]time.Time{}
	}
	at, found := p.seen[key]
	if found && time.Since(at) <= p.Window {
		return true
	}
	p.seen[key] = time.Now()
	return false
}

// Worker is a stand-in of a worker. A function has to be loaded by an order before its calls run. A call whose function is
// being loaded waits for the load.
type Worker struct {
	UID      string
	Addr     string
	Pod      *Pod
	Work     time.Duration // duration of a run
	LoadTime time.Duration // duration of a load
	Record   *Record
	// ResetAfter decides whether the connection is reset under a call that has just run, so that its answer is lost. nil:
	// never.
	ResetAfter func(run Run) bool
	// Result makes the answer to a run. nil: ResultOf.
	Result func(run Run) string

	listener net.Listener

	mu       sync.Mutex
	runs     []Run
	loaded   map[string]chan struct{} // by function; the channel is closed once the copy stands
	canceled map[uint64]bool          // calls that were given up
	answered map[string]time.Time     // when the answer to a call was written, by the call's id
}

// Listen starts the worker on a free port.
func (w *Worker) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener = listener
	w.Addr = listener.Addr().String()
	w.loaded = map[string]chan struct{}{}
	w.canceled = map[uint64]bool{}
	w.answered = map[string]time.Time{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(&workerConn{Conn: conn})
		}
	}()
	return nil
}

// Target returns the worker's entry in the endpoint list.
func (w *Worker) Target(zone, model string) Target {
	return Target{UID: w.UID, Endpoint: w.Addr, Zone: zone, Model: model, Group: w.Pod.Group, State: "active", CapacityHint: 3}
}

// Runs returns the executions so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run{}, w.runs...)
}

// workerConn is a connection from a dispatcher. Its answers are written one at a time.
type workerConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *workerConn) answer(code byte, id uint64, fields string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Write(encodeAnswer(code, id, fields, body))
}

// reset resets the connection.
func (c *workerConn) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (w *Worker) serve(conn *workerConn) {
	defer conn.Close()
	for {
		command, err := readCommand(conn)
		if err != nil {
			return
		}
		switch command.code {
		case codeCall:
			go w.call(conn, command)
		case codeCancel:
			w.mu.Lock()
			w.canceled[command.id] = true
			w.mu.Unlock()
			w.Record.Add("worker %s: call %016x given up", w.UID, command.id)
		case codeProbe:
			conn.answer(codePong, command.id, "", nil)
		case codeLoad:
			go w.load(conn, command)
		case codeUnload:
			w.mu.Lock()
			delete(w.loaded, fmt.Sprintf("%016x", command.id))
			w.mu.Unlock()
		}
	}
}

// load carries out an order to load, or tells the number of copies.
func (w *Worker) load(conn *workerConn, order frame) {
	function := order.fields["thing"]
	wanted, _ := strconv.Atoi(order.fields["n"])
	w.mu.Lock()
	standing := w.loaded[function]
	if wanted > 0 && standing == nil {
		standing = make(chan struct{})
		w.loaded[function] = standing
		time.AfterFunc(w.LoadTime, func() { close(standing) })
		w.Record.Add("worker %s: order to load %s", w.UID, function)
	}
	w.mu.Unlock()
	copies := 0
	if standing != nil {
		if wanted > 0 {
			<-standing
		}
		copies = 1
	}
	conn.answer(codeOK, order.id, fmt.Sprintf("n=%d", copies), nil)
}

// call handles a call: it answers with a miss if no copy stands or is being loaded, and otherwise runs the call.
func (w *Worker) call(conn *workerConn, call frame) {
	run := Run{Worker: w.UID, ID: fmt.Sprintf("%016x", call.id), Class: call.fields["profile"], Function: call.fields["thing"],
		Key: call.fields["replay"], Body: string(call.body)}
	w.mu.Lock()
	standing := w.loaded[run.Function]
	w.mu.Unlock()
	if standing == nil {
		w.Record.Add("worker %s: call %s has missed", w.UID, run.ID)
		conn.answer(codeMiss, call.id, "", nil)
		return
	}
	remark := "remark=hot"
	select {
	case <-standing:
	default:
		remark = "remark=waited"
		<-standing
	}
	w.mu.Lock()
	if w.canceled[call.id] { // a cancel drops waiting work
		w.mu.Unlock()
		return
	}
	dropped := w.Pod.drops(run.Key)
	if !dropped {
		run.Begin = time.Now()
		w.runs = append(w.runs, run)
	}
	w.mu.Unlock()
	if dropped {
		w.Record.Add("worker %s: call %s is a repeat under key %s, dropped", w.UID, run.ID, run.Key)
		conn.answer(codeOK, call.id, remark, []byte(w.result(run)))
		return
	}
	w.Record.Add("worker %s: call %s of class %s runs, idempotency key %q, body %.40q", w.UID, run.ID, run.Class, run.Key, run.Body)
	time.Sleep(w.Work)
	if w.ResetAfter != nil && w.ResetAfter(run) {
		w.Record.Add("worker %s: connection reset under call %s, which has run", w.UID, run.ID)
		conn.reset()
		return
	}
	conn.answer(codeOK, call.id, remark, []byte(w.result(run)))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[run.ID] = time.Now()
}

// AnsweredAt returns when the worker has written the answer to a call, and whether it has.
func (w *Worker) AnsweredAt(id string) (at time.Time, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, answered = w.answered[id]
	return at, answered
}

func (w *Worker) result(run Run) string {
	if w.Result != nil {
		return w.Result(run)
	}
	return ResultOf(run.Body)
}

// ResultOf returns the answer that workers give to a call with the body, unless Worker.Result is set.
func ResultOf(body string) string { return "done:" + body }
