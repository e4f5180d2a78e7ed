package tomlfile

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type settings struct {
	Name  string
	Rooms map[string]struct {
		Wait time.Duration
		Most int
	}
}

func TestComplaintsNameTheirLine(t *testing.T) {
	read := func(text string) (*File, string) {
		path := filepath.Join(t.TempDir(), "a.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		f, err := Read(path, &settings{})
		if err == nil {
			return f, ""
		}
		return f, err.Error()[len(path):]
	}
	f, said := read("name = 'x'\n\n[rooms.\"sala.sur\"]\nwait = '1s'\n# most = 3\n[rooms.norte]\n")
	require.Empty(t, said)
	assert.ErrorContains(t, f.Errorf("too short", "rooms", "sala.sur", "wait"), `:4: rooms."sala.sur".wait: too short`)
	assert.ErrorContains(t, f.Errorf("is missing", "rooms", "sala.sur", "most"), ":3: ")
	assert.ErrorContains(t, f.Errorf("is missing", "rooms", "norte", "most"), ":6: ")
	assert.True(t, f.Has("rooms", "norte"))
	_, said = read("name = 'x'\nnmae = 'y'\n[rooms.a]\nwiat = '1s'\n")
	assert.Contains(t, said, ":2: nmae: there is no such setting")
	assert.Contains(t, said, ":4: rooms.a.wiat: there is no such setting")
	_, said = read("name = 'x'\n[rooms.a]\nwait = '1 fortnight'\n")
	assert.Contains(t, said, ":3: ")
	_, said = read("name = 'x'\n[rooms.a]\nmost = 'many'\n")
	assert.Contains(t, said, "line 3")
	_, said = read("name = \n")
	assert.Contains(t, said, ":1: ")
}
