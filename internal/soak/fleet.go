package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kitefall/internal/channel"
	"kitefall/internal/wallstep"
)

const (
	dispatcherPort     = 4100
	discoveryPort      = 2379
	discoveryAddresses = 8 // a reload moves a dispatcher to the next one
	readyTimeout       = 15 * time.Second
	// acceptAfterTerm is how long clients make new connections after SIGTERM. They use those that are open until the end.
	acceptAfterTerm = 400 * time.Millisecond
)

// Fleet is the processes of a run.
type Fleet struct {
	config    Config
	net       int // the second number of all addresses
	endpoints *endpointList

	mu          sync.Mutex
	dispatchers []*dispatcherHandle
	workers     []*workerHandle
	clients     []*client
	faults      map[string]int
	freezes     []Freeze
	evacuations []Evacuation
	outages     []Outage
	discovery   map[int][]func() // stop the servers of the endpoint list, by dispatcher

	stopClients chan struct{}
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
	config.applyDefaults()
	f := &Fleet{
		config:      config,
		net:         firstNet + (os.Getpid()+int(fleetCount.Add(1))*37)%netCount,
		faults:      map[string]int{},
		discovery:   map[int][]func(){},
		stopClients: make(chan struct{}),
	}
	f.endpoints = newEndpointList(f)
	for i := range config.Workers + config.Spares {
		f.workers = append(f.workers, newWorkerHandle(f, i))
	}
	for i := range config.Dispatchers {
		f.dispatchers = append(f.dispatchers, &dispatcherHandle{number: i})
	}
	if err := errors.Join(f.startWorkers(), f.serveDiscovery(f.allDispatchers()), f.startDispatchers()); err != nil {
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
		for _, worker := range f.workers[i].members {
			f.endpoints.first = append(f.endpoints.first, change{worker: worker, state: stateActive})
		}
	}
	return nil
}

// serveDiscovery has the endpoint list answer the dispatchers at all their addresses.
func (f *Fleet) serveDiscovery(dispatchers []int) error {
	for _, dispatcher := range dispatchers {
		for address := range discoveryAddresses {
			stop, err := f.endpoints.serve(dispatcher, f.discoveryAddr(dispatcher, address))
			if err != nil {
				return err
			}
			f.mu.Lock()
			f.discovery[dispatcher] = append(f.discovery[dispatcher], stop)
			f.mu.Unlock()
		}
	}
	return nil
}

// stopDiscovery has nothing listen at the dispatchers' addresses of the endpoint list.
func (f *Fleet) stopDiscovery(dispatchers []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dispatcher := range dispatchers {
		for _, stop := range f.discovery[dispatcher] {
			stop()
		}
		f.discovery[dispatcher] = nil
	}
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

// adminAddr returns the address for the operators of a dispatcher.
func (f *Fleet) adminAddr(dispatcher int) string {
	return fmt.Sprintf("127.%d.2.%d:%d", f.net, dispatcher+1, dispatcherPort)
}

func (f *Fleet) discoveryAddr(dispatcher, address int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", f.net, dispatcher+1, discoveryPort+address)
}

// StartClients starts a client of each dispatcher.
func (f *Fleet) StartClients(load Load) {
	for i := range f.dispatchers {
		c := &client{fleet: f, dispatcher: i, load: load, random: rand.New(rand.NewPCG(f.config.Seed, uint64(i+1)))}
		f.mu.Lock()
		f.clients = append(f.clients, c)
		f.mu.Unlock()
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
	time.Sleep(f.config.Deadline + answerSlack) // the longest wait of a client, and the time until a request counts as lost
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
		if exited != nil && !channel.IsClosed(exited) {
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
	f.stopDiscovery(f.allDispatchers())
}

// history gathers what was recorded.
func (f *Fleet) history() (*History, error) {
	h := &History{Rules: f.config.Rules, KillDelay: f.config.killDelay(), Limits: f.config.Limits, Faults: f.faults,
		Freezes: f.freezes, Evacuations: f.evacuations, Outages: f.outages}
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
	h.Notifications = f.endpoints.allNotifications(h.Dispatchers)
	h.ListChanges = f.endpoints.allChanges()
	return h, nil
}
