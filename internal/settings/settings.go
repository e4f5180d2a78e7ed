// Package settings decodes the settings of a deployment, as the platform writes them in JSON, into the terms of packages
// balancer and worker. It is the one place where the settings' own vocabulary is translated; the struct of each section
// documents its keys. Unknown keys are ignored, and missing ones have their zero value.
package settings

import (
	"encoding/json"
	"time"

	"kitefall/internal/balancer"
)

// Microseconds is a duration as the platform writes it: a whole number of microseconds.
type Microseconds int64

// Duration converts to the standard type.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Parse decodes what the decision module needs from the settings object of a deployment. Both the dispatcher's
// configuration and the simulator's first message hold such an object.
func Parse(data json.RawMessage) (balancer.Settings, error) {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return balancer.Settings{}, err
	}
	var s balancer.Settings
	doc.applyPlacement(&s)
	doc.applyValue(&s)
	doc.applyEndpoints(&s)
	doc.Caps.apply(&s)
	doc.Guarantees.apply(&s)
	doc.Domain.apply(&s)
	s.MemoryByKind = doc.memoryByKind()
	return s, nil
}

// Conns are the settings that only a dispatcher on real sockets needs.
type Conns struct {
	IdleClose time.Duration // workers close idle connections after this
	Streams   int           // concurrent calls on one connection
	Handshake float64       // cost of a new connection, as a part of the weight of a call; 0: none
}

// ParseConns decodes the connections' settings from the settings object of a deployment.
func ParseConns(data json.RawMessage) (Conns, error) {
	var doc connsDocument
	err := json.Unmarshal(data, &doc)
	conns := Conns{
		IdleClose: doc.Caps.IdleClose.Duration(),
		Streams:   doc.Caps.MaxStreams,
		Handshake: doc.Prices.Handshake,
	}
	return conns, err
}
