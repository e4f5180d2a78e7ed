package config

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readConfig writes a configuration file whose objects limits and settings.caps have the given members, and reads it.
func readConfig(t *testing.T, limits, caps string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","board":"127.0.0.1:1",
		"limits":{%s},"settings":{"caps":{%s},"grades":[{"name":"mirar","effect":"pure"}]}}`, limits, caps)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return Read(path)
}

func TestReadAppliesDefaultLimits(t *testing.T) {
	for _, test := range []struct {
		name         string
		limits, caps string
		maxStreams   int
		idleTimeout  time.Duration
		sockets      int
		memoryMB     float64
	}{
		{name: "nothing set", maxStreams: 1, idleTimeout: time.Hour, sockets: 1024, memoryMB: 192},
		{name: "all set", limits: `"cores":0.2,"memory_mb":24,"sockets":48`, caps: `"idle_close_us":500000,"max_streams":4`,
			maxStreams: 4, idleTimeout: 500 * time.Millisecond, sockets: 48, memoryMB: 24},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, err := readConfig(t, test.limits, test.caps)
			require.NoError(t, err)
			assert.Equal(t, test.maxStreams, c.Connections.MaxStreams)
			assert.Equal(t, test.idleTimeout, c.Connections.IdleTimeout)
			assert.Equal(t, test.sockets, c.Limits.Sockets)
			assert.Equal(t, test.memoryMB, c.Limits.MemoryMB)
		})
	}
}

func TestReadTakesTheAdminAddressFromTheEnvironment(t *testing.T) {
	c, err := readConfig(t, "", "")
	require.NoError(t, err)
	assert.Empty(t, c.Admin)
	t.Setenv(adminEnv, "127.0.0.1:4101")
	c, err = readConfig(t, "", "")
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:4101", c.Admin)
	t.Setenv(adminEnv, "nowhere")
	_, err = readConfig(t, "", "")
	assert.ErrorContains(t, err, "admin")
}

func TestReadErrors(t *testing.T) {
	_, err := readConfig(t, `"sockets":"many"`, "")
	assert.Error(t, err)
	_, err = readConfig(t, "", `"max_streams":{}`)
	assert.Error(t, err)
	_, err = Read(filepath.Join(t.TempDir(), "none.json"))
	assert.Error(t, err)
}
