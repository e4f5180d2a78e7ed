package dispatch

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
	"kitefall/internal/worker"
)

// notServedLog throttles the log line for calls that were answered without being served: an overload can cause any number.
var notServedLog = logthrottle.New()

// fallbackGraceShare is the share of the answer grace after a request's deadline in which the balancer may still answer the
// request. After it, the core answers instead and has the rest of the grace to deliver its answer.
const fallbackGraceShare = 0.5

// request is an accepted call. It is kept until it is closed and all its attempts have ended.
type request struct {
	id              balancer.RequestID
	call            *call.Call
	handle          *Handle
	attempts        []*attempt // indexed by attempt.number
	pendingAttempts int        // number of pending attempts, that is, of attempts that have not ended
	prepared        bool       // BeforeFirstAttempt has succeeded or is not set
	abandoned       bool       // its client has left: it is closed once no attempt is pending
	closed          bool       // answered, or cancelled by its client
	fallbackTimer   *timer     // fires answerOverdue, if the balancer has not answered by then
}

// logID returns the id of the call in the notation of the worker protocol and the log.
func (r *request) logID() string { return fmt.Sprintf("%016x", r.call.ID) }

// attemptList is a log value of the attempts of a request. It is formatted only if the log line is written.
type attemptList []*attempt

// LogValue returns the worker and the status of each attempt.
func (l attemptList) LogValue() slog.Value {
	var parts []string
	for _, a := range l {
		result := "pending"
		if a.ended() {
			result = a.status.String()
		}
		parts = append(parts, string(a.workerID)+"="+result)
	}
	return slog.StringValue(strings.Join(parts, " "))
}

// mayHaveRun reports whether a worker may have run an attempt of the request or may still be running one.
func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			return true
		}
	}
	return false
}

// accept creates the request of a submitted call and passes it to the balancer.
func (c *Core) accept(submitted *call.Call, handle *Handle) {
	if handle.finished.Load() { // cancelled while the call was queued
		c.releaseCall()
		c.releaseBody(submitted)
		if submitted.Ended != nil {
			submitted.Ended(false)
		}
		return
	}
	c.lastID++
	r := &request{id: c.lastID, call: submitted, handle: handle, prepared: submitted.BeforeFirstAttempt == nil}
	handle.id = r.id
	c.requests[r.id] = r
	c.permits.loads.Earn(c.clock.balancerTime(time.Now()))
	answerBy := submitted.Deadline.Add(time.Duration(fallbackGraceShare * float64(c.config.Settings.AnswerGrace)))
	r.fallbackTimer = c.timers.add(answerBy, answerOverdue{request: r})
	c.notifyBalancer(balancer.RequestEvent{
		ID:           r.id,
		Function:     balancer.FunctionID(submitted.Function),
		Class:        submitted.Class,
		Tenant:       submitted.Tenant,
		TimeLeft:     time.Until(submitted.Deadline),
		MemoryMB:     submitted.MemoryMB,
		Concurrency:  submitted.Concurrency,
		LoadTime:     submitted.LoadTime,
		WorkEstimate: submitted.WorkEstimate,
		KeyMissing:   submitted.IdempotencyKey == "",
	})
}

// answer gives a request its final answer and closes it. It does nothing if the request is nil or closed already.
func (c *Core) answer(r *request, answer call.Answer) {
	if r == nil || r.closed {
		return
	}
	answer.MayHaveRun = r.mayHaveRun()
	answer.DeadlineExceeded = !time.Now().Before(r.call.Deadline)
	metrics.Answers.Add(answer.Outcome.String())
	if answer.Outcome != call.Served {
		notServedLog.Log(slog.LevelInfo, "core: call not served", "call", r.logID(), "outcome", answer.Outcome.String(),
			"left", time.Until(r.call.Deadline).Round(time.Millisecond), "attempts", attemptList(r.attempts))
	}
	c.close(r)
	r.call.Done(answer)
	c.removeIfDone(r)
}

// cancelRequest closes the request of a cancelled call without an answer.
func (c *Core) cancelRequest(handle *Handle) {
	r := c.requests[handle.id]
	if r == nil || r.closed {
		return
	}
	c.close(r)
	c.removeIfDone(r)
	c.notifyBalancer(balancer.ClientGoneEvent{ID: r.id})
}

// abandonRequest ends the attempts of an abandoned call that are not written, and closes its request if no other is pending.
func (c *Core) abandonRequest(handle *Handle) {
	r := c.requests[handle.id]
	if r == nil || r.closed {
		return
	}
	r.abandoned = true
	for _, a := range r.attempts {
		unwritten := a.state == attemptPreparing || a.state == attemptInFlight && a.pool.CancelUnwritten(a.pending)
		if unwritten {
			c.endAttempt(a, worker.Result{Status: balancer.NotSent})
		}
	}
	c.closeIfAbandoned(r)
}

// closeIfAbandoned closes an abandoned request and reports its outcome, once no attempt is pending.
func (c *Core) closeIfAbandoned(r *request) {
	if !r.abandoned || r.closed || r.pendingAttempts > 0 {
		return
	}
	outcome := call.Answer{Outcome: call.Rejected, MayHaveRun: r.mayHaveRun()}
	if outcome.MayHaveRun {
		outcome.Outcome = call.Failed
	}
	c.close(r)
	c.notifyBalancer(balancer.ClientGoneEvent{ID: r.id})
	r.call.Done(outcome)
	c.removeIfDone(r)
}

// onAnswerOverdue answers a request as failed because the balancer has not answered it in time.
func (c *Core) onAnswerOverdue(r *request) {
	if r.closed {
		return
	}
	slog.Error("core: balancer gave no answer by the deadline", "call", r.logID(), "class", r.call.Class,
		"left", time.Until(r.call.Deadline).Round(time.Millisecond), "abandoned", r.abandoned, "attempts", attemptList(r.attempts))
	c.answer(r, call.Answer{Outcome: call.Failed})
	c.notifyBalancer(balancer.ClientGoneEvent{ID: r.id})
}

// close marks a request as answered or cancelled. Some of its attempts may not have ended yet.
func (c *Core) close(r *request) {
	r.closed = true
	r.handle.finished.Store(true)
	c.timers.remove(r.fallbackTimer)
	c.releaseCall()
}

// removeIfDone deletes a request that is closed and whose attempts have all ended.
func (c *Core) removeIfDone(r *request) {
	if !r.closed || r.pendingAttempts > 0 || c.requests[r.id] != r {
		return
	}
	delete(c.requests, r.id)
	c.releaseBody(r.call)
	if r.call.Ended != nil {
		r.call.Ended(r.mayHaveRun())
	}
}
