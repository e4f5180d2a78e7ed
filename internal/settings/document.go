package settings

import "kitefall/internal/balancer"

// Values of settings that are words.
const (
	worthByWork    = "work" // worth_by
	discoveryPoll  = "ask"  // discovery
	weightsLive    = "live" // weights
	whenAbsentLoad = "load" // when_absent
)

// document is the settings object. The part that only real sockets need is connsDocument.
type document struct {
	// This dispatcher among its peers.
	Peers    int          `json:"peers_total"` // dispatchers in all, this one included
	Position int          `json:"position"`
	Zone     string       `json:"zone"`
	Zones    []string     `json:"failure_domains"`
	Step     Microseconds `json:"step_us"` // shortest time between two deliveries of events

	// What requests are worth.
	Grades    []grade        `json:"grades"`
	Parties   []party        `json:"parties"`
	OverShare float64        `json:"over_share_worth"` // weight of requests beyond a tenant's quota, as a part of their class's
	Clients   clientsSection `json:"clients"`
	WorthBy   string         `json:"worth_by"` // worthByWork: weights count per unit of work, else per request

	Caps capsSection `json:"caps"`

	// How endpoints are learned.
	Discovery string `json:"discovery"` // discoveryPoll: the list is sent only on request
	Weights   string `json:"weights"`   // weightsLive: a worker's weight falls with its load

	Guarantees guaranteesSection `json:"guarantees"`
	Kinds      []string          `json:"kinds"` // kinds of workers
	Domain     domainSection     `json:"domain"`
}

func (d *document) applyPlacement(s *balancer.Settings) {
	s.Dispatchers = d.Peers
	s.Position = d.Position
	s.Zone = d.Zone
	s.Zones = d.Zones
	s.MinEventInterval = d.Step.Duration()
}

func (d *document) applyValue(s *balancer.Settings) {
	for _, g := range d.Grades {
		s.Classes = append(s.Classes, g.class())
	}
	for _, p := range d.Parties {
		s.Tenants = append(s.Tenants, p.tenant())
	}
	s.OverQuotaWeight = d.OverShare
	s.ClientsMarkRetries = d.Clients.MarksRetry
	s.WeightByWork = d.WorthBy == worthByWork
}

func (d *document) applyEndpoints(s *balancer.Settings) {
	s.PollEndpoints = d.Discovery == discoveryPoll
	s.LiveWeights = d.Weights == weightsLive
}

// memoryByKind joins the list of kinds with the list of their memory, in MB. Kinds without a value are left out.
func (d *document) memoryByKind() map[string]float64 {
	memory := map[string]float64{}
	for i, kind := range d.Kinds {
		if i < len(d.Domain.MemoryMB) {
			memory[kind] = d.Domain.MemoryMB[i]
		}
	}
	return memory
}

// connsDocument is the part of the settings object that only a dispatcher on real sockets needs. It is decoded apart, so
// that no error in it can stop the simulator.
type connsDocument struct {
	Caps struct {
		IdleClose  Microseconds `json:"idle_close_us"` // workers close idle connections after this
		MaxStreams int          `json:"max_streams"`   // concurrent calls on one connection
	} `json:"caps"`
	Prices struct {
		Handshake float64 `json:"handshake"` // cost of a new connection, as a part of the weight of a call
	} `json:"prices"`
}
