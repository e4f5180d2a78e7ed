package dispatch

import (
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/worker"
)

// initialTimerWait is how long the loop's timer first runs where nothing is scheduled; when it fires, nothing happens.
const initialTimerWait = time.Hour

// event is something that the event loop handles in turn. It comes by the queue or from a timer.
type event interface{ dispatchEvent() }

// Events that come by the queue.
type (
	// callSubmitted hands in a call that has been reserved.
	callSubmitted struct {
		call   *call.Call
		handle *Handle
	}
	// callCancelled means that the client of a call no longer waits.
	callCancelled struct{ handle *Handle }
	// attemptPrepared ends the BeforeFirstAttempt that an attempt waited for; err is what that returned.
	attemptPrepared struct {
		attempt *attempt
		err     error
	}
	// attemptEnded is a pool's result of an attempt.
	attemptEnded struct {
		attempt *attempt
		result  worker.Result
	}
	// loadEnded is a pool's result of a load order.
	loadEnded struct {
		order  *loadOrder
		result worker.Result
	}
	// endpointsUpdated brings an endpoint list or a change of it.
	endpointsUpdated struct{ update discovery.Update }
	// peerGone means that the process of a worker may have ended.
	peerGone struct{ worker balancer.WorkerID }
	// endpointsConfirmed means that the updates so far were all that discovery knew at a time.
	endpointsConfirmed struct{ asOf time.Time }
)

// Events that come from timers.
type (
	// answerOverdue means that the balancer has left a request without an answer past its deadline.
	answerOverdue struct{ request *request }
	// attemptTimedOut means that the time of an attempt is over.
	attemptTimedOut struct{ attempt *attempt }
	// loadTimedOut means that the time of a load order is over.
	loadTimedOut struct{ order *loadOrder }
	// balancerTimerFired means that a timer set by the balancer fired.
	balancerTimerFired struct{ id int64 }
)

func (callSubmitted) dispatchEvent()      {}
func (callCancelled) dispatchEvent()      {}
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

// post queues an event. It waits for room in the queue, so the event loop itself must not call it. Once the core is
// stopped, the event may be dropped.
func (c *Core) post(e event) {
	select {
	case c.queue <- queued(e):
	case <-c.stop:
	}
}

// Run runs the event loop until Stop. It must be called once.
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
			c.noteLag(e.event, time.Since(e.at))
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
		c.noteLag(due.event, time.Since(due.due))
		c.handleTimed(due.event)
	}
}

// handle carries out one event.
func (c *Core) handle(e event) {
	switch e := e.(type) {
	case callSubmitted:
		c.accept(e.call, e.handle)
	case callCancelled:
		c.cancelRequest(e.handle)
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
