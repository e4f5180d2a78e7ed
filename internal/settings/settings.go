// Package settings decodes the settings of a deployment, as the platform writes them in JSON, into the terms of packages
// balancer and worker. Only this package translates the vocabulary of the settings; the struct of each section documents its
// keys. Unknown keys are ignored, and missing keys have the zero value.
package settings

import (
	"encoding/json"
	"time"

	"kitefall/internal/balancer"
)

// Microseconds is a duration as the platform writes it: a whole number of microseconds.
type Microseconds int64

// Duration converts m to the standard type.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Parse decodes the settings of package balancer from the settings object of a deployment. The dispatcher's configuration file
// holds this object, and so does the simulator's message that starts a dispatcher.
func Parse(data json.RawMessage) (balancer.Settings, error) {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return balancer.Settings{}, err
	}
	var s balancer.Settings
	doc.applyPeers(&s)
	doc.applyClassesAndTenants(&s)
	doc.applyDiscovery(&s)
	doc.Caps.apply(&s)
	doc.Guarantees.apply(&s)
	doc.Loading.apply(&s)
	s.MemoryByKind = doc.memoryByKind()
	return s, nil
}

// Conns are the settings that only a dispatcher on real sockets needs.
type Conns struct {
	IdleTimeout   time.Duration // workers close a connection that was idle for this long
	MaxStreams    int           // maximum number of concurrent calls on one connection
	HandshakeCost float64       // cost of a new connection, as a fraction of the weight of a call; 0: no cost
}

// ParseConns decodes the settings of connections from the settings object of a deployment.
func ParseConns(data json.RawMessage) (Conns, error) {
	var doc connsDocument
	err := json.Unmarshal(data, &doc)
	conns := Conns{
		IdleTimeout:   doc.Caps.IdleClose.Duration(),
		MaxStreams:    doc.Caps.MaxStreams,
		HandshakeCost: doc.Prices.HandshakeCost,
	}
	return conns, err
}
