// Package descriptors divides the file descriptors that the process may hold among those who need them. Each
// holder has a share that nobody else can take, so that clients, workers, discovery and operators cannot keep
// each other out, however long the endpoint list and however many clients there are. What waits for a place,
// or closes something to get one, is the holder's business; this package only says how many there are, and
// counts.
package descriptors

// How a limit is divided.
const (
	// clientPart is the part for connections of clients. By the client protocol they hold a third at most.
	clientPart = 0.34
	// workerPart is the part for connections to workers.
	workerPart = 0.4
	// operatorPart is the part for connections of operators, within bounds.
	operatorPart = 1.0 / 16
	minOperators = 2
	maxOperators = 32
	// devicePart bounds the part for connections of the invoke API, where that is on.
	devicePart = 1.0 / 8
	// discoveryShare is for polls of the endpoint list: the present one, and those that are being given up.
	discoveryShare = 4
	// runtimeShare is for what the process itself needs: standard streams, listeners, the poller, files that are
	// read, and one connection that was accepted before there is a place for it.
	runtimeShare = 16
	// storeShare is for the files of the invoke API's store and its sockets beside those of its clients.
	storeShare = 32
)

// Shares is how many descriptors each holder may have. The parts of the process itself are not in it.
type Shares struct {
	Clients   int // connections of the platform's clients
	Workers   int // connections to all workers
	Discovery int // connections to the discovery service
	Operators int // connections of operators
	Devices   int // connections of the invoke API's clients
}

// Divide returns the shares of a limit. The invoke API wants devices connections; 0: it is off. Every share
// has one descriptor at least.
func Divide(limit, devices int) Shares {
	s := Shares{
		Clients:   max(1, int(clientPart*float64(limit))),
		Discovery: discoveryShare,
		Operators: min(max(minOperators, int(operatorPart*float64(limit))), maxOperators),
		Devices:   min(devices, int(devicePart*float64(limit))),
	}
	left := limit - s.Clients - s.Discovery - s.Operators - s.Devices - ownFiles(devices)
	s.Workers = max(1, min(left, int(workerPart*float64(limit))))
	return s
}

// ownFiles returns how many descriptors the process itself may have, where the invoke API wants devices
// connections.
func ownFiles(devices int) int {
	if devices == 0 {
		return runtimeShare
	}
	return runtimeShare + storeShare
}

// Total returns the sum of all shares.
func (s Shares) Total() int {
	return s.Clients + s.Workers + s.Discovery + s.Operators + s.Devices
}
