package settings

import "kitefall/internal/balancer"

// Words that are values of settings, with the key of the setting.
const (
	weightByWork  = "work" // worth_by
	discoveryPoll = "ask"  // discovery
	weightsLive   = "live" // weights
	onMissLoad    = "load" // when_absent
)

// document is the settings object, without the settings that only a dispatcher on real sockets needs (see connsDocument).
type document struct {
	// The dispatchers of the fleet, and the position of this one.
	Dispatchers      int          `json:"peers_total"`     // number of dispatchers, including this one
	Position         int          `json:"position"`        // position of this dispatcher among them, counted from 0
	Zone             string       `json:"zone"`            // zone of this dispatcher
	Zones            []string     `json:"failure_domains"` // all zones
	MinEventInterval Microseconds `json:"step_us"`         // shortest time between two deliveries of events

	// Classes and tenants of requests, and the weights of requests.
	Classes         []classSection  `json:"grades"`
	Tenants         []tenantSection `json:"parties"`
	OverQuotaWeight float64         `json:"over_share_worth"` // weight beyond a tenant's quota, as a fraction of the class's weight
	Clients         clientsSection  `json:"clients"`
	WeightBy        string          `json:"worth_by"` // weightByWork: weights count per unit of work; otherwise per request

	Caps capsSection `json:"caps"`

	// How the endpoint list is received, and its weights.
	Discovery string `json:"discovery"` // discoveryPoll: the endpoint list is sent only on request
	Weights   string `json:"weights"`   // weightsLive: a worker's weight falls as its load rises

	Guarantees guaranteesSection `json:"guarantees"`
	Kinds      []string          `json:"kinds"` // kinds of workers
	Loading    loadingSection    `json:"domain"`
}

func (d *document) applyPeers(s *balancer.Settings) {
	s.Dispatchers = d.Dispatchers
	s.Position = d.Position
	s.Zone = d.Zone
	s.Zones = d.Zones
	s.MinEventInterval = d.MinEventInterval.Duration()
}

func (d *document) applyClassesAndTenants(s *balancer.Settings) {
	for _, c := range d.Classes {
		s.Classes = append(s.Classes, c.class())
	}
	for _, t := range d.Tenants {
		s.Tenants = append(s.Tenants, t.tenant())
	}
	s.OverQuotaWeight = d.OverQuotaWeight
	s.ClientsMarkRetries = d.Clients.MarkRetries
	s.WeightByWork = d.WeightBy == weightByWork
}

func (d *document) applyDiscovery(s *balancer.Settings) {
	s.PollEndpoints = d.Discovery == discoveryPoll
	s.LiveWeights = d.Weights == weightsLive
}

// memoryByKind returns the memory of each kind of worker, in MB. The settings hold the kinds and their memory as two lists in the
// same order. Kinds without a value are left out.
func (d *document) memoryByKind() map[string]float64 {
	memory := map[string]float64{}
	for i, kind := range d.Kinds {
		if i < len(d.Loading.MemoryMB) {
			memory[kind] = d.Loading.MemoryMB[i]
		}
	}
	return memory
}

// connsDocument is the part of the settings object that only a dispatcher on real sockets needs. It is decoded separately, so
// that errors in this part do not make the settings of the simulator invalid.
type connsDocument struct {
	Caps struct {
		IdleClose  Microseconds `json:"idle_close_us"` // workers close a connection that was idle for this long
		MaxStreams int          `json:"max_streams"`   // maximum number of concurrent calls on one connection
	} `json:"caps"`
	Prices struct {
		HandshakeCost float64 `json:"handshake"` // cost of a new connection, as a fraction of the weight of a call
	} `json:"prices"`
}
