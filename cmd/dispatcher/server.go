package main

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/config"
	"kitefall/internal/descriptors"
	"kitefall/internal/discovery"
	"kitefall/internal/dispatch"
	"kitefall/internal/drain"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/frontend/resp"
	"kitefall/internal/lifecycle"
	"kitefall/internal/metrics"
	"kitefall/internal/worker"
)

// metricsInterval is the time between two log lines with the metrics.
const metricsInterval = 30 * time.Second

// server is the dispatcher as a network service: the core, the watcher that keeps the core's endpoints up to date, and the
// frontends. A server serves once, from newServer to the return of drain, and cannot be restarted.
type server struct {
	configPath   string
	config       *config.Config // as read at the start; a reload does not change it
	phases       *lifecycle.Lifecycle
	drainState   *drain.State // whether the process is serving, evacuating or terminating
	descriptors  *descriptors.Budget
	core         *dispatch.Core
	watcher      *discovery.Watcher
	frontend     *resp.Server
	listener     net.Listener   // listener of the frontend
	invokeConfig *invoke.Config // nil if the invoke API is off
	invoke       *invokeService // nil if the invoke API is off
	listening    atomic.Bool    // set once the frontend accepts clients
	serveErrors  chan error     // fatal errors of the three network servers; buffered, one place for each server
}

// run serves until SIGTERM or an interrupt, and returns once all calls in flight are answered. The invoke API is on if
// invokeFile names an operator's file. If run returns an error, the caller must end the process: run itself does not
// release what it opened before the error.
func run(configPath, invokeFile string) error {
	signals := notifySignals() // before everything else, as an unhandled SIGHUP would end the program
	defer signals.stop()
	s, err := newServer(configPath, invokeFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.watchEndpoints(ctx)
	if err := s.openAdmin(signals.terminate); err != nil {
		return err
	}
	if s.invokeConfig != nil {
		if s.invoke, err = startInvoke(s.invokeConfig, s.config, s.core, s.descriptors.InvokeClients, s.serveErrors); err != nil {
			return err
		}
		go s.invoke.followDrain(s.drainState) // returns after the last step of a termination
	}
	if err := s.openFrontend(signals.terminate); err != nil {
		return err
	}
	go s.reloadOnSignal(ctx, signals.hangup)
	select {
	case err := <-s.serveErrors:
		return err
	case <-signals.terminate:
		return s.drain()
	}
}

// newServer reads the configuration and, unless invokeFile is empty, the operator's file. It applies the configured
// resource limits to the process and starts the core.
func newServer(configPath, invokeFile string) (*server, error) {
	conf, err := config.Read(configPath)
	if err != nil {
		return nil, err
	}
	conf.WarnUnknown(os.Environ())
	invokeConfig, invokeConns, err := readInvokeConfig(invokeFile, conf)
	if err != nil {
		return nil, err
	}
	s := &server{configPath: configPath, config: conf, phases: lifecycle.New(), serveErrors: make(chan error, 3)}
	s.drainState = drain.New(drain.Evacuation(), drain.Termination(longestDeadline(conf.Settings)))
	s.invokeConfig = invokeConfig
	s.descriptors = descriptors.NewBudget(conf.Descriptors(invokeConns))
	applyLimits(conf)
	if s.core, err = dispatch.New(coreConfig(conf, s.descriptors)); err != nil {
		return nil, err
	}
	go s.logMetrics() // runs until the end of the process
	go s.core.Run()   // stopped by invokeService.close; with the invoke API off it runs until the end of the process
	return s, nil
}

// logMetrics checks the number of open descriptors and logs the metrics, every metricsInterval.
func (s *server) logMetrics() {
	for range time.Tick(metricsInterval) {
		s.descriptors.Check()
		metrics.Log()
	}
}

// applyLimits sets the Go runtime's memory limit and GOMAXPROCS from the configured limits of memory and cores.
func applyLimits(conf *config.Config) {
	debug.SetMemoryLimit(conf.MemoryLimit())
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Limits.Cores))))
}

// coreConfig returns the configuration of the core and of its connection pools to workers, from the configuration file
// and the descriptor budget.
func coreConfig(conf *config.Config, budget *descriptors.Budget) dispatch.Config {
	return dispatch.Config{
		Settings:     conf.Settings,
		Seed:         conf.Seed,
		MaxInFlight:  conf.MaxInFlight(),
		MaxBodyBytes: conf.MaxBodyBytes(),
		Pool: worker.Config{
			DialTimeout: conf.Settings.DialTimeout,
			IdleTimeout: conf.Connections.IdleTimeout,
			MaxStreams:  conf.Connections.MaxStreams,
			MaxConns:    conf.MaxConnsPerWorker(),
			ConnLimit:   worker.NewConnLimit(budget.Workers),
			BreakRate:   worker.NewBreakRate(conf.Connections.HandshakeCost),
		},
	}
}

// watchEndpoints starts a goroutine that gives the core the endpoint list of the configuration and then follows discovery
// until ctx is done.
func (s *server) watchEndpoints(ctx context.Context) {
	s.watcher = discovery.NewWatcher(s.config.DiscoveryAddr, s.descriptors.Discovery, s.core)
	go func() {
		s.watcher.ApplyInitial(s.config.InitialEndpoints)
		s.watcher.Run(ctx)
	}()
}

// openFrontend listens for clients and serves them in the background until drain closes the listener. An error of the
// frontend is sent to s.serveErrors.
func (s *server) openFrontend(terminate <-chan os.Signal) error {
	open := func() (net.Listener, error) { return net.Listen("tcp", s.config.Listen) }
	var err error
	if s.listener, err = listen(open, time.Now().Add(listenTimeout), terminate); err != nil {
		return err
	}
	s.frontend = &resp.Server{Core: s.core, Ready: s.ready, Settings: s.config.Settings, Timeouts: resp.DefaultTimeouts,
		DrainState: s.drainState, Cores: s.config.Limits.Cores}
	go func() { s.serveErrors <- s.frontend.Serve(s.listener, s.descriptors.Clients) }()
	s.listening.Store(true)
	slog.Info("listening", "name", s.config.Name, "addr", s.config.Listen)
	return nil
}

// ready reports whether the dispatcher is ready for calls. The first call of ready after the endpoints are known and the
// frontend accepts clients changes the phase to Serving. It is safe for concurrent use.
func (s *server) ready() bool {
	if s.listening.Load() && s.core.EndpointsKnown() {
		s.phases.Enter(lifecycle.Serving)
	}
	return s.phases.Phase().Ready() && s.drainState.Phase() == drain.Serving
}

// longestDeadline returns the longest deadline of all classes, or 0 if no class has a deadline.
func longestDeadline(settings balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// signals holds the channels on which the program receives operating system signals.
type signals struct {
	terminate chan os.Signal // SIGTERM or an interrupt: drain and exit
	hangup    chan os.Signal // SIGHUP: reload the configuration
}

func notifySignals() signals {
	s := signals{terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// stop restores the default handling of the signals.
func (s signals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.hangup)
}
