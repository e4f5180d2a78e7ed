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

// refusedWhenDraining names requests that are refused since the process sends its clients away, in metrics.
const refusedWhenDraining = "draining"

// maxRequestsPerConn is how many requests may be in flight on one connection.
const maxRequestsPerConn = 32

var (
	errConnClosed      = errors.New("connection closed before the request was accepted")
	errDuplicateID     = errors.New("its id is that of a request in flight")
	errTooManyRequests = fmt.Errorf("%d requests are in flight on its connection", maxRequestsPerConn)
)

// inFlightRequest is a CALL that is not answered yet.
type inFlightRequest struct {
	id     uint64
	handle *dispatch.Handle // nil until the dispatcher has accepted the call
	// abandoned means that the request was ended while it had no handle: submit cancels it.
	abandoned bool
}

// handleCall hands a call to the dispatcher. An error ends the connection; a call that cannot be used is answered.
func (c *clientConn) handleCall(tag uint64, args [][]byte) error {
	if err := c.checkTag(tag); err != nil {
		return err
	}
	now := time.Now()
	parsed, err := parseCall(args, &c.server.Settings, now)
	if err == nil && !c.server.DrainState.Admits(now, parsed.Deadline) {
		metrics.Refusals.Add(refusedWhenDraining)
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
	if err != nil {
		c.server.logs.requestFailed.Log(slog.LevelWarn, "frontend: request failed",
			"tag", tag, "addr", c.remoteAddr(), "err", err)
		c.reply(tag, wordFailed)
		return nil
	}
	parsed.Done = func(result call.Answer) {
		c.complete(tag, request, newCallAnswer(tag, result, parsed.Deadline, c.server.Settings.SendRetryAfter))
	}
	c.submit(request, parsed)
	return nil
}

// checkTag fails if a CALL with the tag ends the connection.
func (c *clientConn) checkTag(tag uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastActivity = time.Now()
	c.lastRequest = c.lastActivity
	if c.closed {
		return errConnClosed
	}
	if c.requests[tag] != nil { // an answer to either could be taken for that to the other
		return fmt.Errorf("%w: tag %d is in flight already", errMalformedRequest, tag)
	}
	return nil
}

// addRequest registers a request under its tag, which checkTag has found free.
func (c *clientConn) addRequest(tag, id uint64) (*inFlightRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed { // the client sends it again on another connection: it must not run for this one too
		return nil, errConnClosed
	}
	if len(c.requests) >= maxRequestsPerConn {
		return nil, errTooManyRequests
	}
	if !c.server.requestIDs.claim(id) { // a worker would take the two requests for one, and mix up their answers
		return nil, errDuplicateID
	}
	request := &inFlightRequest{id: id}
	c.requests[tag] = request
	return request, nil
}

// submit hands a registered request to the dispatcher. If that is overloaded, the request is rejected.
func (c *clientConn) submit(request *inFlightRequest, parsed *call.Call) {
	handle, err := c.server.Core.Submit(parsed)
	if err != nil {
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

// complete answers a request, unless it was cancelled: then no answer is due.
func (c *clientConn) complete(tag uint64, request *inFlightRequest, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[tag] == request {
		c.removeRequestLocked(tag)
		c.enqueueLocked(a)
	}
}

// failOpenRequests answers all requests that are open, as failed, since their time here is over, and cancels them.
func (c *clientConn) failOpenRequests() {
	now := time.Now()
	var abandoned []*dispatch.Handle
	c.mu.Lock()
	for tag, request := range c.requests {
		abandoned = append(abandoned, c.abandonLocked(tag, request)...)
		c.enqueueLocked(newAnswer(tag, wordFailed, now))
	}
	c.mu.Unlock()
	for _, handle := range abandoned {
		handle.Cancel()
	}
}

// abandonLocked ends a request that the dispatcher has not answered, and returns its handle, if it has one yet, for the
// caller to cancel once c.mu is released. The caller holds c.mu.
func (c *clientConn) abandonLocked(tag uint64, request *inFlightRequest) []*dispatch.Handle {
	c.removeRequestLocked(tag)
	if request.handle == nil {
		request.abandoned = true
		return nil
	}
	return []*dispatch.Handle{request.handle}
}

// removeRequestLocked ends a request. The caller holds c.mu.
func (c *clientConn) removeRequestLocked(tag uint64) {
	c.server.requestIDs.release(c.requests[tag].id)
	delete(c.requests, tag)
}
