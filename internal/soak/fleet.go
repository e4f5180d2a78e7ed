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
	discoveryAddrCount = 8 // for each dispatcher; a reload moves it to the next one
	readyTimeout       = 15 * time.Second
	// connectAfterTerm is how long clients open new connections to a dispatcher after its SIGTERM.
	connectAfterTerm = 400 * time.Millisecond
)

// Fleet holds the processes of a run, its clients and its endpoint list.
type Fleet struct {
	config      Config
	secondOctet int // second octet of all addresses of the fleet, in 127.0.0.0/8
	endpoints   *endpointList

	mu                   sync.Mutex
	dispatchers          []*dispatcherHandle
	workers              []*workerHandle
	clients              []*client
	floodRequests        []*Request     // guarded by mu
	faults               map[string]int // injected faults, by kind
	freezes              []Freeze
	evacuations          []Evacuation
	outages              []Outage
	stopDiscoveryServers map[int][]func() // functions that stop the endpoint list's servers, by dispatcher

	stopClients chan struct{}
	clientTasks sync.WaitGroup // the clients, and their requests on new connections
}

// fleetsStarted counts the fleets that this process has started, so that each gets addresses of its own.
var fleetsStarted atomic.Int64

// Range of the second octet of a fleet's addresses.
const (
	minSecondOctet   = 60
	secondOctetCount = 150
)

// Start starts the processes of a fleet and waits until the dispatchers are ready. Unless Start returns an error, the caller must
// call Close.
func Start(config Config) (*Fleet, error) {
	config.applyDefaults()
	f := &Fleet{
		config:               config,
		secondOctet:          minSecondOctet + (os.Getpid()+int(fleetsStarted.Add(1))*37)%secondOctetCount,
		faults:               map[string]int{},
		stopDiscoveryServers: map[int][]func(){},
		stopClients:          make(chan struct{}),
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

// startWorkers starts the first workers and puts them on the first endpoint list.
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

// serveDiscovery starts the servers of the endpoint list for dispatchers, at all discovery addresses of each.
func (f *Fleet) serveDiscovery(dispatchers []int) error {
	for _, dispatcher := range dispatchers {
		for address := range discoveryAddrCount {
			stop, err := f.endpoints.serve(dispatcher, f.discoveryAddr(dispatcher, address))
			if err != nil {
				return err
			}
			f.mu.Lock()
			f.stopDiscoveryServers[dispatcher] = append(f.stopDiscoveryServers[dispatcher], stop)
			f.mu.Unlock()
		}
	}
	return nil
}

// stopDiscovery stops the servers of the endpoint list for dispatchers, so that nothing listens at their discovery addresses.
func (f *Fleet) stopDiscovery(dispatchers []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, dispatcher := range dispatchers {
		for _, stop := range f.stopDiscoveryServers[dispatcher] {
			stop()
		}
		f.stopDiscoveryServers[dispatcher] = nil
	}
}

// startDispatchers starts the dispatchers and waits until all are ready.
func (f *Fleet) startDispatchers() error {
	for i := range f.dispatchers {
		var steps []wallstep.Step
		if i < len(f.config.WallClockSteps) {
			steps = f.config.WallClockSteps[i]
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
	return fmt.Sprintf("127.%d.0.%d:%d", f.secondOctet, dispatcher+1, dispatcherPort)
}

// adminAddr returns the address at which a dispatcher answers operators.
func (f *Fleet) adminAddr(dispatcher int) string {
	return fmt.Sprintf("127.%d.2.%d:%d", f.secondOctet, dispatcher+1, dispatcherPort)
}

func (f *Fleet) discoveryAddr(dispatcher, address int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", f.secondOctet, dispatcher+1, discoveryPort+address)
}

// StartClients starts one client for each dispatcher.
func (f *Fleet) StartClients(load Load) {
	for i := range f.dispatchers {
		c := &client{fleet: f, dispatcher: i, load: load, random: rand.New(rand.NewPCG(f.config.Seed, uint64(i+1)))}
		f.mu.Lock()
		f.clients = append(f.clients, c)
		f.mu.Unlock()
		f.clientTasks.Go(func() { c.run(f.stopClients) })
	}
}

// SetLoad sets the load of all clients from now on.
func (f *Fleet) SetLoad(load Load) {
	for _, c := range f.clients {
		c.setLoad(load)
	}
}

// Finish stops the clients, waits until the sent requests are answered or count as lost, ends all processes, and returns the
// recorded history.
func (f *Fleet) Finish() (*History, error) {
	close(f.stopClients)
	f.clientTasks.Wait()
	time.Sleep(f.config.Deadline + answerSlack) // a client's longest wait, and the further time after which an answer counts as lost
	for i := range f.dispatchers {
		f.terminateDispatcher(i)
	}
	for i := range f.dispatchers {
		f.awaitExit(i)
	}
	f.Close()
	return f.collectHistory()
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

// collectHistory returns the records of the workers, the clients, the dispatchers and the endpoint list.
func (f *Fleet) collectHistory() (*History, error) {
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
		h.Requests = append(h.Requests, c.awaitRequests()...)
	}
	h.Requests = append(h.Requests, f.floodRequests...)
	for _, d := range f.dispatchers {
		h.Dispatchers = append(h.Dispatchers, d.runs...)
	}
	h.Notifications = f.endpoints.allNotifications(h.Dispatchers)
	h.ListChanges = f.endpoints.allChanges()
	return h, nil
}
