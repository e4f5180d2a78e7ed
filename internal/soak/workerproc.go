package soak

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kitefall/internal/fakes"
)

// workerEnv names the file that holds the configuration of a worker's process.
const workerEnv = "KITEFALL_SOAK_WORKER"

// Frames of the worker protocol (source: worker protocol) beside those of package fakes. They are not taken from package
// worker, so that a fault there does not cancel itself out.
const (
	headSize     = 16
	checksumSize = 4

	codeCall   = 48
	codeCancel = 49
	codePing   = 50
	codeLoad   = 52
	codeUnload = 54
	codeError  = 68
	codePong   = 70
)

const maxFrameSize = 1 << 20

var errBadFrame = errors.New("frame cannot be read")

// WorkerConfig configures a worker's process.
type WorkerConfig struct {
	Members   []MemberConfig // the workers that the process stands for
	Record    string         // path of its record
	Seed      uint64
	Cores     int           // calls that run at a time
	Queue     int           // calls that wait for a core at most; the others are rejected
	Work      time.Duration // mean
	LoadTime  time.Duration
	KeepAlive time.Duration // an idle function is unloaded after this
	ErrorRate float64       // part of the calls that fail
}

// MemberConfig is a worker and its addresses.
type MemberConfig struct {
	UID   string
	Addrs []string // one for each dispatcher
}

// WorkerMain runs workers if the process was started as one, and does not return then. Otherwise it does nothing.
// SIGUSR1 unloads all functions, SIGUSR2 resets all connections, and SIGHUP has it hang until the next SIGHUP: it goes on
// reading what arrives, but runs and answers nothing.
func WorkerMain() {
	path, ok := os.LookupEnv(workerEnv)
	if !ok {
		return
	}
	if err := runWorkers(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// loadedFunction is a function at a worker.
type loadedFunction struct {
	ready    chan struct{} // closed once it is loaded
	lastUsed time.Duration
}

// recorder writes the record of a process.
type recorder struct {
	mu      sync.Mutex
	encoder *json.Encoder // unbuffered: a kill loses nothing
}

func (r *recorder) write(e WorkerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = Now()
	r.encoder.Encode(e)
}

// workerProcess is the state of one worker.
type workerProcess struct {
	uid    string
	config WorkerConfig
	record *recorder
	cores  chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	functions map[string]*loadedFunction
	conns     map[*net.TCPConn]bool
	waiting   int           // calls that wait for a core
	resumed   chan struct{} // closed unless it hangs
}

// runWorkers runs the workers of a configuration file until SIGTERM.
func runWorkers(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config WorkerConfig
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	file, err := os.OpenFile(config.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	record := &recorder{encoder: json.NewEncoder(file)}
	var workers []*workerProcess
	for i, member := range config.Members {
		w := newWorkerProcess(config, member.UID, uint64(i), record)
		if err := w.listen(member.Addrs); err != nil {
			return err
		}
		workers = append(workers, w)
		w.note(WorkerEvent{Kind: WorkerStarted})
	}
	handleSignals(workers)
	return nil
}

func newWorkerProcess(config WorkerConfig, uid string, stream uint64, record *recorder) *workerProcess {
	w := &workerProcess{
		uid:       uid,
		config:    config,
		record:    record,
		cores:     make(chan struct{}, config.Cores),
		random:    rand.New(rand.NewPCG(config.Seed, stream)),
		functions: map[string]*loadedFunction{},
		conns:     map[*net.TCPConn]bool{},
		resumed:   make(chan struct{}),
	}
	close(w.resumed)
	return w
}

// listen accepts the connections of each dispatcher at its address.
func (w *workerProcess) listen(addrs []string) error {
	for dispatcher, addr := range addrs {
		listener, err := listenRetrying(addr)
		if err != nil {
			return err
		}
		go w.accept(listener, dispatcher)
	}
	return nil
}

// listenRetrying listens at an address, which a process that was killed may hold for another moment.
func listenRetrying(addr string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", addr); err == nil {
			return listener, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// handleSignals carries out signals at all workers and returns on SIGTERM.
func handleSignals(workers []*workerProcess) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP, syscall.SIGTERM)
	for received := range signals {
		if received == syscall.SIGTERM {
			return
		}
		for _, w := range workers {
			w.handleSignal(received)
		}
	}
}

// handleSignal unloads all functions, resets all connections, or begins or ends to hang.
func (w *workerProcess) handleSignal(received os.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch received {
	case syscall.SIGUSR1:
		w.functions = map[string]*loadedFunction{}
	case syscall.SIGUSR2:
		for conn := range w.conns {
			conn.SetLinger(0)
			conn.Close()
		}
	case syscall.SIGHUP:
		if isClosed(w.resumed) {
			w.resumed = make(chan struct{})
		} else {
			close(w.resumed)
		}
	}
}

// awaitResume waits while the worker hangs.
func (w *workerProcess) awaitResume() {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	<-resumed
}

// note writes an event to the record.
func (w *workerProcess) note(e WorkerEvent) {
	e.Worker = w.uid
	w.record.write(e)
}

func (w *workerProcess) accept(listener net.Listener, dispatcher int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serve(&workerConn{worker: w, conn: conn.(*net.TCPConn), dispatcher: dispatcher, gone: make(chan struct{})})
	}
}

// workerConn is a dispatcher's connection to the worker.
type workerConn struct {
	worker     *workerProcess
	conn       *net.TCPConn
	dispatcher int
	gone       chan struct{} // closed with the connection
	cancelled  sync.Map      // ids of calls that were given up
	writing    sync.Mutex
}

// workerFrame is a command of a dispatcher.
type workerFrame struct {
	code   byte
	id     uint64
	fields map[string]string
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
		c.worker.note(WorkerEvent{Kind: LoadArrived, Dispatcher: c.dispatcher, Function: f.fields["thing"]})
		go c.load(f)
	case codeUnload:
		c.worker.unload(fmt.Sprintf("%016x", f.id))
	}
}

// load carries out a load order.
func (c *workerConn) load(f workerFrame) {
	w := c.worker
	w.awaitResume()
	w.mu.Lock()
	loading := w.functions[f.fields["thing"]]
	isNew := loading == nil
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

func (w *workerProcess) unload(function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.functions, function)
}

// use returns a function if it is loaded or being loaded; one that has been idle for too long is not.
func (w *workerProcess) use(function string) *loadedFunction {
	w.mu.Lock()
	defer w.mu.Unlock()
	loaded := w.functions[function]
	if loaded == nil {
		return nil
	}
	if Now()-loaded.lastUsed > w.config.KeepAlive {
		delete(w.functions, function)
		return nil
	}
	loaded.lastUsed = Now()
	return loaded
}

// runCall answers a call, unless it is given up before it runs.
func (c *workerConn) runCall(f workerFrame) {
	w := c.worker
	w.awaitResume()
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

// enterQueue reports whether there is room for a call that waits for a core.
func (w *workerProcess) enterQueue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= w.config.Queue {
		return false
	}
	w.waiting++
	return true
}

func (w *workerProcess) leaveQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// draw returns how long a call runs and whether it fails.
func (w *workerProcess) draw() (work time.Duration, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.ExpFloat64() * float64(w.config.Work)), w.random.Float64() < w.config.ErrorRate
}

// answer writes an answer. Errors are ignored: the dispatcher may be gone.
func (c *workerConn) answer(code byte, id uint64, fields, body string) {
	c.worker.awaitResume()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.conn.Write(fakes.Frame(code, id, fields, body))
}

// readCommand reads a frame of the dispatcher.
func readCommand(conn net.Conn) (workerFrame, error) {
	head := make([]byte, headSize)
	if _, err := io.ReadFull(conn, head); err != nil {
		return workerFrame{}, err
	}
	fieldsLength := int(binary.BigEndian.Uint16(head[2:]))
	bodyLength := int(binary.BigEndian.Uint32(head[4:]))
	if bodyLength > maxFrameSize {
		return workerFrame{}, errBadFrame
	}
	rest := make([]byte, fieldsLength+bodyLength+checksumSize)
	if _, err := io.ReadFull(conn, rest); err != nil {
		return workerFrame{}, err
	}
	content := rest[:fieldsLength+bodyLength]
	if binary.BigEndian.Uint32(rest[len(content):]) != crc32.ChecksumIEEE(content) {
		return workerFrame{}, errBadFrame
	}
	f := workerFrame{code: head[1], id: binary.BigEndian.Uint64(head[8:]), fields: map[string]string{}}
	for pair := range strings.SplitSeq(string(rest[:fieldsLength]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		f.fields[name] = value
	}
	return f, nil
}
