package config

const bytesPerMB = 1 << 20

// How the limits are divided.
const (
	// clientSocketShare is the part of the descriptors that connections of clients may hold.
	clientSocketShare = 0.34
	// workerSocketShare is the part of the descriptors that connections to workers may hold. What is left is for discovery,
	// the listeners, the runtime, and the first connection to each worker, which is always allowed.
	workerSocketShare = 0.4
	// maxConnsPerWorker limits the connections to one worker.
	maxConnsPerWorker = 8
	// heapMemoryShare is the part of the memory that the garbage collector keeps to. What is left is for the kernel and the
	// program's code.
	heapMemoryShare = 0.75
	// bodyMemoryShare is the part of the memory that the bodies of calls in flight may hold.
	bodyMemoryShare = 0.2
	// adminSocketShare is the part of the descriptors that connections of operators may hold, within bounds.
	adminSocketShare = 1.0 / 16
	minAdminConns    = 8
	maxAdminConns    = 32
	// maxInFlight limits the calls in flight where the settings allow more or set no limit.
	maxInFlight = 20000
)

// MemoryLimit returns the soft limit for the Go runtime's memory, in bytes.
func (c *Config) MemoryLimit() int64 { return c.memoryBytes(heapMemoryShare) }

// MaxBodyBytes returns how many bytes the bodies of calls in flight may hold.
func (c *Config) MaxBodyBytes() int64 { return c.memoryBytes(bodyMemoryShare) }

func (c *Config) memoryBytes(share float64) int64 {
	return int64(c.Limits.MemoryMB * share * bytesPerMB)
}

// MaxInFlight returns how many calls may be in flight.
func (c *Config) MaxInFlight() int {
	if c.Settings.MaxInFlight > 0 {
		return min(c.Settings.MaxInFlight, maxInFlight)
	}
	return maxInFlight
}

// MaxClientConns returns how many connections of clients may be open.
func (c *Config) MaxClientConns() int {
	return int(clientSocketShare * float64(c.Limits.Sockets))
}

// MaxAdminConns returns how many connections of operators may be open.
func (c *Config) MaxAdminConns() int {
	return min(max(minAdminConns, int(adminSocketShare*float64(c.Limits.Sockets))), maxAdminConns)
}

// MaxWorkerConns returns how many connections may be open to one worker, and to all workers together.
func (c *Config) MaxWorkerConns() (perWorker, total int) {
	return maxConnsPerWorker, int(workerSocketShare * float64(c.Limits.Sockets))
}
