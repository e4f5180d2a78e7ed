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

// metricsInterval is the time between two lines of the log that show the counters.
const metricsInterval = 30 * time.Second

// server is the dispatcher as a network service: the core, what feeds it with endpoints, and its frontends. It serves
// once, from newServer to the end of drain.
type server struct {
	configPath   string
	config       *config.Config // as read at the start; a reload changes nothing in it
	phases       *lifecycle.Lifecycle
	drainState   *drain.State // whether clients are sent away
	descriptors  *descriptors.Budget
	core         *dispatch.Core
	watcher      *discovery.Watcher
	frontend     *resp.Server
	listener     net.Listener   // the frontend's
	invokeConfig *invoke.Config // nil if the invoke API is off
	invoke       *invokeService // nil if the invoke API is off
	listening    atomic.Bool    // the frontend accepts clients
	failed       chan error     // errors of the listeners that end the program; has room for one of each
}

// run serves until SIGTERM or an interrupt, and returns once everything in flight is answered. The invoke API is on if
// invokeFile names an operator's file. Where run returns an error, the caller is expected to end the process, which
// releases what was opened until then.
func run(configPath, invokeFile string) error {
	signals := notifySignals() // first of all: an unhandled SIGHUP would end the program
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
		if s.invoke, err = startInvoke(s.invokeConfig, s.config, s.core, s.descriptors.Devices, s.failed); err != nil {
			return err
		}
		go s.invoke.followDrain(s.drainState) // ended by SIGTERM
	}
	if err := s.openFrontend(signals.terminate); err != nil {
		return err
	}
	go s.reloadOn(ctx, signals.hangup)
	select {
	case err := <-s.failed:
		return err
	case <-signals.terminate:
		return s.drain()
	}
}

// newServer reads the configuration, and the operator's file if there is one, applies its resource limits to the process,
// and starts the core.
func newServer(configPath, invokeFile string) (*server, error) {
	conf, err := config.Read(configPath)
	if err != nil {
		return nil, err
	}
	conf.WarnUnknown(os.Environ())
	invokeConfig, devices, err := readInvokeConfig(invokeFile, conf)
	if err != nil {
		return nil, err
	}
	s := &server{configPath: configPath, config: conf, phases: lifecycle.New(), failed: make(chan error, 3)}
	s.drainState = drain.New(drain.Evacuation(), drain.Termination(longestDeadline(conf.Settings)))
	s.invokeConfig = invokeConfig
	s.descriptors = descriptors.NewBudget(conf.Descriptors(devices))
	applyLimits(conf)
	if s.core, err = dispatch.New(coreConfig(conf, s.descriptors)); err != nil {
		return nil, err
	}
	go s.logMetrics() // runs until the end of the process
	go s.core.Run()   // ended by closing the invoke service, else by the end of the process
	return s, nil
}

// logMetrics writes the counters into the log from time to time.
func (s *server) logMetrics() {
	for range time.Tick(metricsInterval) {
		s.descriptors.Check()
		metrics.Log()
	}
}

// applyLimits makes the Go runtime keep to the configured limits of memory and cores.
func applyLimits(conf *config.Config) {
	debug.SetMemoryLimit(conf.MemoryLimit())
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Limits.Cores))))
}

// coreConfig translates the configuration file into the configuration of the core and its connection pools.
func coreConfig(conf *config.Config, budget *descriptors.Budget) dispatch.Config {
	return dispatch.Config{
		Settings:     conf.Settings,
		Seed:         conf.Seed,
		MaxInFlight:  conf.MaxInFlight(),
		MaxBodyBytes: conf.MaxBodyBytes(),
		Pool: worker.Config{
			DialTimeout: conf.Settings.DialTimeout,
			IdleTimeout: conf.Connections.IdleClose,
			MaxStreams:  conf.Connections.Streams,
			MaxConns:    conf.MaxConnsPerWorker(),
			ConnLimit:   worker.NewConnLimit(budget.Workers),
			BreakRate:   worker.NewBreakRate(conf.Connections.Handshake),
		},
	}
}

// watchEndpoints keeps the core's list of endpoints up to date until ctx ends, starting with the configured list.
func (s *server) watchEndpoints(ctx context.Context) {
	s.watcher = discovery.NewWatcher(s.config.DiscoveryAddr, s.descriptors.Discovery, s.core)
	go func() {
		s.watcher.Seed(s.config.InitialEndpoints)
		s.watcher.Run(ctx)
	}()
}

// openFrontend listens for clients and serves them in the background until drain closes the listener.
func (s *server) openFrontend(terminate <-chan os.Signal) error {
	open := func() (net.Listener, error) { return net.Listen("tcp", s.config.Listen) }
	var err error
	if s.listener, err = listen(open, time.Now().Add(listenTimeout), terminate); err != nil {
		return err
	}
	s.frontend = &resp.Server{Core: s.core, Ready: s.ready, Settings: s.config.Settings, Timeouts: resp.DefaultTimeouts,
		DrainState: s.drainState}
	go func() { s.failed <- s.frontend.Serve(s.listener, s.descriptors.Clients) }()
	s.listening.Store(true)
	slog.Info("listening", "name", s.config.Name, "addr", s.config.Listen)
	return nil
}

// ready reports whether the dispatcher takes calls. The program counts as serving from the first time that it is asked
// with the endpoints known. It is safe for concurrent use.
func (s *server) ready() bool {
	if s.listening.Load() && s.core.EndpointsKnown() {
		s.phases.Enter(lifecycle.Serving)
	}
	return s.phases.Phase().Ready() && s.drainState.Phase() == drain.Serving
}

// longestDeadline returns the longest deadline of all classes; 0: no class has one.
func longestDeadline(settings balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// signals delivers the signals that the program reacts to.
type signals struct {
	terminate chan os.Signal // SIGTERM or an interrupt: drain and end
	hangup    chan os.Signal // SIGHUP: reload the configuration
}

func notifySignals() signals {
	s := signals{terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// stop gives the signals back to their default handling.
func (s signals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.hangup)
}
