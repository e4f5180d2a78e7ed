package dispatch

import (
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/worker"
)

// initialTimerWait is the initial duration of the event loop's timer. If the timer fires while no event is due, the loop only
// checks its timer queue.
const initialTimerWait = time.Hour

// event is an input of the event loop, from its queue or from a timer. The loop handles one event at a time.
type event interface{ dispatchEvent() }

// Events from the queue.
type (
	// callSubmitted submits a call that is already counted as in flight.
	callSubmitted struct {
		call   *call.Call
		handle *Handle
		inTurn bool // submitted by SubmitInTurn
	}
	// callCancelled means that a call was cancelled because its client no longer waits.
	callCancelled struct{ handle *Handle }
	// callAbandoned means that the client of a call has left, and that the outcome of its written attempts is still wanted.
	callAbandoned struct{ handle *Handle }
	// attemptPrepared means that BeforeFirstAttempt has returned err; the attempt can be sent if err is nil.
	attemptPrepared struct {
		attempt *attempt
		err     error
	}
	// attemptEnded delivers the result of an attempt from a worker's pool.
	attemptEnded struct {
		attempt *attempt
		result  worker.Result
	}
	// loadEnded delivers the result of a load order from a worker's pool.
	loadEnded struct {
		order  *loadOrder
		result worker.Result
	}
	// endpointsUpdated delivers a full endpoint list or a change of the list.
	endpointsUpdated struct{ update discovery.Update }
	// peerGone means that the process of a worker may have ended: nothing listens at its address, or its last connection was
	// closed or reset by the other side.
	peerGone struct{ worker balancer.WorkerID }
	// endpointsConfirmed means that the updates so far contain everything that discovery knew at the time asOf.
	endpointsConfirmed struct{ asOf time.Time }
)

// Events from timers.
type (
	// answerOverdue means that the balancer has not answered a request by its deadline plus fallbackGraceShare of the answer
	// grace.
	answerOverdue struct{ request *request }
	// attemptTimedOut means that the deadline of an attempt has passed.
	attemptTimedOut struct{ attempt *attempt }
	// loadTimedOut means that the deadline of a load order has passed.
	loadTimedOut struct{ order *loadOrder }
	// balancerTimerFired means that a timer set by the balancer has fired.
	balancerTimerFired struct {
		id        int64
		postponed bool // because it fired late
	}
)

func (callSubmitted) dispatchEvent()      {}
func (callCancelled) dispatchEvent()      {}
func (callAbandoned) dispatchEvent()      {}
func (attemptPrepared) dispatchEvent()    {}
func (attemptEnded) dispatchEvent()       {}
func (loadEnded) dispatchEvent()          {}
func (endpointsUpdated) dispatchEvent()   {}
func (endpointsConfirmed) dispatchEvent() {}
func (peerGone) dispatchEvent()           {}
func (answerOverdue) dispatchEvent()      {}
func (attemptTimedOut) dispatchEvent()    {}
func (loadTimedOut) dispatchEvent()       {}
func (balancerTimerFired) dispatchEvent() {}

// post queues an event. It blocks while the queue is full, so the event loop itself must not call it. Once the core is
// stopped, the event may be dropped.
func (c *Core) post(e event) {
	select {
	case c.queue <- newQueuedEvent(e):
	case <-c.stop:
	}
}

// Run runs the event loop until Stop is called. It must be called exactly once.
func (c *Core) Run() {
	defer close(c.stopped)
	wakeup := time.NewTimer(initialTimerWait)
	defer wakeup.Stop()
	for {
		if next := c.timers.next(); next != nil {
			wakeup.Reset(time.Until(next.due))
		}
		select {
		case e := <-c.queue:
			c.recordLag(e.event, time.Since(e.queuedAt))
			c.handleTimed(e.event)
		case <-wakeup.C:
		case <-c.stop:
			return
		}
		c.fireTimers()
	}
}

// fireTimers handles the events of all timers that are due.
func (c *Core) fireTimers() {
	for {
		due := c.timers.popDue()
		if due == nil {
			return
		}
		lag := time.Since(due.due)
		c.recordLag(due.event, lag)
		if !c.postponeIfLate(due.event, lag) {
			c.handleTimed(due.event)
		}
	}
}

// postponeIfLate postpones a late timer of the balancer once, by lateTimerGrace, and reports whether it did. What workers have sent
// while the process or its event loop was held up arrives first, and the balancer does not take them for silent.
func (c *Core) postponeIfLate(e event, lag time.Duration) (postponed bool) {
	fired, ok := e.(balancerTimerFired)
	if !ok || fired.postponed || lag <= lateThreshold {
		return false
	}
	fired.postponed = true
	c.timers.add(time.Now().Add(lateTimerGrace), fired)
	return true
}

// handle processes one event.
func (c *Core) handle(e event) {
	switch e := e.(type) {
	case callSubmitted:
		if e.inTurn {
			c.endTurn()
		}
		c.accept(e.call, e.handle)
	case callCancelled:
		c.cancelRequest(e.handle)
	case callAbandoned:
		c.abandonRequest(e.handle)
	case attemptPrepared:
		c.onAttemptPrepared(e.attempt, e.err)
	case attemptEnded:
		c.endAttempt(e.attempt, e.result)
	case loadEnded:
		c.endLoad(e.order, e.result)
	case endpointsUpdated:
		c.updateEndpoints(e.update)
	case peerGone:
		c.notifyBalancer(balancer.PeerGoneEvent{Worker: e.worker})
	case endpointsConfirmed:
		c.confirmEndpoints(e.asOf)
	case answerOverdue:
		c.onAnswerOverdue(e.request)
	case attemptTimedOut:
		c.stopAttempt(e.attempt, balancer.TimedOut)
	case loadTimedOut:
		c.onLoadTimedOut(e.order)
	case balancerTimerFired:
		c.notifyBalancer(balancer.TimerEvent{TimerID: e.id})
	}
}
