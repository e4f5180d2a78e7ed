package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"kitefall/internal/channel"
)

// drainSignal has a worker's process drain.
const drainSignal = syscall.SIGINT

// workerEnv names the file that holds the configuration of a worker's process.
const workerEnv = "KITEFALL_SOAK_WORKER"

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
	// AcceptsFor is how long a worker that begins to drain still accepts calls.
	AcceptsFor time.Duration
}

// MemberConfig is a worker and its addresses.
type MemberConfig struct {
	UID   string
	Addrs []string // one for each dispatcher
}

// WorkerMain runs workers if the process was started as one, and does not return then. Otherwise it does nothing.
// SIGUSR1 unloads all functions, SIGUSR2 resets all connections, and SIGHUP has it hang until the next SIGHUP: it goes on
// reading what arrives, but runs and answers nothing. With drainSignal it begins to drain.
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
	drainFrom time.Duration // calls are turned away from then on; 0: it does not drain
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
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP, syscall.SIGTERM, drainSignal)
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
	case drainSignal:
		w.drainFrom = Now() + w.config.AcceptsFor
	case syscall.SIGUSR1:
		w.functions = map[string]*loadedFunction{}
	case syscall.SIGUSR2:
		for conn := range w.conns {
			conn.SetLinger(0)
			conn.Close()
		}
	case syscall.SIGHUP:
		if channel.IsClosed(w.resumed) {
			w.resumed = make(chan struct{})
		} else {
			close(w.resumed)
		}
	}
}

// drains reports whether the worker turns away what is new.
func (w *workerProcess) drains() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainFrom > 0 && Now() >= w.drainFrom
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
