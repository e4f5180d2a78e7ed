// Package simwire implements the wire protocol of the simulator. For each batch, which holds the events of many dispatchers at
// one time, the simulator sends one JSON line and reads one JSON line with all actions in response. Decoder and Encoder translate
// these lines to and from the types of package balancer (source: simulator protocol).
package simwire

import (
	"time"

	"kitefall/internal/balancer"
)

// Batch is one line from the simulator: the events of many dispatchers at one time.
type Batch struct {
	Clock  time.Duration // the simulator's time of the events
	Events []Event
}

// Event is one event of a batch. At most one of Up, Halt and Event is set; none is set for an unknown message.
type Event struct {
	Dispatcher int64
	Up         *Up  // the dispatcher starts
	Halt       bool // the dispatcher ends
	Event      balancer.Event
}

// Up holds the parameters with which a dispatcher starts.
type Up struct {
	Seed     uint64
	Settings balancer.Settings
}
