// Package simwire implements the wire protocol of the simulator. The simulator sends one JSON line for each batch of
// events, for many dispatchers at one moment, and reads one JSON line with all actions that answer it. Decoder and Encoder
// translate these lines to and from the types of package balancer (source: simulator protocol).
package simwire

import (
	"time"

	"kitefall/internal/balancer"
)

// Batch is one line of input: the events of many dispatchers at one moment.
type Batch struct {
	Clock  time.Duration // the simulator's time
	Events []Event
}

// Event is one event of a batch. At most one of Up, Halt and Event is set; an unknown message sets none.
type Event struct {
	Dispatcher int64
	Up         *Up
	Halt       bool // the dispatcher ends
	Event      balancer.Event
}

// Up starts a dispatcher.
type Up struct {
	Seed     uint64
	Settings balancer.Settings
}
