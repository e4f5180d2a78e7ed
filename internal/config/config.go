// Package config reads what the platform tells a dispatcher, and shares out its limits.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/discovery"
	"kitefall/internal/settings"
)

// The shares of the limits.
const (
	clientShare = 0.34      // of the descriptors: clients hold a third at most
	workerShare = 0.4       // ... the rest is for the board, the listener, what the runtime holds, and the first
	workerMost  = 8         // connection to each worker, which is always allowed
	usualSocket = 1024      // descriptors, where no limit is told
	usualMemory = 192       // MB, likewise
	staysIdle   = time.Hour // idle connections are kept so long where workers close none
	memoryShare = 0.75      // of the memory: what the collector keeps to; the rest is the kernel's and the program's own
	bodiesShare = 0.2       // of the memory: bodies of open calls
	mostOpen    = 20000
)

// Config is the configuration of a dispatcher.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddr    string                  `json:"board"`
	InitialEndpoints discovery.WatchResponse `json:"known"`
	SeedHex          string                  `json:"seed"`
	RawSettings      json.RawMessage         `json:"settings"`

	Seed        uint64            `json:"-"`
	Settings    balancer.Settings `json:"-"`
	Connections settings.Conns    `json:"-"`
}

// Read reads a configuration file.
func Read(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Seed, err = strconv.ParseUint(c.SeedHex, 16, 64); err != nil {
		return nil, fmt.Errorf("%s: seed: %w", path, err)
	}
	if c.Settings, err = settings.Parse(c.RawSettings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if c.Connections, err = settings.ParseConns(c.RawSettings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if _, _, err := net.SplitHostPort(c.DiscoveryAddr); err != nil {
		return nil, fmt.Errorf("%s: board: %w", path, err)
	}
	c.complete()
	return c, nil
}

// complete puts the safest figure where a deployment tells none. To refuse to start would serve its clients worse.
func (c *Config) complete() {
	c.Connections.Streams = max(1, c.Connections.Streams)
	if c.Connections.IdleClose <= 0 {
		c.Connections.IdleClose = staysIdle
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = usualSocket
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = usualMemory
	}
}

// SameBut tells whether a configuration differs from another in nothing but what a reload takes up or a start
// draws anew.
func (c *Config) EqualExceptReloadable(o *Config) bool {
	return c.Name == o.Name && c.Listen == o.Listen && c.Limits == o.Limits && bytes.Equal(c.RawSettings, o.RawSettings)
}

func (c *Config) memory(share float64) int64 { return int64(c.Limits.MemoryMB * share * (1 << 20)) }

// MemoryLimit is what the garbage collector keeps to, in bytes.
func (c *Config) MemoryLimit() int64 { return c.memory(memoryShare) }

// MostHeld is the bytes that the bodies of open calls may hold.
func (c *Config) MaxBodyBytes() int64 { return c.memory(bodiesShare) }

// MostOpen is how many calls may be open.
func (c *Config) MaxInFlight() int {
	if c.Settings.MaxInFlight > 0 {
		return min(c.Settings.MaxInFlight, mostOpen)
	}
	return mostOpen
}

// ClientConnections is how many connections of clients are held.
func (c *Config) MaxClientConns() int { return int(clientShare * float64(c.Limits.Sockets)) }

// WorkerConnections is how many connections one worker may have, and all together.
func (c *Config) MaxWorkerConns() (one, all int) {
	return workerMost, int(workerShare * float64(c.Limits.Sockets))
}
