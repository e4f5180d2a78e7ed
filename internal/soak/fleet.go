package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kitefall/internal/wallstep"
)

const (
	dispatcherPort = 4100
	boardPort      = 2379
	boardAddresses = 8 // a reload moves a dispatcher to the next one
	readyTimeout   = 15 * time.Second
	// stopTimeout is the time from SIGTERM to SIGKILL (source: client protocol): longest deadline, 3 s at least, plus 0.7 s.
	stopTimeout = 3700 * time.Millisecond
	// acceptAfterTerm is how long clients go on sending after SIGTERM.
	acceptAfterTerm = 400 * time.Millisecond
)

// Rules are the figures of the rules that dispatchers are told.
type Rules struct {
	LoadBurst     float64
	LoadRatio     float64
	LoadWindow    time.Duration
	DrainGrace    time.Duration
	OverloadTimes float64
	OverloadSpan  time.Duration
	ColdFrom      float64
	WarmAfter     time.Duration
	WorkerRate    float64 // calls a second that a warm worker can do
}

// Config configures a fleet.
type Config struct {
	Program     string // the dispatcher, built by wallstep.Build
	Folder      string // of records, logs and configurations
	Dispatchers int
	Workers     int // at the start
	Spares      int // further workers that may be started
	Seed        uint64
	Rules       Rules
	Worker      WorkerConfig      // the same for all; addresses, uid and record are filled in
	Steps       [][]wallstep.Step // of each dispatcher's wall clock, by its first process; may be shorter
}

// DefaultRules are rules with short windows, so that a run of a few seconds sees them bind.
func DefaultRules() Rules {
	return Rules{LoadBurst: 6, LoadRatio: 0.15, LoadWindow: 2 * time.Second, DrainGrace: time.Second, OverloadTimes: 2,
		OverloadSpan: time.Second, ColdFrom: 0.3, WarmAfter: 4 * time.Second, WorkerRate: 50}
}

// DefaultWorker is a worker that can do what DefaultRules say.
func DefaultWorker() WorkerConfig {
	return WorkerConfig{Cores: 3, Queue: 40, Work: 60 * time.Millisecond, LoadTime: 30 * time.Millisecond,
		KeepAlive: time.Second}
}

// dispatcherHandle is a dispatcher and its present process.
type dispatcherHandle struct {
	number int
	run    atomic.Int64    // number of the present process
	runs   []DispatcherRun // the last one is the present one
	cmd    *exec.Cmd
	exited chan struct{} // closed when the present process has ended
	board  int           // which address of the endpoint list it follows
	// acceptUntil is when clients stop sending to it; 0: they do not.
	acceptUntil time.Duration
	ready       bool
}

// workerHandle is a worker and its present process.
type workerHandle struct {
	uid    string
	zone   string
	number int
	fleet  *Fleet

	mu  sync.Mutex
	cmd *exec.Cmd // nil while there is no process
}

// Fleet is the processes of a run.
type Fleet struct {
	config Config
	net    int // the second number of all addresses
	board  *board

	mu          sync.Mutex
	dispatchers []*dispatcherHandle
	workers     []*workerHandle
	clients     []*client
	faults      map[string]int
	freezes     []Freeze

	stopClients chan struct{}
	closers     []func()
	background  sync.WaitGroup
}

// fleetCount numbers the fleets of this process: each has addresses of its own.
var fleetCount atomic.Int64

const (
	firstNet = 60
	netCount = 150
)

// Start starts the processes of a fleet and waits until the dispatchers are ready. The caller must call Close, unless Start
// fails.
func Start(config Config) (*Fleet, error) {
	f := &Fleet{
		config:      config,
		net:         firstNet + (os.Getpid()+int(fleetCount.Add(1))*37)%netCount,
		faults:      map[string]int{},
		stopClients: make(chan struct{}),
	}
	f.board = newBoard(f)
	for i := range config.Workers + config.Spares {
		f.workers = append(f.workers, &workerHandle{uid: fmt.Sprintf("s-%02d", i), zone: fmt.Sprintf("z%d", i%2), number: i,
			fleet: f})
	}
	for i := range config.Dispatchers {
		f.dispatchers = append(f.dispatchers, &dispatcherHandle{number: i})
	}
	if err := errors.Join(f.startWorkers(), f.serveBoards(), f.startDispatchers()); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startWorkers starts the workers of the first list.
func (f *Fleet) startWorkers() error {
	for i := range f.config.Workers {
		if err := f.workers[i].start(); err != nil {
			return err
		}
		f.board.first = append(f.board.first, change{worker: f.workers[i], state: stateActive})
	}
	return nil
}

// serveBoards has the endpoint list answer at all addresses.
func (f *Fleet) serveBoards() error {
	for dispatcher := range f.dispatchers {
		for address := range boardAddresses {
			stop, err := f.board.serve(dispatcher, f.boardAddr(dispatcher, address))
			if err != nil {
				return err
			}
			f.closers = append(f.closers, stop)
		}
	}
	return nil
}

// startDispatchers starts the dispatchers and waits until all are ready.
func (f *Fleet) startDispatchers() error {
	for i := range f.dispatchers {
		var steps []wallstep.Step
		if i < len(f.config.Steps) {
			steps = f.config.Steps[i]
		}
		if err := f.startDispatcher(i, steps); err != nil {
			return err
		}
	}
	for i := range f.dispatchers {
		if err := f.awaitDispatcher(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) dispatcherAddr(dispatcher int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", f.net, dispatcher+1, dispatcherPort)
}

func (f *Fleet) boardAddr(dispatcher, address int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", f.net, dispatcher+1, boardPort+address)
}

func (w *workerHandle) addr(dispatcher int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.fleet.net, 10+w.number, dispatcher+1, dispatcherPort)
}

// start starts the worker's process.
func (w *workerHandle) start() error {
	config := w.fleet.config.Worker
	config.UID = w.uid
	config.Seed = w.fleet.config.Seed*1000 + uint64(w.number)
	config.Record = w.recordPath()
	config.Addrs = nil
	for dispatcher := range w.fleet.config.Dispatchers {
		config.Addrs = append(config.Addrs, w.addr(dispatcher))
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cmd = exec.Command(program)
	w.cmd.Env = append(os.Environ(), workerEnv+"="+string(text))
	w.cmd.Stderr = os.Stderr
	if err := w.cmd.Start(); err != nil {
		return err
	}
	for begin := Now(); Now()-begin < readyTimeout; time.Sleep(5 * time.Millisecond) {
		if dialable(config.Addrs[len(config.Addrs)-1]) {
			return nil
		}
	}
	return fmt.Errorf("soak: worker %s does not listen", w.uid)
}

// kill ends the worker's process at once.
func (w *workerHandle) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		w.cmd.Process.Kill()
		w.cmd.Wait()
		w.cmd = nil
	}
}

// signal sends a signal to the worker's process.
func (w *workerHandle) signal(s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		w.cmd.Process.Signal(s)
	}
}

func (w *workerHandle) recordPath() string {
	return filepath.Join(w.fleet.config.Folder, "worker-"+w.uid+".json")
}

// startDispatcher starts a process of a dispatcher, whose wall clock takes the steps.
func (f *Fleet) startDispatcher(number int, steps []wallstep.Step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	run := len(d.runs)
	configPath := f.configPath(number)
	known := f.board.known(number)
	if err := f.writeConfig(number, known); err != nil {
		return err
	}
	logPath := filepath.Join(f.config.Folder, fmt.Sprintf("dispatcher-%d-%d.log", number, run))
	logFile, err := os.Create(logPath)
	if err != nil {
		return err
	}
	defer logFile.Close()
	d.cmd = exec.Command(f.config.Program)
	d.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, wallstep.Environment(steps))
	d.cmd.Stdout = logFile
	d.cmd.Stderr = logFile
	d.acceptUntil = 0
	d.ready = false
	d.runs = append(d.runs, DispatcherRun{Dispatcher: number, Run: run, Started: Now()})
	d.run.Store(int64(run))
	f.board.noteKnown(number, run)
	d.exited = make(chan struct{})
	if err := d.cmd.Start(); err != nil {
		return err
	}
	go f.reap(d, d.cmd, run, d.exited)
	return nil
}

// reap notes the end of a process of a dispatcher.
func (f *Fleet) reap(d *dispatcherHandle, cmd *exec.Cmd, run int, exited chan struct{}) {
	err := cmd.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &d.runs[run]
	r.Ended = Now()
	if r.Killed == 0 && (r.Terminated == 0 || err != nil) {
		r.Crash = fmt.Sprint("ended: ", err)
	}
	close(exited)
}

// awaitDispatcher waits until the dispatcher says that it is ready.
func (f *Fleet) awaitDispatcher(number int) error {
	addr := f.dispatcherAddr(number)
	for begin := Now(); Now()-begin < readyTimeout; time.Sleep(10 * time.Millisecond) {
		if askReady(addr) {
			f.mu.Lock()
			f.dispatchers[number].ready = true
			f.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("soak: dispatcher %d is not ready", number)
}

func (f *Fleet) configPath(number int) string {
	return filepath.Join(f.config.Folder, fmt.Sprintf("config-%d.json", number))
}

// writeConfig writes the configuration of a dispatcher.
func (f *Fleet) writeConfig(number int, list boardAnswer) error {
	known, err := json.Marshal(list)
	if err != nil {
		return err
	}
	d := f.dispatchers[number]
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"board":%q,"known":%s,"settings":%s}`, number, f.dispatcherAddr(number), f.config.Seed*100+uint64(number),
		f.boardAddr(number, d.board), known, f.settings(number))
	temporary := f.configPath(number) + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.configPath(number))
}

// settings returns the settings object of a dispatcher (source: the platform's wire page).
func (f *Fleet) settings(number int) string {
	r := f.config.Rules
	return fmt.Sprintf(`{"peers_total":%d,"position":%d,"zone":"z%d","failure_domains":["z0","z1"],
		"grades":[{"name":%q,"credit":1,"late_value":0.2,"effect":"pure","deadline_us":2000000,"goal_time_us":750000},
		{"name":%q,"credit":2,"late_value":0.2,"effect":"side_effect","deadline_us":2500000,"goal_time_us":800000}],
		"caps":{"cancel":true,"second_copies":true,"try_limit":4,"open_cap":4096,"dial_timeout_us":250000,
		"idle_close_us":15000000,"max_streams":32},
		"guarantees":{"cold_from":%g,"ramp_time_us":%d,"drain_grace_us":%d,"fall_multiple":%g,"fall_us":%d,
		"grace_to_answer_us":16000},
		"domain":{"placement_calls":true,"answer_within_us":2000000,"keep_alive_us":%d,"load_floor":%g,
		"loads_per_request":%g,"load_period_us":%d,"tells_warm":true}}`,
		f.config.Dispatchers, number, number%2, ClassIdempotent, ClassNotIdempotent, r.ColdFrom, r.WarmAfter.Microseconds(),
		r.DrainGrace.Microseconds(), r.OverloadTimes, r.OverloadSpan.Microseconds(),
		f.config.Worker.KeepAlive.Microseconds(), r.LoadBurst, r.LoadRatio, r.LoadWindow.Microseconds())
}

// currentRun returns the number of the dispatcher's present process.
func (f *Fleet) currentRun(number int) int { return int(f.dispatchers[number].run.Load()) }

// accepting reports whether clients send to the dispatcher.
func (f *Fleet) accepting(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatchers[number]
	return d.ready && (d.acceptUntil == 0 || Now() < d.acceptUntil)
}

// StartClients starts a client of each dispatcher.
func (f *Fleet) StartClients(load Load) {
	for i := range f.dispatchers {
		c := &client{fleet: f, dispatcher: i, load: load, random: rand.New(rand.NewPCG(f.config.Seed, uint64(i+1)))}
		f.clients = append(f.clients, c)
		f.background.Go(func() { c.run(f.stopClients) })
	}
}

// SetLoad changes what clients send from now on.
func (f *Fleet) SetLoad(load Load) {
	for _, c := range f.clients {
		c.setLoad(load)
	}
}

// Finish stops the clients, waits until what they have sent can be answered, ends all processes and returns what was
// recorded.
func (f *Fleet) Finish() (*History, error) {
	close(f.stopClients)
	f.background.Wait()
	time.Sleep(3 * time.Second) // the longest wait of a client, and the time until a request counts as lost
	for i := range f.dispatchers {
		f.terminateDispatcher(i)
	}
	for i := range f.dispatchers {
		f.awaitExit(i)
	}
	f.Close()
	return f.history()
}

// Close ends all processes. It may be called more than once.
func (f *Fleet) Close() {
	for _, d := range f.dispatchers {
		f.mu.Lock()
		exited, cmd := d.exited, d.cmd
		if exited != nil && !isClosed(exited) {
			d.runs[len(d.runs)-1].Killed = Now()
			cmd.Process.Kill()
		}
		f.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	for _, w := range f.workers {
		w.kill()
	}
	for _, stop := range f.closers {
		stop()
	}
	f.closers = nil
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// history gathers what was recorded.
func (f *Fleet) history() (*History, error) {
	h := &History{Rules: f.config.Rules, Faults: f.faults, Freezes: f.freezes}
	for _, w := range f.workers {
		events, err := readWorkerEvents(w.recordPath())
		if err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		h.Workers = append(h.Workers, events...)
	}
	for _, c := range f.clients {
		h.Requests = append(h.Requests, c.recorded()...)
	}
	for _, d := range f.dispatchers {
		h.Dispatchers = append(h.Dispatchers, d.runs...)
	}
	h.Notices = f.board.allNotices(h.Dispatchers)
	return h, nil
}
