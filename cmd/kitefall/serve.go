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

	"kitefall/internal/board"
	"kitefall/internal/config"
	"kitefall/internal/dispatch"
	"kitefall/internal/front/invoke"
	"kitefall/internal/front/resp"
	"kitefall/internal/life"
	"kitefall/internal/operate"
	"kitefall/internal/steady"
	"kitefall/internal/ticket/desk"
	"kitefall/internal/ticket/store"
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
	phases := life.New()
	debug.SetMemoryLimit(conf.MemoryLimit())
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Limits.Cores))))
	one, all := conf.WorkerConnections()
	core, err := dispatch.New(dispatch.Config{Settings: conf.Settings, Seed: conf.Seed, MostOpen: conf.MostOpen(),
		MostHeld: conf.MostHeld(), Links: worker.Config{DialTimeout: conf.Settings.DialTimeout,
			IdleClose: conf.Connections.IdleClose, Streams: conf.Connections.Streams, Connections: one, Room: worker.NewRoom(all),
			Wear: worker.NewWear(conf.Connections.Handshake)}})
	if err != nil {
		return err
	}
	go core.Run()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := board.NewWatcher(conf.Board, core.News)
	go func() {
		watcher.Known(conf.Known)
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
		if core.Known() {
			phases.Enter(life.Serving)
		}
		return phases.Phase().Up()
	}
	front := &resp.Server{Core: core, Ready: ready, Settings: conf.Settings, Patience: resp.Usual}
	go func() { failed <- front.Serve(ln, conf.ClientConnections()) }()
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
	phases.Enter(life.Draining)
	time.Sleep(linger)
	ln.Close()
	front.Finish()
	edge.finish()
	for core.Open() > 0 || front.Clients() > 0 {
		time.Sleep(look)
	}
	err = edge.close()
	phases.Enter(life.Stopped)
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
func reload(path string, old *config.Config, watcher *board.Watcher, phases *life.Life) {
	if phases.Enter(life.Reloading) {
		defer phases.Enter(life.Serving)
	}
	conf, err := config.Read(path)
	if err != nil {
		slog.Error("reload: the settings stay as they were", "err", err)
		return
	}
	if !conf.SameBut(old) {
		slog.Warn("reload: other settings than the board have changed: they count from the next start on")
	}
	watcher.Move(conf.Board)
	slog.Info("reload: the board has moved", "addr", conf.Board)
}

// invokeFront is the invoke front and what stands behind it; empty if it is off.
type invokeFront struct {
	server   *invoke.Server
	desk     *desk.Desk
	control  *operate.Socket
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
	if f.identity, err = invoke.Identify(ctx, c.WorkloadAPI); err != nil {
		return nil, err
	}
	kept := c.Kept()
	kept.Durable.LockBy = time.Now().Add(storeBy)
	kept.Durable.Check = true
	tickets, err := store.Open(c.Store, kept)
	if err != nil {
		return nil, err
	}
	latest, err := tickets.Seen(time.Now())
	if err != nil {
		return nil, err
	}
	if ahead := time.Until(latest); ahead > clockAhead {
		slog.Warn("tickets: the last run's clock was ahead of this one's; times go on from there", "ahead", ahead.Round(time.Second))
	}
	if f.desk, err = desk.New(tickets, core, c, c.Plan(), steady.Start(latest)); err != nil {
		return nil, err
	}
	// The invoke front may hold 100,000 tickets that wait: small objects that stay. Half as much garbage beside them is
	// worth the collector's time; while the front is off nothing changes.
	debug.SetGCPercent(gcPercent)
	if err := f.desk.Resume(); err != nil {
		return nil, err
	}
	if f.control, err = operate.Listen(c.Control, operate.Store(tickets, f.desk.Redrive)); err != nil {
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
		f.server.Finish()
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
