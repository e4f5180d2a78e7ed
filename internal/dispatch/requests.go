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
)

// notServedLog throttles the line of calls that were answered without being served: an overload causes any number.
var notServedLog = logthrottle.New()

// fallbackGraceShare is the share of the answer grace that the balancer has for its own answer after the deadline. The
// rest is left for the core's answer in its place.
const fallbackGraceShare = 0.5

// request is an accepted call until it is closed and none of its attempts is active any more.
type request struct {
	id             balancer.RequestID
	call           *call.Call
	handle         *Handle
	attempts       []*attempt // by number
	activeAttempts int        // attempts that have not ended
	prepared       bool       // BeforeFirstAttempt has succeeded, or there is none
	closed         bool       // answered, or cancelled by its client
	overdue        *timer     // answers in the balancer's place
}

// logID returns the id of the call as the workers and the log write it.
func (r *request) logID() string { return fmt.Sprintf("%016x", r.call.ID) }

// attemptList is the attempts of a request as a value for the log. It is put into words only if the line is written.
type attemptList []*attempt

// LogValue lists the worker and the status of each attempt.
func (l attemptList) LogValue() slog.Value {
	var parts []string
	for _, a := range l {
		end := "pending"
		if a.ended() {
			end = a.status.String()
		}
		parts = append(parts, string(a.workerID)+"="+end)
	}
	return slog.StringValue(strings.Join(parts, " "))
}

// mayHaveRun reports whether a worker may have run an attempt of the request, or may still be running one.
func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			return true
		}
	}
	return false
}

// accept takes in a call that was submitted.
func (c *Core) accept(submitted *call.Call, handle *Handle) {
	if handle.finished.Load() { // cancelled while it was queued
		c.release(submitted)
		return
	}
	c.lastID++
	r := &request{id: c.lastID, call: submitted, handle: handle, prepared: submitted.BeforeFirstAttempt == nil}
	handle.id = r.id
	c.requests[r.id] = r
	c.permits.loads.Earn(c.clock.balancerTime(time.Now()))
	answerBy := submitted.Deadline.Add(time.Duration(fallbackGraceShare * float64(c.config.Settings.AnswerGrace)))
	r.overdue = c.timers.add(answerBy, answerOverdue{request: r})
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
	})
}

// answer gives a request its final answer, unless it is closed already; nil is allowed.
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
}

// cancelRequest closes the request of a handle without an answer.
func (c *Core) cancelRequest(handle *Handle) {
	r := c.requests[handle.id]
	if r == nil || r.closed {
		return
	}
	c.close(r)
	c.notifyBalancer(balancer.ClientGoneEvent{ID: r.id})
}

// onAnswerOverdue answers a request in the place of a balancer that stayed silent.
func (c *Core) onAnswerOverdue(r *request) {
	if r.closed {
		return
	}
	slog.Error("core: balancer gave no answer by the deadline", "call", r.logID())
	c.answer(r, call.Answer{Outcome: call.Failed})
	c.notifyBalancer(balancer.ClientGoneEvent{ID: r.id})
}

// close marks a request as answered or cancelled. Its attempts may still be active.
func (c *Core) close(r *request) {
	r.closed = true
	r.handle.finished.Store(true)
	c.timers.remove(r.overdue)
	c.release(r.call)
	c.removeIfDone(r)
}

// removeIfDone forgets a request that is closed and has no active attempt.
func (c *Core) removeIfDone(r *request) {
	if r.closed && r.activeAttempts == 0 {
		delete(c.requests, r.id)
	}
}
