// Package dispatch forwards calls from the frontends to workers.
//
// A [Core] runs one event loop, and the goroutine of that loop alone owns the balancer, which takes all decisions.
// Frontends, worker pools and endpoint discovery reach the loop by its queue. The loop never waits for a socket or a
// disk. Each accepted call gets exactly one final answer, unless its client cancels it first.
//
// The files by concern: core.go has the exported API, events.go the event loop, actions.go the exchange with the
// balancer, requests.go the requests in flight, attempts.go their attempts, loads.go the load orders, endpoints.go the
// workers' connection pools and timers.go the timers of the loop.
package dispatch

import (
	"errors"
	"sync/atomic"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/monotonic"
	"kitefall/internal/worker"
)

// queueSize is how many events may wait for the loop. Beyond it calls are rejected, and other senders wait.
const queueSize = 8192

// ErrOverloaded means that a call was not accepted because too many calls, or too many bytes of their bodies, are in
// flight. A retry does no harm.
var ErrOverloaded = errors.New("too many calls in flight")

// Config configures a Core.
type Config struct {
	Settings     balancer.Settings
	Seed         uint64        // of the balancer's random choices
	Pool         worker.Config // for the connections to all workers
	MaxInFlight  int           // calls in flight at a time
	MaxBodyBytes int64         // bytes of the bodies of all calls in flight
}

// Core forwards calls to workers as the balancer decides. Run must be running for calls to be answered; all other
// exported methods are safe for concurrent use.
type Core struct {
	config  Config
	queue   chan queuedEvent
	stop    chan struct{} // closed by Stop
	stopped chan struct{} // closed when Run has returned

	inFlight          atomic.Int64 // calls accepted and not answered
	inFlightBodyBytes atomic.Int64 // bytes of their bodies
	endpointsKnown    atomic.Bool

	// All that follows belongs to the goroutine of Run.

	balancer       requestBalancer
	clock          clock
	permits        permits
	clockSteps     *monotonic.StepDetector
	balancerEvents []balancer.Event // to deliver; the first one is being handled
	lastID         balancer.RequestID
	requests       map[balancer.RequestID]*request
	endpoints      map[balancer.WorkerID]*endpoint
	syncedAt       time.Duration              // when the poll of the last sync with discovery was sent, in the balancer's time
	removed        map[balancer.WorkerID]bool // those of endpoints that were removed
	startTimes     *balancer.StartTimes
	loads          map[loadKey]*loadOrder
	timers         timerQueue
}

// New returns a core that knows no workers yet. An error says what is wrong with the settings.
func New(config Config) (*Core, error) {
	// The frontends decide whether a client is told Retry-After; the balancer always advises.
	config.Settings.SendRetryAfter = true
	config.Settings.EndpointLeases = true // what discovery has to tell counts as told, whether it arrives or not
	b, err := balancer.New(config.Settings, config.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		config:     config,
		queue:      make(chan queuedEvent, queueSize),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		balancer:   b,
		clock:      newClock(),
		permits:    newPermits(config.Settings),
		startTimes: balancer.NewStartTimes(),
		clockSteps: monotonic.NewStepDetector(),
		requests:   map[balancer.RequestID]*request{},
		endpoints:  map[balancer.WorkerID]*endpoint{},
		removed:    map[balancer.WorkerID]bool{},
		loads:      map[loadKey]*loadOrder{},
	}
	c.config.Pool.PeerGone = func(uid string) { c.post(peerGone{worker: balancer.WorkerID(uid)}) }
	return c, nil
}

// EndpointsKnown reports whether a list of workers has been taken in.
func (c *Core) EndpointsKnown() bool { return c.endpointsKnown.Load() }

// InFlight returns the number of calls accepted and not yet answered.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// Handle identifies an accepted call, to cancel it by.
type Handle struct {
	core     *Core
	id       balancer.RequestID // belongs to the goroutine of Run; 0 until the call has been taken from the queue
	finished atomic.Bool        // answered or cancelled: no attempt of the call may start any more
}

// Submit accepts a call, which may start at once. With ErrOverloaded the call was not accepted, and its Done is not
// called.
func (c *Core) Submit(submitted *call.Call) (*Handle, error) {
	if !c.reserve(submitted) {
		return nil, ErrOverloaded
	}
	h := &Handle{core: c}
	select {
	case c.queue <- queued(callSubmitted{call: submitted, handle: h}):
		return h, nil
	default:
		c.release(submitted)
		return nil, ErrOverloaded
	}
}

// reserve counts a call and its body as in flight and reports whether the limits allow it. They are checked here, ahead
// of the queue: beyond them the program would run out of memory and lose every call in flight.
func (c *Core) reserve(submitted *call.Call) bool {
	calls := c.inFlight.Add(1)
	bodyBytes := c.inFlightBodyBytes.Add(int64(len(submitted.Body)))
	if calls > int64(c.config.MaxInFlight) || bodyBytes > c.config.MaxBodyBytes {
		c.release(submitted)
		return false
	}
	return true
}

// release counts a call and its body as no longer in flight.
func (c *Core) release(submitted *call.Call) {
	c.inFlight.Add(-1)
	c.inFlightBodyBytes.Add(-int64(len(submitted.Body)))
}

// Cancel tells the core that the client no longer waits: Done is not called any more, unless the call is being answered
// in this moment. From the return of Cancel on no attempt starts, though the event loop may learn of it later.
func (h *Handle) Cancel() {
	h.finished.Store(true)
	h.core.post(callCancelled{handle: h})
}

// UpdateEndpoints takes in an endpoint list or a change of it.
func (c *Core) UpdateEndpoints(update discovery.Update) {
	c.post(endpointsUpdated{update: update})
}

// ConfirmEndpoints notes that the updates so far were all that discovery knew at a time.
func (c *Core) ConfirmEndpoints(asOf time.Time) { c.post(endpointsConfirmed{asOf: asOf}) }

// Stop ends Run and waits for its return; it may be called once. Calls in flight remain unanswered.
func (c *Core) Stop() {
	close(c.stop)
	<-c.stopped
}
