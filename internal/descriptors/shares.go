// Package descriptors divides the process's limit of file descriptors into shares, one for each kind of
// connection. A share is reserved for its holder, the component that opens or accepts these connections, so
// that clients, workers, discovery and operators cannot starve each other, however long the endpoint list is
// and however many clients connect. This package sets the size of each share and counts its use. The holder
// decides whether to wait for a free descriptor or to evict a connection: to close it to free its descriptor.
package descriptors

// Division of the limit.
const (
	// clientFraction is the fraction for client connections. By the client protocol clients hold at most a
	// third.
	clientFraction = 0.34
	// workerFraction is the maximum fraction for connections to workers.
	workerFraction = 0.4
	// operatorFraction is the fraction for connections of operators, at least minOperators and at most
	// maxOperators descriptors.
	operatorFraction = 1.0 / 16
	minOperators     = 2
	maxOperators     = 32
	// invokeFraction is the maximum fraction for connections of the invoke API, if it is enabled.
	invokeFraction = 1.0 / 8
	// discoveryShare is for polls of the endpoint list: the current poll and cancelled polls that still hold
	// a connection.
	discoveryShare = 4
	// runtimeDescriptors is for the process itself: standard streams, listeners, the poller, files being read,
	// and one connection that was accepted before a descriptor of its share is free.
	runtimeDescriptors = 16
	// storeDescriptors is for the files of the invoke API's store, and for sockets of the invoke API other than
	// client connections.
	storeDescriptors = 32
)

// Shares holds the number of descriptors in each share, without those of the process itself.
type Shares struct {
	Clients       int // connections of the platform's clients
	Workers       int // connections to all workers
	Discovery     int // connections to the discovery service
	Operators     int // connections of operators
	InvokeClients int // connections of the invoke API's clients
}

// Divide divides limit into shares. invokeConns is the number of connections configured for the invoke API;
// 0: the API is disabled. Every other share has at least one descriptor.
func Divide(limit, invokeConns int) Shares {
	s := Shares{
		Clients:       max(1, int(clientFraction*float64(limit))),
		Discovery:     discoveryShare,
		Operators:     min(max(minOperators, int(operatorFraction*float64(limit))), maxOperators),
		InvokeClients: min(invokeConns, int(invokeFraction*float64(limit))),
	}
	remaining := limit - s.Clients - s.Discovery - s.Operators - s.InvokeClients - ownDescriptors(invokeConns)
	s.Workers = max(1, min(remaining, int(workerFraction*float64(limit))))
	return s
}

// ownDescriptors returns the number of descriptors reserved for the process itself. invokeConns is the
// number of connections configured for the invoke API; 0: the API is disabled.
func ownDescriptors(invokeConns int) int {
	if invokeConns == 0 {
		return runtimeDescriptors
	}
	return runtimeDescriptors + storeDescriptors
}

// Total returns the sum of all shares.
func (s Shares) Total() int {
	return s.Clients + s.Workers + s.Discovery + s.Operators + s.InvokeClients
}
