// Package config reads the configuration file with which the platform starts a dispatcher, and divides the resource limits of
// this file among the parts of the dispatcher.
package config

import (
	"bytes"
	"cmp"
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

// adminEnv is the environment variable with the operators' address. It is used if the file sets no address.
const adminEnv = "RELAY_ADMIN"

// Defaults for keys that the configuration file leaves out.
const (
	defaultSockets     = 1024
	defaultMemoryMB    = 192
	defaultIdleTimeout = time.Hour // after which workers are assumed to close idle connections
)

// Config is the configuration of a dispatcher. Fields with a JSON key hold the values of the file; Read derives the
// others from them and from the keys of the file.
type Config struct {
	Name             string                  `json:"name"`
	Listen           string                  `json:"listen"` // address for clients
	Admin            string                  `json:"admin"`  // address for operators; empty: operators are not served
	Limits           Limits                  `json:"limits"`
	DiscoveryAddr    string                  `json:"board"` // address of the discovery service
	InitialEndpoints discovery.WatchResponse `json:"known"` // used until the first answer from discovery
	SeedHex          string                  `json:"seed"`  // 64 bits in hexadecimal
	RawSettings      json.RawMessage         `json:"settings"`

	Seed        uint64            `json:"-"`
	Settings    balancer.Settings `json:"-"`
	Connections settings.Conns    `json:"-"`
	UnknownKeys []string          `json:"-"` // keys of the file that are neither known nor within the settings
}

// Limits are the limits of the resources that a dispatcher may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Read reads the configuration file at path. Limits that the file does not set get defaults. Errors name the file and, if a
// single key is invalid, that key.
func Read(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	if err := c.parse(data); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.UnknownKeys = unknownKeys(data)
	c.applyDefaults()
	return c, nil
}

func (c *Config) parse(data []byte) error {
	err := json.Unmarshal(data, c)
	if err != nil {
		return err
	}
	if c.Seed, err = strconv.ParseUint(c.SeedHex, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if c.Settings, err = settings.Parse(c.RawSettings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Connections, err = settings.ParseConns(c.RawSettings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.DiscoveryAddr); err != nil {
		return fmt.Errorf("board: %w", err)
	}
	c.Admin = cmp.Or(c.Admin, os.Getenv(adminEnv))
	if _, _, err := net.SplitHostPort(c.Admin); c.Admin != "" && err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// applyDefaults replaces missing limits by safe values, because a dispatcher with default limits serves its clients better than
// one that refuses to start.
func (c *Config) applyDefaults() {
	c.Connections.MaxStreams = max(1, c.Connections.MaxStreams)
	if c.Connections.IdleTimeout <= 0 {
		c.Connections.IdleTimeout = defaultIdleTimeout
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
}

// EqualExceptReloadable reports whether c and other differ at most in the discovery address, which a reload applies, and in the
// seed and the initial endpoints, which are new at every start.
func (c *Config) EqualExceptReloadable(other *Config) bool {
	return c.Name == other.Name &&
		c.Listen == other.Listen &&
		c.Admin == other.Admin &&
		c.Limits == other.Limits &&
		bytes.Equal(c.RawSettings, other.RawSettings)
}
