// Package config reads the configuration file with which the platform starts a dispatcher, and divides the limits that it
// sets among the dispatcher's parts.
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

// adminEnv is the environment variable that names the operators' address where the file does not.
const adminEnv = "RELAY_ADMIN"

// Values for what the configuration leaves out.
const (
	defaultSockets     = 1024
	defaultMemoryMB    = 192
	defaultIdleTimeout = time.Hour // of connections to workers
)

// Config is the configuration of a dispatcher. The tagged fields are as in the file; Read fills in the others from them.
type Config struct {
	Name             string                  `json:"name"`
	Listen           string                  `json:"listen"` // address for clients
	Admin            string                  `json:"admin"`  // address for operators; empty: there is none
	Limits           Limits                  `json:"limits"`
	DiscoveryAddr    string                  `json:"board"`
	InitialEndpoints discovery.WatchResponse `json:"known"` // used until the first answer of discovery
	SeedHex          string                  `json:"seed"`
	RawSettings      json.RawMessage         `json:"settings"`

	Seed        uint64            `json:"-"`
	Settings    balancer.Settings `json:"-"`
	Connections settings.Conns    `json:"-"`
	UnknownKeys []string          `json:"-"` // of the file, without those within the settings
}

// Limits are the resources that a dispatcher may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Read reads a configuration file. Limits that it does not set get defaults. Errors name the file and, where one is at
// fault, the key.
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

// applyDefaults replaces missing limits by safe values: a dispatcher that refuses to start would serve its clients worse.
func (c *Config) applyDefaults() {
	c.Connections.Streams = max(1, c.Connections.Streams)
	if c.Connections.IdleClose <= 0 {
		c.Connections.IdleClose = defaultIdleTimeout
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
}

// EqualExceptReloadable reports whether c differs from other at most in what a reload takes up, the discovery address, or
// in what every start sets anew, the seed and the initial endpoints.
func (c *Config) EqualExceptReloadable(other *Config) bool {
	return c.Name == other.Name &&
		c.Listen == other.Listen &&
		c.Admin == other.Admin &&
		c.Limits == other.Limits &&
		bytes.Equal(c.RawSettings, other.RawSettings)
}
