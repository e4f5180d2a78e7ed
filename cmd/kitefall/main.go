// Kitefall is a dispatcher: it takes calls from clients, runs them on workers that have their handlers loaded,
// and answers each exactly once. It decides nothing itself: package rules does.
package main

import (
	"context"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"kitefall/internal/board"
	"kitefall/internal/config"
	"kitefall/internal/dispatch"
	"kitefall/internal/front/resp"
	"kitefall/internal/life"
	"kitefall/internal/worker"
)

const (
	// linger is how long calls are taken after the order to end: clients learn of it late.
	linger = 700 * time.Millisecond
	// look is how often it is looked whether all is answered after that.
	look = 5 * time.Millisecond
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(os.Getenv("RELAY_CONFIG")); err != nil {
		log.Fatalf("kitefall: %v", err)
	}
}

func run(path string) error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	conf, err := config.Read(path)
	if err != nil {
		return err
	}
	phases := life.New()
	debug.SetMemoryLimit(conf.MemoryLimit())
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Limits.Cores))))
	core, err := dispatch.New(dispatch.Config{Settings: conf.Settings, Seed: conf.Seed, MostOpen: conf.MostOpen(),
		MostHeld: conf.MostHeld(), Links: worker.Config{DialTimeout: conf.Settings.DialTimeout,
			IdleClose: conf.Connections.IdleClose, DrainGrace: conf.Settings.DrainGrace,
			Streams: conf.Connections.Streams, Connections: conf.WorkerConnections()}})
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
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	ready := func() bool {
		if core.Known() {
			phases.Enter(life.Serving)
		}
		return phases.Phase() == life.Serving
	}
	front := &resp.Server{Core: core, Ready: ready}
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(ln, conf.ClientConnections()) }()
	log.Printf("%s listens on %s", conf.Name, conf.Listen)
	select {
	case err := <-failed:
		return err
	case <-ended:
	}
	phases.Enter(life.Draining)
	time.Sleep(linger)
	ln.Close()
	front.Finish()
	for core.Open() > 0 || front.Clients() > 0 {
		time.Sleep(look)
	}
	phases.Enter(life.Stopped)
	return nil
}
