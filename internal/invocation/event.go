package invocation

import (
	"fmt"
	"time"
)

// Event is what happened to an invocation. Histories store the numbers, so they must not change.
type Event uint8

// The events. A run is one submission of the invocation to the dispatcher, as a call, for which the dispatcher may make
// several attempts at workers. EventServed, EventRejected and EventFailed end a run.
const (
	EventCreated  Event = 1 + iota // the request was accepted
	EventSubmit                    // a run is about to be submitted to the dispatcher
	EventStart                     // the first byte of an attempt is about to be written to a worker
	EventServed                    // the run returned a result
	EventRejected                  // the run ended; no worker executed the function
	EventFailed                    // the run ended; a worker may have executed the function
	EventCancel                    // the tenant that owns the invocation cancels it
	EventExpire                    // the deadline passed while no run was in progress
	EventRestart                   // the program has started and found the incomplete invocation in the store
	EventWithdraw                  // the program has started, and the function is no longer in the operator's catalog
	EventRedrive                   // an operator redrives the dead letter as a new invocation
	EventDelete                    // the retention has ended, or an operator purges the dead letter

	lastEvent = EventDelete
)

// eventNames are the names by event number. They are shown to operators and must not change.
var eventNames = [...]string{
	"none", "created", "offer", "mark", "answered", "turned away", "broke", "give up", "expire", "restart", "withdraw",
	"redrive", "forget",
}

// String returns the event's name as shown to operators.
func (e Event) String() string { return eventNames[e] }

// MarshalText returns the same name as String.
func (e Event) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText sets the event from its name. It fails for an unknown name.
func (e *Event) UnmarshalText(text []byte) error {
	for i, name := range eventNames {
		if name == string(text) {
			*e = Event(i)
			return nil
		}
	}
	return fmt.Errorf("unknown event %q", text)
}

// Input is an event and the data that its transitions use. The comment of each field begins with the events that use it.
type Input struct {
	Event
	DeadlineExceeded bool          // EventRejected, EventFailed: the run's deadline passed
	RetryAt          time.Time     // EventRejected, EventFailed: earliest start of the next run; zero: no further run
	RetryAfter       time.Duration // EventRejected: how long the client should wait before a retry, as the dispatcher advises
	Note             string        // all events: text for the history, such as an operator's reason
	Confirmed        bool          // EventRedrive: the operator has confirmed that the function did not run
	Successor        string        // EventRedrive: ID of the new invocation
	Bytes            int64         // EventServed: size of the result in bytes
}
