package executor

import (
	"errors"
	"log/slog"
	"sync"

	"kitefall/internal/call"
	"kitefall/internal/invocation"
)

// This file ends foreground invocations whose clients have left. An invocation is given up when its last waiting client leaves and no
// client has been told its ID: then nobody waits for it, and no attempt of it may begin any more (source: client protocol; the
// RESP frontend cancels the calls of a client that cancels or closes its connection). What was told to a client, such as a
// deferred invocation, goes on.
//
// Whether the outcome is still of use depends on the request:
//
//   - Without an Idempotency-Key nobody can ask for the outcome, and an idempotent function can be run again. The call is cancelled,
//     also at a worker that is running it.
//   - A function that is not idempotent may have run, and a repeat with the key must get that outcome and not run it again. The call
//     is abandoned: an attempt that was written goes on, and its outcome is stored.
//
// The key of an invocation that was given up and has not run is free: a repeat is a new invocation.

// noteClientLeft is the note in the history of an invocation that was given up and is stored.
const noteClientLeft = "its client has left"

// foregroundClients counts the clients of a foreground invocation. It is safe for concurrent use.
type foregroundClients struct {
	mu      sync.Mutex
	waiting int  // clients that wait for the outcome
	told    bool // a client has been told the ID, so the invocation is owed
	givenUp bool // the last client has left
}

// join adds a waiting client.
func (c *foregroundClients) join() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
}

// leave removes a waiting client and reports whether the invocation is to be given up: only the first call that finds no other client
// returns true.
func (c *foregroundClients) leave() (giveUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if c.waiting > 0 || c.told || c.givenUp {
		return false
	}
	c.givenUp = true
	return true
}

// setTold records that a client has been told the ID.
func (c *foregroundClients) setTold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = true
}

// haveLeft reports whether the invocation was given up and no client has been told its ID since.
func (c *foregroundClients) haveLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp && !c.told
}

// leaveForeground ends the wait of a client of a foreground invocation, and gives up the invocation if it was the last one.
func (e *Executor) leaveForeground(fg *foregroundInvocation) {
	if !fg.clients.leave() || fg.isCompleted() {
		return
	}
	switch {
	case !fg.idempotent && fg.keyed:
		fg.submission.abandon() // completeForeground gets the outcome
	case fg.keyed:
		// A repeat may be told the ID at this moment: the invocation then goes on. So this is decided before the call is cancelled.
		if e.discardForeground(fg, invocation.Input{Event: invocation.EventCancel, Note: noteClientLeft}) == nil {
			e.cancelCall(fg)
			e.releaseForeground(fg)
		}
	default:
		// Nobody else can get to know of the invocation. The call is cancelled first: the store may be slow.
		e.cancelCall(fg)
		e.spawn(func() { e.recordGivenUp(fg) })
	}
}

// cancelCall cancels the call of a foreground invocation at the dispatcher.
func (e *Executor) cancelCall(fg *foregroundInvocation) {
	if handle := fg.submission.markCancelled(); handle != nil {
		handle.Cancel()
	}
}

// recordGivenUp completes an invocation whose call is cancelled. If its start was stored, its end is too, and a failure of the store
// is retried.
func (e *Executor) recordGivenUp(fg *foregroundInvocation) {
	for {
		err := e.discardForeground(fg, invocation.Input{Event: invocation.EventCancel, Note: noteClientLeft})
		if !errors.Is(err, invocation.ErrStorage) { // otherwise the call was answered at the same time
			e.releaseForeground(fg)
			return
		}
		slog.Error("tickets: the end is not stored yet", "ticket", fg.id, "err", err)
		if !e.waitToRetryStore() {
			return
		}
	}
}

// errTold means that a client has been told the ID of an invocation, so that it cannot be discarded.
var errTold = errors.New("a client has been told the invocation's ID")

// discardForeground completes a foreground invocation whose clients have left. It is not stored for this; if it is stored already, its
// record is completed. It fails with errTold if a client has been told its ID, and with the errors of store.Apply.
func (e *Executor) discardForeground(fg *foregroundInvocation, input invocation.Input) error {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	if !fg.clients.haveLeft() {
		return errTold
	}
	now := e.clock.Now()
	if fg.stored {
		if err := e.stepStored(fg, input, nil, now); err != nil {
			return err
		}
	} else {
		inv := new(*fg.invocation)
		if _, _, err := invocation.Step(inv, input, now); err != nil {
			return err
		}
		fg.setInvocation(inv, nil)
	}
	fg.discarded = true
	return nil
}

// completeAbandoned completes a foreground invocation that was abandoned and did not run. Its key is free at once. It returns false if
// completeForeground has to complete the invocation: it ran, or a client has been told its ID.
func (e *Executor) completeAbandoned(fg *foregroundInvocation, answer call.Answer) (completed bool, err error) {
	if !didNotRun(answer) || !fg.clients.haveLeft() {
		return false, nil
	}
	input := invocation.Input{Event: invocation.EventRejected, Note: noteClientLeft} // with no RetryAfter, the key is free at once
	err = e.discardForeground(fg, input)
	if errors.Is(err, errTold) {
		return false, nil
	}
	return err == nil, err
}
