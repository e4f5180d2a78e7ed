package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
	"kitefall/internal/permit"
	"kitefall/internal/worker"
)

// notPersistedLog throttles the log line for calls that are rejected because BeforeFirstAttempt failed. Clients can cause
// this line at any rate, by cancelling calls at that moment.
var notPersistedLog = logthrottle.New()

// attemptState is the progress of an attempt. An attempt is pending until it has ended.
type attemptState int

const (
	attemptPreparing  attemptState = iota // not yet handed to a worker's pool; BeforeFirstAttempt may be running
	attemptInFlight                       // handed to the worker's pool and not ended
	attemptNotRun                         // ended; the worker did not run it
	attemptMayHaveRun                     // ended; the worker may have run it
)

// attemptTransitions lists the allowed next states of each state. attemptNotRun and attemptMayHaveRun are final.
var attemptTransitions = [...][]attemptState{
	attemptPreparing:  {attemptInFlight, attemptNotRun},
	attemptInFlight:   {attemptNotRun, attemptMayHaveRun},
	attemptNotRun:     nil,
	attemptMayHaveRun: nil,
}

// attempt is one attempt of a request at one worker.
type attempt struct {
	request  *request
	number   int // index among the request's attempts, in the order of the balancer's Send actions
	workerID balancer.WorkerID
	state    attemptState
	status   balancer.Status // how the attempt ended; set when ended returns true
	created  time.Time
	deadline time.Time // the attempt times out at this time
	startBy  time.Time // the attempt must not start after this time; zero: it may start until its deadline

	// The following fields are set when the attempt becomes attemptInFlight.

	pool    *worker.Pool
	pending *worker.PendingRequest
	timeout *timer
}

// setState moves the attempt to the next state if that transition is allowed, and reports whether it is. No transition is
// allowed once the attempt has ended, for example when a worker's answer arrives after the attempt has timed out.
func (a *attempt) setState(next attemptState) bool {
	if !slices.Contains(attemptTransitions[a.state], next) {
		return false
	}
	a.state = next
	return true
}

// mayHaveRun reports whether the worker may have run the attempt or may still be running it.
func (a *attempt) mayHaveRun() bool {
	return a.state == attemptInFlight || a.state == attemptMayHaveRun
}

// ended reports whether the attempt has reached a final state.
func (a *attempt) ended() bool { return a.state == attemptNotRun || a.state == attemptMayHaveRun }

// finalState returns the final state of an attempt that ended with the given status.
func finalState(status balancer.Status) attemptState {
	switch status {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent, balancer.Miss:
		return attemptNotRun
	default:
		return attemptMayHaveRun
	}
}

// startAttempt executes a Send action of the balancer.
func (c *Core) startAttempt(send balancer.Send) {
	r := c.requests[send.ID]
	if r == nil {
		return
	}
	now := time.Now()
	a := &attempt{request: r, number: len(r.attempts), workerID: send.Worker, created: now, deadline: r.call.Deadline}
	if send.Timeout > 0 && now.Add(send.Timeout).Before(a.deadline) {
		a.deadline = now.Add(send.Timeout)
	}
	if send.StartWithin > 0 {
		a.startBy = now.Add(send.StartWithin)
	}
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	if r.prepared {
		c.sendAttempt(a)
		return
	}
	// BeforeFirstAttempt may wait for a disk, so it runs on its own goroutine, which ends when BeforeFirstAttempt returns.
	// Stop does not wait for this goroutine.
	go func() {
		err := r.call.BeforeFirstAttempt()
		c.post(attemptPrepared{attempt: a, err: err})
	}()
}

// onAttemptPrepared sends an attempt, or rejects the call if BeforeFirstAttempt failed.
func (c *Core) onAttemptPrepared(a *attempt, err error) {
	r := a.request
	if err != nil && !r.closed {
		notPersistedLog.Log(slog.LevelWarn, "core: call rejected, it could not be persisted", "call", r.logID(), "err", err)
		c.answer(r, call.Answer{Outcome: call.Rejected})
		c.notifyBalancer(balancer.ClientGoneEvent{ID: r.id})
	}
	r.prepared = err == nil
	c.sendAttempt(a)
}

// sendAttempt hands an attempt to the pool of its worker. It does nothing if the attempt ended while it was being prepared.
func (c *Core) sendAttempt(a *attempt) {
	if a.state != attemptPreparing {
		return
	}
	if reason := c.checkAttempt(a); reason != permit.Allowed {
		recordRefusal(reason, a.created, "attempt", "call", a.request.logID(), "worker", string(a.workerID))
		c.endAttempt(a, worker.Result{Status: balancer.NotSent})
		return
	}
	r := a.request
	e := c.endpoints[a.workerID]
	outgoing := worker.Attempt{
		ID:        r.call.ID,
		Class:     r.call.Class,
		Function:  r.call.Function,
		Key:       r.call.IdempotencyKey,
		Body:      r.call.Body,
		Deadline:  a.deadline,
		StartBy:   a.startBy,
		LeaseEnd:  c.leaseEnd(a.workerID),
		Abandoned: r.handle.mayNotStart,
	}
	pending, err := e.pool.Call(outgoing, func(result worker.Result) {
		c.post(attemptEnded{attempt: a, result: result})
	})
	if err != nil { // the pool had no room; ConnectFailed would count against the worker
		c.endAttempt(a, worker.Result{Status: balancer.NotSent})
		return
	}
	a.setState(attemptInFlight)
	a.pool = e.pool
	a.pending = pending
	a.timeout = c.timers.add(a.deadline, attemptTimedOut{attempt: a})
}

// cancelAttempt executes a Cancel action of the balancer.
func (c *Core) cancelAttempt(cancel balancer.Cancel) {
	r := c.requests[cancel.ID]
	if r == nil || cancel.Attempt < 0 || cancel.Attempt >= len(r.attempts) {
		return
	}
	c.stopAttempt(r.attempts[cancel.Attempt], balancer.Cancelled)
}

// stopAttempt ends an attempt without waiting for its result. The attempt ends with the given status, or with NotSent if
// nothing of it was written to the worker.
func (c *Core) stopAttempt(a *attempt, status balancer.Status) {
	switch a.state {
	case attemptPreparing:
		status = balancer.NotSent
	case attemptInFlight:
		if written := a.pool.Cancel(a.pending); !written {
			status = balancer.NotSent
		}
	default: // the attempt has ended already
		return
	}
	c.endAttempt(a, worker.Result{Status: status})
}

// endAttempt processes the result of an attempt. It does nothing if the attempt has ended already.
func (c *Core) endAttempt(a *attempt, result worker.Result) {
	if !a.setState(finalState(result.Status)) {
		return
	}
	a.status = result.Status
	metrics.Attempts.Add(result.Status.String())
	r := a.request
	r.pendingAttempts--
	c.timers.remove(a.timeout)
	writtenAt := c.renewLeaseFromAttempt(a, result)
	if result.Status == balancer.OK {
		c.answer(r, call.Answer{Outcome: call.Served, Body: result.Body})
	}
	c.closeIfAbandoned(r)
	c.removeIfDone(r)
	c.notifyBalancer(balancer.OutcomeEvent{
		ID:         r.id,
		Attempt:    a.number,
		Worker:     a.workerID,
		Status:     result.Status,
		Elapsed:    time.Since(a.created),
		Answered:   r.closed,
		Warmth:     result.Warmth,
		QueueDepth: result.QueueDepth,
		WrittenAt:  writtenAt,

		ConnectedSince: c.clock.balancerTime(result.ConnectedSince),
	})
}
