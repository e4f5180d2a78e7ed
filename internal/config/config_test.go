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

func read(t *testing.T, limits, caps string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
		"board":"127.0.0.1:1","limits":{%s},"settings":{"caps":{%s},"grades":[{"name":"mirar","effect":"pure"}]}}`, limits, caps), 0o600))
	return Read(path)
}

// Other deployments tell other limits, or none. A start that is refused for that serves nobody.
func TestMissingLimitsGetTheUsualOnes(t *testing.T) {
	c, err := read(t, "", "")
	require.NoError(t, err)
	assert.Equal(t, []any{1, time.Hour, 1024, 192.0}, []any{c.Connections.Streams, c.Connections.IdleClose, c.Limits.Sockets,
		c.Limits.MemoryMB})
	c, err = read(t, `"cores":0.2,"memory_mb":24,"sockets":48`, `"idle_close_us":500000,"max_streams":4`)
	require.NoError(t, err)
	assert.Equal(t, []any{4, 500 * time.Millisecond, 48, 24.0}, []any{c.Connections.Streams, c.Connections.IdleClose,
		c.Limits.Sockets, c.Limits.MemoryMB})
}

func TestWhatCannotBeReadIsAnError(t *testing.T) {
	_, err := read(t, `"sockets":"many"`, "")
	assert.Error(t, err)
	_, err = read(t, "", `"max_streams":{}`)
	assert.Error(t, err)
	_, err = Read(filepath.Join(t.TempDir(), "none.json"))
	assert.Error(t, err)
}

// The shares of the descriptors leave some for the board, the listener and the runtime, whatever the limit.
func TestSharesOfTheDescriptors(t *testing.T) {
	for _, sockets := range []int{48, 256, 576, 1024} {
		c := &Config{}
		c.Limits.Sockets = sockets
		_, all := c.MaxWorkerConns()
		assert.LessOrEqual(t, c.MaxClientConns()+all, sockets*3/4+1)
		assert.Positive(t, all)
	}
	// The first connection of each worker is always allowed. In the smallest of the platform's limits, with the largest of
	// its fleets, idle clients that take all they can still leave some for the board, the listener and the runtime.
	c := &Config{}
	c.Limits.Sockets = 256
	_, all := c.MaxWorkerConns()
	assert.LessOrEqual(t, c.MaxClientConns()+max(all, 120)+16, 256)
}
