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

// drainSignal makes the workers of a process begin to drain.
const drainSignal = syscall.SIGINT

// workerEnv is the environment variable with the path of a worker process's configuration file.
const workerEnv = "KITEFALL_SOAK_WORKER"

// WorkerConfig configures a process that runs workers. The fields after Seed apply to each of them.
type WorkerConfig struct {
	Members   []MemberConfig // the workers that the process runs
	Record    string         // path of the file for its events
	Seed      uint64
	Cores     int           // how many calls run at a time
	Queue     int           // how many calls may wait for a function to load or for a core; further ones are rejected
	Work      time.Duration // mean run time of a call
	LoadTime  time.Duration // how long it takes to load a function
	KeepAlive time.Duration // a function is unloaded this long after its last use
	ErrorRate float64       // fraction of the calls that fail
	// AcceptsFor is how long after the start of its drain a worker still accepts calls.
	AcceptsFor time.Duration
}

// MemberConfig configures one worker of a process.
type MemberConfig struct {
	UID   string
	Addrs []string // the addresses it listens at, one for each dispatcher
}

// WorkerMain runs workers if the process was started as a worker process, and exits the process on SIGTERM. Otherwise it does
// nothing. SIGUSR1 unloads all functions, SIGUSR2 resets all connections, and SIGHUP makes the workers hang until the next SIGHUP:
// they answer nothing, and calls and load orders that they read wait. drainSignal makes them begin to drain.
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

// loadedFunction is a function that a worker has loaded or is loading.
type loadedFunction struct {
	ready    chan struct{} // closed once the function is loaded
	lastUsed time.Duration // time of the last call, or of the load order
}

// recorder writes the events of all workers of a process to its record.
type recorder struct {
	mu      sync.Mutex
	encoder *json.Encoder // writes unbuffered, so that SIGKILL loses no whole event
}

// write stamps an event with the current time and appends it to the record.
func (r *recorder) write(e WorkerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = Now()
	r.encoder.Encode(e)
}

// fakeWorker is one of the workers that the process runs.
type fakeWorker struct {
	uid    string
	config WorkerConfig
	record *recorder
	cores  chan struct{} // holds one element for each call that runs

	mu         sync.Mutex
	random     *rand.Rand
	functions  map[string]*loadedFunction
	conns      map[*net.TCPConn]bool
	queued     int           // calls that wait for a function to load or for a core
	resumed    chan struct{} // open while the worker hangs, closed otherwise
	rejectFrom time.Duration // when the worker begins to reject calls; 0: it does not drain
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
	var workers []*fakeWorker
	for i, member := range config.Members {
		w := newFakeWorker(config, member.UID, uint64(i), record)
		if err := w.listen(member.Addrs); err != nil {
			return err
		}
		workers = append(workers, w)
		w.recordEvent(WorkerEvent{Kind: WorkerStarted})
	}
	handleSignals(workers)
	return nil
}

// newFakeWorker returns a worker that does not hang or drain. stream selects its sequence of random numbers.
func newFakeWorker(config WorkerConfig, uid string, stream uint64, record *recorder) *fakeWorker {
	w := &fakeWorker{
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

// listen listens at the worker's address for each dispatcher and accepts connections in the background.
func (w *fakeWorker) listen(addrs []string) error {
	for dispatcher, addr := range addrs {
		listener, err := listenWithRetries(addr)
		if err != nil {
			return err
		}
		go w.accept(listener, dispatcher)
	}
	return nil
}

// listenWithRetries listens at an address. It retries for up to a second, as a process that was just killed may still hold it.
func listenWithRetries(addr string) (net.Listener, error) {
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

// handleSignals applies each received signal to all workers, and returns on SIGTERM.
func handleSignals(workers []*fakeWorker) {
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

// handleSignal applies a signal to the worker (see WorkerMain).
func (w *fakeWorker) handleSignal(received os.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch received {
	case drainSignal:
		w.rejectFrom = Now() + w.config.AcceptsFor
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

// rejectsCalls reports whether the worker rejects new calls, because it has drained for AcceptsFor or longer.
func (w *fakeWorker) rejectsCalls() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejectFrom > 0 && Now() >= w.rejectFrom
}

// awaitResume blocks while the worker hangs.
func (w *fakeWorker) awaitResume() {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	<-resumed
}

// recordEvent writes an event of this worker to the record.
func (w *fakeWorker) recordEvent(e WorkerEvent) {
	e.Worker = w.uid
	w.record.write(e)
}

// accept serves the connections that a listener accepts, all from one dispatcher.
func (w *fakeWorker) accept(listener net.Listener, dispatcher int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serve(&workerConn{worker: w, conn: conn.(*net.TCPConn), dispatcher: dispatcher, ended: make(chan struct{})})
	}
}

// unload removes a function from the loaded ones.
func (w *fakeWorker) unload(function string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.functions, function)
}

// useFunction returns a function that is loaded or loading, and notes that it is used now. It returns nil if the function is not
// loaded. A function that was idle for longer than KeepAlive is unloaded instead.
func (w *fakeWorker) useFunction(function string) *loadedFunction {
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

// joinQueue adds a call to the waiting ones. It returns false if as many calls wait as the queue holds.
func (w *fakeWorker) joinQueue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued >= w.config.Queue {
		return false
	}
	w.queued++
	return true
}

// leaveQueue takes a call off the waiting ones.
func (w *fakeWorker) leaveQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queued--
}

// drawCall draws how long a call runs and whether it fails.
func (w *fakeWorker) drawCall() (work time.Duration, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.ExpFloat64() * float64(w.config.Work)), w.random.Float64() < w.config.ErrorRate
}
