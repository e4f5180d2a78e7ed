package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spiffe/go-spiffe/v2/workloadapi"

	"kitefall/internal/config"
	"kitefall/internal/control"
	"kitefall/internal/discovery"
	"kitefall/internal/dispatch"
	"kitefall/internal/frontend/invoke"
	"kitefall/internal/frontend/resp"
	"kitefall/internal/invocation/executor"
	"kitefall/internal/invocation/store"
	"kitefall/internal/lifecycle"
	"kitefall/internal/monotonic"
	"kitefall/internal/worker"
)

const (
	// linger is how long calls are taken after the order to end: clients learn of it late.
	linger = 700 * time.Millisecond
	// listenBy is how long the process before may hold the address. The platform wants an answer to CHECK within 30 s.
	listenBy = 20 * time.Second
	// look is how often it is looked whether all is answered after that, or the address is free.
	look = 5 * time.Millisecond
	// identityBy is how long the Workload API may take for the first identity.
	identityBy = 30 * time.Second
	// storeBy is how long another process may hold the ticket store.
	storeBy = 5 * time.Second
	// clockAhead is how far the last run's clock may be ahead before it is worth a line.
	clockAhead = time.Minute
	// gcPercent is how much garbage there may be beside what is in use while the invoke front is on.
	gcPercent = 50
	// shutBy is how long requests of the invoke API may take to end.
	shutBy = 5 * time.Second
)

func run(path, invokeFile string) error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(ended)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP) // from the first moment on: unhandled, it would end the program
	defer signal.Stop(again)
	conf, err := config.Read(path)
	if err != nil {
		return err
	}
	phases := lifecycle.New()
	debug.SetMemoryLimit(conf.MemoryLimit())
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Limits.Cores))))
	one, all := conf.MaxWorkerConns()
	core, err := dispatch.New(dispatch.Config{Settings: conf.Settings, Seed: conf.Seed, MaxInFlight: conf.MaxInFlight(),
		MaxBodyBytes: conf.MaxBodyBytes(), Pool: worker.Config{DialTimeout: conf.Settings.DialTimeout,
			IdleTimeout: conf.Connections.IdleClose, MaxStreams: conf.Connections.Streams, MaxConns: one, ConnLimit: worker.NewConnLimit(all),
			BreakRate: worker.NewBreakRate(conf.Connections.Handshake)}})
	if err != nil {
		return err
	}
	go core.Run()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := discovery.NewWatcher(conf.DiscoveryAddr, core.UpdateEndpoints)
	go func() {
		watcher.Seed(conf.InitialEndpoints)
		watcher.Run(ctx)
	}()
	failed := make(chan error, 2)
	edge := &invokeFront{}
	if invokeFile != "" {
		if edge, err = startInvoke(invokeFile, conf, core, failed); err != nil {
			return err
		}
	}
	ln, err := listen(func() (net.Listener, error) { return net.Listen("tcp", conf.Listen) }, time.Now().Add(listenBy), ended)
	if err != nil {
		return err
	}
	ready := func() bool {
		if core.EndpointsKnown() {
			phases.Enter(lifecycle.Serving)
		}
		return phases.Phase().Ready()
	}
	front := &resp.Server{Core: core, Ready: ready, Settings: conf.Settings, Timeouts: resp.DefaultTimeouts}
	go func() { failed <- front.Serve(ln, conf.MaxClientConns()) }()
	slog.Info("listening", "name", conf.Name, "addr", conf.Listen)
	go func() {
		for range again {
			ready() // the list may be known without a CHECK having asked
			reload(path, conf, watcher, phases)
		}
	}()
	select {
	case err := <-failed:
		return err
	case <-ended:
	}
	phases.Enter(lifecycle.Draining)
	time.Sleep(linger)
	ln.Close()
	front.Drain()
	edge.finish()
	for core.InFlight() > 0 || front.ActiveConns() > 0 {
		time.Sleep(look)
	}
	err = edge.close()
	phases.Enter(lifecycle.Stopped)
	return err
}

// listen opens the listener of the platform's front. The process before this one may still be ending at its address, so
// it is tried again until then, or until the program is told to end.
func listen(open func() (net.Listener, error), by time.Time, ended chan os.Signal) (net.Listener, error) {
	for {
		ln, err := open()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(by) {
			return ln, err
		}
		select {
		case s := <-ended:
			return nil, fmt.Errorf("%w: told to end by %v", err, s)
		case <-time.After(look):
		}
	}
}

// reload reads the configuration again and follows the board that it names, in whatever phase the program is: a
// drain must be heard of also by one that ends. A file that cannot be used changes nothing.
func reload(path string, old *config.Config, watcher *discovery.Watcher, phases *lifecycle.Lifecycle) {
	if phases.Enter(lifecycle.Reloading) {
		defer phases.Enter(lifecycle.Serving)
	}
	conf, err := config.Read(path)
	if err != nil {
		slog.Error("reload: the settings stay as they were", "err", err)
		return
	}
	if !conf.EqualExceptReloadable(old) {
		slog.Warn("reload: other settings than the board have changed: they count from the next start on")
	}
	watcher.SetAddress(conf.DiscoveryAddr)
	slog.Info("reload: the board has moved", "addr", conf.DiscoveryAddr)
}

// invokeFront is the invoke front and what stands behind it; empty if it is off.
type invokeFront struct {
	server   *invoke.Server
	desk     *executor.Executor
	control  *control.Server
	identity *workloadapi.X509Source
	core     *dispatch.Core
}

func startInvoke(file string, conf *config.Config, core *dispatch.Core, failed chan<- error) (*invokeFront, error) {
	c, err := invoke.ReadConfig(file, conf.Settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(identityBy))
	defer cancel()
	f := &invokeFront{core: core}
	if f.identity, err = invoke.WaitForIdentity(ctx, c.WorkloadAPI); err != nil {
		return nil, err
	}
	kept := c.StoreOptions()
	kept.Durable.LockDeadline = time.Now().Add(storeBy)
	kept.Durable.VerifyOnOpen = true
	tickets, err := store.Open(c.Store, kept)
	if err != nil {
		return nil, err
	}
	latest, err := tickets.AdvanceClock(time.Now())
	if err != nil {
		return nil, err
	}
	if ahead := time.Until(latest); ahead > clockAhead {
		slog.Warn("tickets: the last run's clock was ahead of this one's; times go on from there", "ahead", ahead.Round(time.Second))
	}
	if f.desk, err = executor.New(tickets, core, c, c.SchedulerConfig(), monotonic.Start(latest)); err != nil {
		return nil, err
	}
	// The invoke front may hold 100,000 tickets that wait: small objects that stay. Half as much garbage beside them is
	// worth the collector's time; while the front is off nothing changes.
	debug.SetGCPercent(gcPercent)
	if err := f.desk.Recover(); err != nil {
		return nil, err
	}
	if f.control, err = control.Listen(c.Control, control.ForStore(tickets, f.desk.Redrive)); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	f.server = invoke.New(c, f.desk, f.identity)
	go func() {
		if err := f.server.Serve(ln); err != nil {
			failed <- err
		}
	}()
	slog.Info("serving the invoke API", "name", conf.Name, "addr", ln.Addr().String())
	return f, nil
}

// finish takes no new calls: else a busy edge would never come to its end.
func (f *invokeFront) finish() {
	if f.server != nil {
		f.server.Drain()
	}
}

// close ends the front, once nothing is open in the core.
func (f *invokeFront) close() error {
	if f.server == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(shutBy))
	defer cancel()
	f.server.Shutdown(ctx)
	f.control.Close()
	f.core.Stop()
	f.identity.Close()
	return f.desk.Close()
}
