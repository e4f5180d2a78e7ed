// Package dispatch forwards calls from the frontends to workers.
//
// A [Core] runs one event loop. Only the goroutine of the event loop uses the balancer, which makes all decisions.
// Frontends, worker pools and endpoint discovery send events to the loop through its queue. The loop never waits for a
// socket or a disk. Each accepted call gets exactly one final answer, unless its client cancels the call first.
//
// Files: core.go has the exported API, events.go the event loop, actions.go the exchange with the balancer, requests.go
// the requests in flight, attempts.go their attempts, loads.go the load orders, permits.go the checks of the balancer's
// decisions, endpoints.go the workers' connection pools, timers.go the timers of the loop, clock.go the balancer's time
// and lag.go the measurement of the loop's delays.
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

// queueSize is the maximum number of events that wait for the event loop. When the queue is full, new calls are rejected
// and other senders block.
const queueSize = 8192

// maxWaitingSubmissions is how many calls of SubmitInTurn wait for the event loop at a time. It bounds the time that a call waits
// behind others, however many clients submit calls.
const maxWaitingSubmissions = 64

// ErrOverloaded means that a call was not accepted because the calls in flight or their bodies have reached a limit, or
// because the event queue is full. A retry cannot run the call twice.
var ErrOverloaded = errors.New("too many calls in flight")

// Config configures a Core.
type Config struct {
	Settings     balancer.Settings
	Seed         uint64        // seed of the balancer's random choices
	Pool         worker.Config // configuration of the connections to all workers
	MaxInFlight  int           // maximum number of calls in flight
	MaxBodyBytes int64         // maximum total size of the bodies of all calls in flight
}

// Core forwards calls to workers as the balancer decides. Calls are answered only while Run is running. All other exported
// methods are safe for concurrent use.
type Core struct {
	config  Config
	queue   chan queuedEvent
	turns   chan struct{} // holds a token for each call of SubmitInTurn in queue
	stop    chan struct{} // closed by Stop
	stopped chan struct{} // closed when Run has returned

	inFlight          atomic.Int64 // number of calls accepted and neither answered nor cancelled
	inFlightBodyBytes atomic.Int64 // total size of the bodies of the calls in flight, or whose attempts have not ended
	endpointsKnown    atomic.Bool

	// The following fields are used only by the goroutine of Run.

	balancer       requestBalancer
	clock          clock
	permits        permits
	clockSteps     *monotonic.StepDetector
	balancerEvents []balancer.Event // events to deliver to the balancer; the first one is being handled
	lastID         balancer.RequestID
	requests       map[balancer.RequestID]*request
	endpoints      map[balancer.WorkerID]*endpoint
	syncedAt       time.Duration              // balancer time at which the poll of the last sync with discovery was sent
	removed        map[balancer.WorkerID]bool // workers that were removed but are still in endpoints
	startTimes     *balancer.StartTimes
	loads          map[loadKey]*loadOrder
	timers         timerQueue
}

// New returns a core that knows no workers yet. It returns an error if the settings are invalid.
func New(config Config) (*Core, error) {
	// The balancer always suggests a retry delay; the frontends decide whether to send it to the client as Retry-After.
	config.Settings.SendRetryAfter = true
	// The dispatcher counts as notified of a change of the endpoint list even if the event never arrives (see
	// permit.MaxNotificationDelay), so workers need leases that expire.
	config.Settings.EndpointLeases = true
	b, err := balancer.New(config.Settings, config.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		config:     config,
		queue:      make(chan queuedEvent, queueSize),
		turns:      make(chan struct{}, maxWaitingSubmissions),
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

// EndpointsKnown reports whether an update of the endpoint list has been processed.
func (c *Core) EndpointsKnown() bool { return c.endpointsKnown.Load() }

// InFlight returns the number of calls that were accepted and neither answered nor cancelled.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// Handle identifies an accepted call. It is used to cancel the call.
type Handle struct {
	core       *Core
	id         balancer.RequestID // used only by the goroutine of Run; 0 until the call has been taken from the queue
	finished   atomic.Bool        // the call is answered or cancelled: no attempt of it may start any more
	clientGone func() bool        // Call.ClientGone
	abandoned  atomic.Bool        // set by Abandon: no attempt of the call may start any more
}

// mayNotStart reports whether no attempt of the call may start any more.
func (h *Handle) mayNotStart() bool {
	return h.finished.Load() || h.abandoned.Load() || h.clientGone != nil && h.clientGone()
}

// Submit accepts a call, which may start at once. If it returns ErrOverloaded, the call was not accepted and its Done is
// not called.
func (c *Core) Submit(submitted *call.Call) (*Handle, error) {
	return c.submit(callSubmitted{call: submitted})
}

// SubmitInTurn is like Submit, but first waits while maxWaitingSubmissions of its calls wait for the event loop. Goroutines that
// wait get their turns in the order in which they came. After the end of Run it does not wait.
func (c *Core) SubmitInTurn(submitted *call.Call) (*Handle, error) {
	select {
	case c.turns <- struct{}{}:
	case <-c.stop:
	}
	h, err := c.submit(callSubmitted{call: submitted, inTurn: true})
	if err != nil {
		c.endTurn()
	}
	return h, err
}

// endTurn lets the next call of SubmitInTurn wait for the event loop.
func (c *Core) endTurn() {
	select {
	case <-c.turns:
	default: // after the end of Run
	}
}

func (c *Core) submit(e callSubmitted) (*Handle, error) {
	submitted := e.call
	if !c.reserve(submitted) {
		return nil, ErrOverloaded
	}
	h := &Handle{core: c, clientGone: submitted.ClientGone}
	e.handle = h
	select {
	case c.queue <- newQueuedEvent(e):
		return h, nil
	default:
		c.releaseCall()
		c.releaseBody(submitted)
		return nil, ErrOverloaded
	}
}

// reserve counts a call and its body as in flight and reports whether they are within the limits. The limits are checked
// before the call is queued: without them, the process could run out of memory and lose every call in flight.
func (c *Core) reserve(submitted *call.Call) bool {
	calls := c.inFlight.Add(1)
	bodyBytes := c.inFlightBodyBytes.Add(int64(len(submitted.Body)))
	if calls > int64(c.config.MaxInFlight) || bodyBytes > c.config.MaxBodyBytes {
		c.releaseCall()
		c.releaseBody(submitted)
		return false
	}
	return true
}

// releaseCall counts a call as no longer in flight.
func (c *Core) releaseCall() { c.inFlight.Add(-1) }

// releaseBody counts the body of a call as no longer held.
func (c *Core) releaseBody(submitted *call.Call) {
	c.inFlightBodyBytes.Add(-int64(len(submitted.Body)))
}

// Cancel cancels the call because its client no longer waits. Done is not called afterwards, unless the call is being
// answered concurrently. Once Cancel has returned, no attempt of the call starts, even if the event loop has not processed
// the cancellation yet.
func (h *Handle) Cancel() {
	h.finished.Store(true)
	h.core.post(callCancelled{handle: h})
}

// Abandon ends the call because its client no longer waits, but keeps the outcome of an attempt that may have run. Once Abandon
// has returned, no attempt of the call starts. Attempts that were written go on, and Done gets the call's outcome when they have
// ended: Rejected if none of them ran, at once if none was written.
func (h *Handle) Abandon() {
	h.abandoned.Store(true)
	h.core.post(callAbandoned{handle: h})
}

// UpdateEndpoints queues a full endpoint list or a change of the list for the event loop.
func (c *Core) UpdateEndpoints(update discovery.Update) {
	c.post(endpointsUpdated{update: update})
}

// ConfirmEndpoints states that the updates so far contain everything that discovery knew at the time asOf.
func (c *Core) ConfirmEndpoints(asOf time.Time) { c.post(endpointsConfirmed{asOf: asOf}) }

// Stop ends Run and waits until it has returned. It must be called at most once. Calls in flight remain unanswered.
func (c *Core) Stop() {
	close(c.stop)
	<-c.stopped
}
