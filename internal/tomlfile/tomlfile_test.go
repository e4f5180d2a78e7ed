package tomlfile

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type testSettings struct {
	Name  string
	Rooms map[string]struct {
		Wait time.Duration
		Most int
	}
}

// readText writes the text to a file and reads it. It returns the text of the error without the path, which precedes it.
func readText(t *testing.T, text string) (file *File, errorText string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	file, err := Read(path, &testSettings{})
	if err == nil {
		return file, ""
	}
	return file, err.Error()[len(path):]
}

func TestErrorsNameTheLineOfTheKey(t *testing.T) {
	f, errorText := readText(t, "name = 'x'\n\n[rooms.\"sala.sur\"]\nwait = '1s'\n# most = 3\n[rooms.norte]\n")
	require.Empty(t, errorText)
	assert.ErrorContains(t, f.KeyError("too short", "rooms", "sala.sur", "wait"), `:4: rooms."sala.sur".wait: too short`)
	assert.ErrorContains(t, f.KeyError("is missing", "rooms", "sala.sur", "most"), ":3: ")
	assert.ErrorContains(t, f.KeyError("is missing", "rooms", "norte", "most"), ":6: ")
	assert.True(t, f.Has("rooms", "norte"))
}

func TestUnknownKeysAreErrors(t *testing.T) {
	_, errorText := readText(t, "name = 'x'\nnmae = 'y'\n[rooms.a]\nwiat = '1s'\n")
	assert.Contains(t, errorText, ":2: nmae: there is no such setting")
	assert.Contains(t, errorText, ":4: rooms.a.wiat: there is no such setting")
}

func TestDecodingErrorsNameTheirLine(t *testing.T) {
	_, errorText := readText(t, "name = 'x'\n[rooms.a]\nwait = '1 fortnight'\n")
	assert.Contains(t, errorText, ":3: ")
	_, errorText = readText(t, "name = 'x'\n[rooms.a]\nmost = 'many'\n")
	assert.Contains(t, errorText, "line 3")
	_, errorText = readText(t, "name = \n")
	assert.Contains(t, errorText, ":1: ")
}
