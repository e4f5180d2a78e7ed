package config

import "kitefall/internal/descriptors"

const bytesPerMB = 1 << 20

// Parts of the limits, and limits that the configuration file does not set.
const (
	// maxConnsPerWorker limits the number of connections to one worker.
	maxConnsPerWorker = 8
	// heapMemoryShare is the fraction of the memory limit that the Go runtime gets as its soft limit. The rest is for the
	// kernel and the program's code.
	heapMemoryShare = 0.75
	// bodyMemoryShare is the fraction of the memory limit that the bodies of all calls in flight may occupy.
	bodyMemoryShare = 0.2
	// maxInFlight limits the number of calls in flight if the settings allow more or set no limit.
	maxInFlight = 20000
)

// MemoryLimit returns the soft memory limit of the Go runtime, in bytes.
func (c *Config) MemoryLimit() int64 { return c.memoryBytes(heapMemoryShare) }

// MaxBodyBytes returns how many bytes the bodies of all calls in flight may occupy together.
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

// MaxConnsPerWorker returns how many connections may be open to one worker.
func (c *Config) MaxConnsPerWorker() int { return maxConnsPerWorker }

// Descriptors returns the division of the file descriptors. invokeConns is the number of connections that is configured for
// the invoke API; 0 means that the invoke API is off.
func (c *Config) Descriptors(invokeConns int) descriptors.Shares {
	return descriptors.Divide(c.Limits.Sockets, invokeConns)
}
