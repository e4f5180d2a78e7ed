package config

import "kitefall/internal/descriptors"

const bytesPerMB = 1 << 20

// How the limits are divided.
const (
	// maxConnsPerWorker limits the connections to one worker.
	maxConnsPerWorker = 8
	// heapMemoryShare is the part of the memory that the garbage collector keeps to. What is left is for the kernel and the
	// program's code.
	heapMemoryShare = 0.75
	// bodyMemoryShare is the part of the memory that the bodies of calls in flight may hold.
	bodyMemoryShare = 0.2
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

// MaxConnsPerWorker returns how many connections may be open to one worker.
func (c *Config) MaxConnsPerWorker() int { return maxConnsPerWorker }

// Descriptors returns how the descriptors are divided where the invoke API wants so many connections; 0: it is off.
func (c *Config) Descriptors(devices int) descriptors.Shares {
	return descriptors.Divide(c.Limits.Sockets, devices)
}
