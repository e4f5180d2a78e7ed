package resp

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/metrics"
)

// refusalDraining is the metrics label of calls that are rejected because the process drains.
const refusalDraining = "draining"

// refusalSpentIDs is the metrics label of calls that are rejected because too many ids are kept.
const refusalSpentIDs = "spent_ids"

// maxRequestsPerConn is the maximum number of requests in flight on one connection.
const maxRequestsPerConn = 32

var (
	errConnClosed      = errors.New("connection closed before the request was accepted")
	errTooManyRequests = fmt.Errorf("the connection already has %d requests in flight", maxRequestsPerConn)
)

// inFlightRequest is a request in flight: a CALL registered by addRequest that is neither answered nor cancelled yet.
type inFlightRequest struct {
	handle *dispatch.Handle // nil until the dispatcher has accepted the call
	// abandoned is set if the request ended while handle was nil. In that case submit cancels the call once it has the handle.
	abandoned bool
}

// handleCall parses a CALL and submits it to the dispatcher. It answers invalid calls as failed, and calls that the drain no
// longer admits as rejected. It returns an error if the connection must be closed.
//
// Once a client has sent more than maxRequestsPerConn requests at a time, its calls fail until everything that it has sent is read:
// the end of its stream, which ends its calls, is not seen before that.
func (c *clientConn) handleCall(tag uint64, received request) error {
	if err := c.checkTag(tag); err != nil {
		return err
	}
	if c.overLimit {
		c.reply(tag, wordFailed)
		return nil
	}
	now := time.Now()
	parsed, err := parseCall(received, &c.server.Settings, now)
	if err == nil && !c.server.DrainState.Admits(now, parsed.Deadline) {
		metrics.Refusals.Add(refusalDraining)
		c.reply(tag, wordRejected)
		return nil
	}
	var request *inFlightRequest
	if err == nil {
		request, err = c.addRequest(tag, parsed.ID)
	}
	if errors.Is(err, errConnClosed) {
		return err
	}
	if errors.Is(err, errTooManyIDs) {
		metrics.Refusals.Add(refusalSpentIDs)
		c.reply(tag, wordRejected)
		return nil
	}
	c.overLimit = errors.Is(err, errTooManyRequests)
	if err != nil {
		c.server.logs.requestFailed.Log(slog.LevelWarn, "frontend: request failed",
			"tag", tag, "addr", c.netConn.RemoteAddr(), "err", err)
		c.reply(tag, wordFailed)
		return nil
	}
	parsed.ClientGone = c.netConn.PeerHasClosed
	parsed.Ended = func(mayHaveRun bool) { c.server.requestIDs.release(parsed.ID, mayHaveRun, time.Now()) }
	parsed.Done = func(result call.Answer) {
		if result.Outcome == call.Served {
			c.earnUnits()
		} else {
			c.owedUnits.Add(unitsPerUnservedRun)
		}
		c.complete(tag, request, newCallAnswer(tag, result, c.server.Settings.SendRetryAfter))
	}
	c.submit(request, parsed)
	return nil
}

// checkTag records that a CALL has arrived. It returns an error if the connection is closed, or must be closed because the tag
// is in use.
func (c *clientConn) checkTag(tag uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastActivity = time.Now()
	c.lastRequest = c.lastActivity
	if c.closed {
		return errConnClosed
	}
	if c.requests[tag] != nil { // the client could not tell which of the two requests an answer belongs to
		return fmt.Errorf("%w: a request with tag %d is already in flight", errMalformedRequest, tag)
	}
	return nil
}

// addRequest registers a request under its tag, after checkTag has found that the tag is free.
func (c *clientConn) addRequest(tag, id uint64) (*inFlightRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed { // the client retries on another connection, so the call must not also run for this connection
		return nil, errConnClosed
	}
	if len(c.requests) >= maxRequestsPerConn {
		return nil, errTooManyRequests
	}
	// A worker would treat two requests with one id as one and mix up their answers, or run a request a second time.
	if err := c.server.requestIDs.claim(id, time.Now()); err != nil {
		return nil, err
	}
	request := &inFlightRequest{}
	c.requests[tag] = request
	return request, nil
}

// submit submits a registered request to the dispatcher. If the dispatcher is overloaded, the request is rejected.
func (c *clientConn) submit(request *inFlightRequest, parsed *call.Call) {
	handle, err := c.server.Core.SubmitInTurn(parsed)
	if err != nil {
		parsed.Ended(false)
		parsed.Done(call.Answer{Outcome: call.Rejected})
		return
	}
	c.mu.Lock()
	request.handle = handle
	abandoned := request.abandoned
	c.mu.Unlock()
	if abandoned {
		handle.Cancel()
	}
}

// complete answers a request, unless the request is no longer in flight: a cancelled request gets no answer.
func (c *clientConn) complete(tag uint64, request *inFlightRequest, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[tag] == request {
		c.removeRequestLocked(tag)
		c.enqueueLocked(a)
	}
}

// failRequestsInFlight answers all requests in flight as failed and cancels their calls. It is called when the time to answer
// them is over.
func (c *clientConn) failRequestsInFlight() {
	var abandoned []*dispatch.Handle
	c.mu.Lock()
	for tag, request := range c.requests {
		abandoned = append(abandoned, c.abandonLocked(tag, request)...)
		c.enqueueLocked(newAnswer(tag, wordFailed))
	}
	c.mu.Unlock()
	for _, handle := range abandoned {
		handle.Cancel()
	}
}

// abandonLocked removes a request that the dispatcher has not answered. It returns the request's handle, if it has one yet,
// for the caller to cancel after releasing c.mu. The caller holds c.mu.
func (c *clientConn) abandonLocked(tag uint64, request *inFlightRequest) []*dispatch.Handle {
	c.removeRequestLocked(tag)
	if request.handle == nil {
		request.abandoned = true
		return nil
	}
	return []*dispatch.Handle{request.handle}
}

// removeRequestLocked removes a request in flight. The caller holds c.mu.
func (c *clientConn) removeRequestLocked(tag uint64) { delete(c.requests, tag) }
